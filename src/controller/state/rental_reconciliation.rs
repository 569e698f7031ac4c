//! Differences between the rental records in the store and the machines of the cloud.
//!
//! A machine without a record is *unregistered*. It is adopted; otherwise it would neither be used nor released. A released
//! machine stays in its rental record until the next cleanup. A recently released machine is never treated as unregistered,
//! since the cloud's list lags behind and delayed copies of its heartbeats may arrive.

use crate::time::Timestamp;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// Maximum number of unregistered machines that are kept, several times the largest fleet. It bounds the memory that
/// heartbeats with invented machine names can take. Machines beyond it are added when they report or are listed again.
const MAX_UNREGISTERED_MACHINES: usize = 16_384;
/// How long a release is remembered, and its machine therefore not treated as unregistered.
const RELEASE_RETENTION: Duration = Duration::from_mins(10);

/// A machine that no rental record names.
#[derive(Debug)]
pub(in crate::controller) struct UnregisteredMachine {
    pub(in crate::controller) machine_type: String,
    pub(in crate::controller) zone: String,
    pub(in crate::controller) spot: bool,
    /// Contact of its worker, if the machine is known from a heartbeat and not from the cloud's list.
    pub(in crate::controller) worker: Option<WorkerContact>,
}

/// Contact for probing whether a worker still runs. Its heartbeat may be a delayed copy that arrives long after the machine
/// was released.
#[derive(Debug)]
pub(in crate::controller) struct WorkerContact {
    pub(in crate::controller) address: String,
    pub(in crate::controller) session: u64,
}

/// The differences that a leader has yet to resolve.
#[derive(Debug, Default)]
pub(in crate::controller) struct RentalReconciliation {
    unregistered: BTreeMap<String, UnregisteredMachine>,
    released_at: HashMap<String, Timestamp>,
    /// Released machines that rental records may still contain.
    pending_removals: HashSet<String>,
}

impl RentalReconciliation {
    /// Adds a machine for adoption, unless it was released recently or [`MAX_UNREGISTERED_MACHINES`] is reached.
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

    /// Removes and returns the next unregistered machine.
    pub(in crate::controller) fn pop_unregistered(
        &mut self,
    ) -> Option<(String, UnregisteredMachine)> {
        self.unregistered.pop_first()
    }

    /// Returns the number of unregistered machines that wait for adoption.
    #[cfg(test)]
    pub(in crate::controller) fn unregistered_count(&self) -> usize {
        self.unregistered.len()
    }

    /// Forgets releases older than [`RELEASE_RETENTION`]. Callers do this before they record new ones.
    pub(in crate::controller) fn expire_releases(&mut self, now: Timestamp) {
        self.released_at
            .retain(|_, at| now < *at + RELEASE_RETENTION);
    }

    /// Records that the cloud has confirmed a machine's release.
    pub(in crate::controller) fn record_release(&mut self, name: String, now: Timestamp) {
        self.released_at.insert(name.clone(), now);
        self.pending_removals.insert(name);
    }

    /// Reports whether any released machine has yet to be removed from its rental record.
    pub(in crate::controller) fn has_pending_removals(&self) -> bool {
        !self.pending_removals.is_empty()
    }

    /// Reports whether a machine has yet to be removed from its rental record.
    pub(in crate::controller) fn is_removal_pending(&self, name: &str) -> bool {
        self.pending_removals.contains(name)
    }

    /// Records that machines were removed from their rental records.
    pub(in crate::controller) fn mark_removed(&mut self, names: &[String]) {
        for name in names {
            self.pending_removals.remove(name);
        }
    }

    /// Clears the data that belongs to a term, when the term ends: the next leader finds unregistered machines and outdated
    /// rental records by itself. Releases are still remembered, for a later term of this controller.
    pub(in crate::controller) fn clear_on_step_down(&mut self) {
        self.unregistered.clear();
        self.pending_removals.clear();
    }
}
