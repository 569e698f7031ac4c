//! Where the rental records of the store and the machines of the cloud differ.
//!
//! A machine without a record is *unregistered*: it is adopted, or else it would neither be used nor returned. A machine
//! that was released still has its record until that is removed. A machine that was released lately is never taken for an
//! unregistered one: the cloud's list lags behind, and late copies of its heartbeats arrive.

use crate::time::Timestamp;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// Most unregistered machines that are remembered at a time, so that heartbeats in made-up names cost bounded memory; some
/// times the largest fleet. The rest is remembered when it reports or is listed again.
const MAX_UNREGISTERED_MACHINES: usize = 16_384;
/// How long a release is remembered.
const RELEASE_RETENTION: Duration = Duration::from_mins(10);

/// A machine that no rental record names.
#[derive(Debug)]
pub(in crate::controller) struct UnregisteredMachine {
    pub(in crate::controller) machine_type: String,
    pub(in crate::controller) zone: String,
    pub(in crate::controller) spot: bool,
    /// Its worker, if the machine is known by a heartbeat only.
    pub(in crate::controller) worker: Option<WorkerContact>,
}

/// How to ask a worker whether it still runs. A heartbeat may be a late copy, long after its machine was released.
#[derive(Debug)]
pub(in crate::controller) struct WorkerContact {
    pub(in crate::controller) address: String,
    pub(in crate::controller) session: u64,
}

/// The differences that a leader has yet to settle.
#[derive(Debug, Default)]
pub(in crate::controller) struct RentalReconciliation {
    unregistered: BTreeMap<String, UnregisteredMachine>,
    released_at: HashMap<String, Timestamp>,
    /// Released machines that rental records may still name.
    pending_removals: HashSet<String>,
}

impl RentalReconciliation {
    /// Remembers a machine for its adoption, unless it was released lately or too many are remembered.
    pub(in crate::controller) fn add_unregistered(
        &mut self,
        name: &str,
        machine: impl FnOnce() -> UnregisteredMachine,
    ) {
        if self.released_at.contains_key(name)
            || self.unregistered.len() >= MAX_UNREGISTERED_MACHINES
        {
            return;
        }
        self.unregistered.insert(name.to_string(), machine());
    }

    /// The next unregistered machine, which is no longer remembered then.
    pub(in crate::controller) fn pop_unregistered(
        &mut self,
    ) -> Option<(String, UnregisteredMachine)> {
        self.unregistered.pop_first()
    }

    /// The number of unregistered machines that are remembered.
    #[cfg(test)]
    pub(in crate::controller) fn unregistered_count(&self) -> usize {
        self.unregistered.len()
    }

    /// Forgets the releases that are long past; called before new ones are recorded.
    pub(in crate::controller) fn expire_releases(&mut self, now: Timestamp) {
        self.released_at
            .retain(|_, at| now < *at + RELEASE_RETENTION);
    }

    /// The cloud has confirmed a machine's release.
    pub(in crate::controller) fn record_release(&mut self, name: String, now: Timestamp) {
        self.released_at.insert(name.clone(), now);
        self.pending_removals.insert(name);
    }

    /// Whether released machines have yet to be removed from their rental records.
    pub(in crate::controller) fn has_pending_removals(&self) -> bool {
        !self.pending_removals.is_empty()
    }

    /// Whether a machine has to be removed from its rental record.
    pub(in crate::controller) fn is_removal_pending(&self, name: &str) -> bool {
        self.pending_removals.contains(name)
    }

    /// Machines were removed from their rental records.
    pub(in crate::controller) fn mark_removed(&mut self, names: &[String]) {
        for name in names {
            self.pending_removals.remove(name);
        }
    }

    /// The leadership has ended: the next leader learns of unregistered machines and of records to be removed by itself.
    /// What was released is remembered all the same, for a later term.
    pub(in crate::controller) fn clear_on_step_down(&mut self) {
        self.unregistered.clear();
        self.pending_removals.clear();
    }
}
