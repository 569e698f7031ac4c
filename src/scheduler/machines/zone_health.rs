//! Which zones are isolated, judged by how many of their machines are quiet.

use super::machine::Machine;
use crate::scheduler::index::ZoneIndex;
use crate::time::Timestamp;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Of fewer machines nothing is concluded for their zone.
const MIN_MACHINES: usize = 3;

/// How many machines of a zone are quiet.
#[derive(Debug, Default, Clone, Copy)]
struct QuietMachines {
    quiet: usize,
    total: usize,
}

impl QuietMachines {
    fn are_most(self) -> bool {
        self.total >= MIN_MACHINES && self.quiet * 2 > self.total
    }

    fn are_all(self) -> bool {
        self.total >= MIN_MACHINES && self.quiet == self.total
    }
}

/// Counts the quiet machines of each zone: those not heard for longer than a time.
fn quiet_by_zone<'a>(
    expected: impl Iterator<Item = &'a Machine>,
    quiet_after: Duration,
    now: Timestamp,
) -> HashMap<ZoneIndex, QuietMachines> {
    let mut zones: HashMap<ZoneIndex, QuietMachines> = HashMap::new();
    for machine in expected {
        let zone = zones.entry(machine.zone()).or_default();
        zone.quiet += usize::from(machine.contact.is_silent_for(quiet_after, now));
        zone.total += 1;
    }
    zones
}

/// The zones of which no expected machine is heard.
pub(super) fn silent_zones<'a>(
    expected: impl Iterator<Item = &'a Machine>,
    quiet_after: Duration,
    now: Timestamp,
) -> HashSet<ZoneIndex> {
    quiet_by_zone(expected, quiet_after, now)
        .into_iter()
        .filter(|(_, machines)| machines.are_all())
        .map(|(zone, _)| zone)
        .collect()
}

/// When most machines of each zone were last quiet.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct ZoneHealth {
    last_outage: HashMap<ZoneIndex, Timestamp>,
}

impl ZoneHealth {
    /// Notes the zones of which most expected machines are quiet now.
    pub(super) fn record_outages<'a>(
        &mut self,
        expected: impl Iterator<Item = &'a Machine>,
        quiet_after: Duration,
        now: Timestamp,
    ) {
        for (zone, machines) in quiet_by_zone(expected, quiet_after, now) {
            if machines.are_most() {
                self.last_outage.insert(zone, now);
            }
        }
    }

    /// Whether a zone has been without an outage for longer than a time.
    pub(super) fn is_stable_for(&self, zone: ZoneIndex, time: Duration, now: Timestamp) -> bool {
        let last_outage = self.last_outage.get(&zone).copied();
        now > last_outage.unwrap_or(Timestamp::ZERO) + time
    }
}
