//! Detection of silent machines, and of whether the machines, their zone or this process is isolated.

use super::machine::Machine;
use super::zone_health::overdue_zones;
use crate::scheduler::index::{MachineIndex, ZoneIndex};
use crate::scheduler::Scheduler;
use std::collections::HashSet;
use std::time::Duration;

/// Added to the heartbeat timeout before a leader considers itself isolated.
const ISOLATION_MARGIN: Duration = Duration::from_millis(500);
/// Time after which two probes of every machine have gone unanswered, including their transmission.
const UNANSWERED_PROBES_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum number of silent machines from which this process concludes that it is isolated.
const MIN_SILENT_MACHINES: usize = 3;

impl Scheduler {
    /// Reports whether tasks may be placed on a machine now.
    pub(in crate::scheduler) fn accepts_tasks(&self, machine: &Machine) -> bool {
        machine.accepts_tasks(
            self.params.lease_duration,
            self.params.heartbeat_interval,
            self.now(),
        )
    }

    /// Returns the machines that should send heartbeats and have not acknowledged the current token for longer than
    /// `silence_limit`. Machines of a zone with an outage are returned only after `zone_silence_limit`: if most machines of a
    /// zone are overdue, the zone is probably isolated, and its machines can be used again as soon as it recovers.
    ///
    /// An outage is judged by the shorter heartbeat timeout. Otherwise a leader that receives no heartbeats at all would
    /// release healthy machines, possibly hundreds, in the seconds in which some have reached the silence limit and the
    /// others have not.
    ///
    /// After an outage the machines of the zone have `silence_limit` to report again. Otherwise those that send no heartbeat
    /// in the first moments after the recovery would be released at once.
    pub fn unresponsive_machines(
        &mut self,
        silence_limit: Duration,
        zone_silence_limit: Duration,
    ) -> Vec<MachineIndex> {
        let now = self.now();
        let expected = self
            .machines
            .expected_to_report()
            .map(|(_, machine)| machine);
        self.zone_health
            .record_outages(expected, self.params.heartbeat_timeout(), now);
        let is_unresponsive = |machine: &Machine| {
            machine.contact.is_silent_for(silence_limit, now)
                && (self
                    .zone_health
                    .is_stable_for(machine.zone(), silence_limit, now)
                    || machine.contact.is_silent_for(zone_silence_limit, now))
        };
        self.machines
            .expected_to_report()
            .filter(|(_, machine)| is_unresponsive(machine))
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the zones in which all expected machines are overdue: new machines there would be unreachable too.
    #[must_use]
    pub fn unreachable_zones(&self) -> HashSet<ZoneIndex> {
        let expected = self
            .machines
            .expected_to_report()
            .map(|(_, machine)| machine);
        overdue_zones(expected, self.params.heartbeat_timeout(), self.now())
    }

    /// Reports whether this process is isolated: none of the machines that should send heartbeats has sent one recently,
    /// under any token. A new leader that has received no heartbeat yet decides sooner, since it probes all machines at its
    /// start. Otherwise a new leader that is isolated like its predecessor would hold the leadership until the leases have
    /// expired.
    #[must_use]
    pub fn is_isolated_from_workers(&self) -> bool {
        let now = self.now();
        let timeout = self.params.heartbeat_timeout();
        let no_heartbeat_yet = self
            .machines
            .expected_to_report()
            .all(|(_, machine)| machine.contact.has_no_heartbeat());
        let min_known_time = if no_heartbeat_yet {
            UNANSWERED_PROBES_TIMEOUT
        } else {
            timeout * 2 + ISOLATION_MARGIN
        };
        let machines_due = self
            .machines
            .expected_to_report()
            .filter(|(_, machine)| now > machine.boot.known_since() + min_known_time)
            .count();
        let reported_within = timeout + ISOLATION_MARGIN;
        machines_due >= MIN_SILENT_MACHINES
            && !self
                .machines
                .expected_to_report()
                .any(|(_, machine)| machine.contact.has_heartbeat_within(reported_within, now))
    }

    /// Moves the contact times of all machines forward by a pause of this process, because heartbeats that it did not
    /// receive while it was not running say nothing about the machines.
    pub(super) fn compensate_process_pause(&mut self, pause: Duration) {
        for machine in self.machines.values_mut() {
            machine.contact.exclude_pause(pause);
        }
    }

    /// Returns the number of machines that may hold tasks of earlier epochs: they have not acknowledged the current token,
    /// their leases have not expired, and they were not confirmed gone.
    #[must_use]
    pub fn unreconciled_machines(&self) -> usize {
        self.machines
            .iter()
            .filter(|(_, machine)| {
                !machine.contact.acknowledges_token() && !machine.load.tasks().is_empty()
            })
            .count()
    }
}
