//! Detection of zone outages from the share of machines with overdue heartbeats.

use super::machine::Machine;
use crate::scheduler::index::ZoneIndex;
use crate::time::Timestamp;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Minimum number of expected machines in a zone from which an outage is concluded.
const MIN_MACHINES: usize = 3;

/// Number of machines of a zone with overdue heartbeats, and of all machines that should send heartbeats.
#[derive(Debug, Default, Clone, Copy)]
struct OverdueMachines {
    overdue: usize,
    total: usize,
}

impl OverdueMachines {
    /// Reports whether most machines are overdue. False for fewer than [`MIN_MACHINES`] machines.
    fn most_are_overdue(self) -> bool {
        self.total >= MIN_MACHINES && self.overdue * 2 > self.total
    }

    /// Reports whether all machines are overdue. False for fewer than [`MIN_MACHINES`] machines.
    fn all_are_overdue(self) -> bool {
        self.total >= MIN_MACHINES && self.overdue == self.total
    }
}

/// Counts the overdue machines of each zone: those that have been silent for longer than `timeout`.
fn overdue_by_zone<'a>(
    expected: impl Iterator<Item = &'a Machine>,
    timeout: Duration,
    now: Timestamp,
) -> HashMap<ZoneIndex, OverdueMachines> {
    let mut zones: HashMap<ZoneIndex, OverdueMachines> = HashMap::new();
    for machine in expected {
        let zone = zones.entry(machine.zone()).or_default();
        zone.overdue += usize::from(machine.contact.is_silent_for(timeout, now));
        zone.total += 1;
    }
    zones
}

/// Returns the zones in which all expected machines are overdue.
pub(super) fn overdue_zones<'a>(
    expected: impl Iterator<Item = &'a Machine>,
    timeout: Duration,
    now: Timestamp,
) -> HashSet<ZoneIndex> {
    overdue_by_zone(expected, timeout, now)
        .into_iter()
        .filter(|(_, machines)| machines.all_are_overdue())
        .map(|(zone, _)| zone)
        .collect()
}

/// When each zone was last observed to have an outage, that is when most of its machines were overdue.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct ZoneHealth {
    last_outage: HashMap<ZoneIndex, Timestamp>,
}

impl ZoneHealth {
    /// Records an outage for each zone in which most expected machines are overdue now.
    pub(super) fn record_outages<'a>(
        &mut self,
        expected: impl Iterator<Item = &'a Machine>,
        timeout: Duration,
        now: Timestamp,
    ) {
        for (zone, machines) in overdue_by_zone(expected, timeout, now) {
            if machines.most_are_overdue() {
                self.last_outage.insert(zone, now);
            }
        }
    }

    /// Reports whether a zone has been without an outage for longer than `time`.
    pub(super) fn is_stable_for(&self, zone: ZoneIndex, time: Duration, now: Timestamp) -> bool {
        let last_outage = self.last_outage.get(&zone).copied();
        now > last_outage.unwrap_or(Timestamp::ZERO) + time
    }
}
