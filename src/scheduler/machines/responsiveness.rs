//! Which machines are silent, and whether it is they, their zone or this process that is isolated.

use super::machine::Machine;
use super::zone_health::silent_zones;
use crate::scheduler::index::{MachineIndex, ZoneIndex};
use crate::scheduler::Scheduler;
use std::collections::HashSet;
use std::time::Duration;

/// Beside the time in which every machine reports, before a leader considers itself isolated.
const ISOLATION_MARGIN: Duration = Duration::from_millis(500);
/// Two probes that all go unanswered, and their way.
const UNANSWERED_PROBES: Duration = Duration::from_secs(5);
/// Of fewer silent machines nothing is concluded for this process.
const MIN_SILENT_MACHINES: usize = 3;

impl Scheduler {
    /// Whether a machine takes tasks now.
    pub(in crate::scheduler) fn accepts_tasks(&self, machine: &Machine) -> bool {
        machine.accepts_tasks(
            self.params.lease,
            self.params.heartbeat_interval,
            self.now(),
        )
    }

    /// Machines that should send heartbeats and have not shown the current token for the time `silence`, less those of
    /// zones with an outage: a zone of which most machines are quiet is isolated rather than dead, and what is up there will
    /// be of use as soon as it is back. Those are given up after the time `lost` only.
    ///
    /// Whether most are quiet is asked of a shorter time, in which a machine surely reports: a leader that heard nobody any
    /// more once released hundreds of healthy machines in the seconds in which the silence had reached some of them and
    /// not yet the others.
    ///
    /// Machines of a zone that is back have the time of a silence from then on: those not heard in its first moments were
    /// once given up at once.
    pub fn unresponsive_machines(
        &mut self,
        silence: Duration,
        lost: Duration,
    ) -> Vec<MachineIndex> {
        let now = self.now();
        let expected = self.machines.expected().map(|(_, machine)| machine);
        self.zone_health
            .record_outages(expected, self.params.quiet_time(), now);
        let is_unresponsive = |machine: &Machine| {
            machine.contact.is_silent_for(silence, now)
                && (self.zone_health.is_stable_for(machine.zone(), silence, now)
                    || machine.contact.is_silent_for(lost, now))
        };
        self.machines
            .expected()
            .filter(|(_, machine)| is_unresponsive(machine))
            .map(|(index, _)| index)
            .collect()
    }

    /// Zones of which nothing is heard: what came up there would be out of reach.
    #[must_use]
    pub fn unreachable_zones(&self) -> HashSet<ZoneIndex> {
        let expected = self.machines.expected().map(|(_, machine)| machine);
        silent_zones(expected, self.params.quiet_time(), self.now())
    }

    /// Whether none of the machines that should send heartbeats has done so recently, under whichever token: then it is this
    /// process that is isolated. A new leader that nobody has answered yet knows sooner, since it probes all machines when it
    /// begins: a new leader isolated like its predecessor once held the leadership until the leases had expired.
    #[must_use]
    pub fn is_isolated_from_workers(&self) -> bool {
        let now = self.now();
        let quiet = self.params.quiet_time();
        let nobody_answered = self
            .machines
            .expected()
            .all(|(_, machine)| machine.contact.was_never_heard());
        let known_for = if nobody_answered {
            UNANSWERED_PROBES
        } else {
            quiet * 2 + ISOLATION_MARGIN
        };
        let due = self
            .machines
            .expected()
            .filter(|(_, machine)| now > machine.boot.known_since() + known_for)
            .count();
        let reported_within = quiet + ISOLATION_MARGIN;
        due >= MIN_SILENT_MACHINES
            && !self
                .machines
                .expected()
                .any(|(_, machine)| machine.contact.has_reported_within(reported_within, now))
    }

    /// This process was paused for a time, or had no processor: what it has not heard meanwhile says nothing of the
    /// machines.
    pub(super) fn compensate_process_pause(&mut self, pause: Duration) {
        for machine in self.machines.values_mut() {
            machine.contact.skip(pause);
        }
    }

    /// The number of machines that may hold tasks of earlier epochs: they were not heard, their leases have not expired,
    /// and they were not released.
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
