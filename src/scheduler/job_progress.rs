//! What a job's tasks have shown so far: which are pending, how long they run, and where they fail.

use super::index::MachineIndex;
use crate::time::whole_millis;
use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

/// The first pause between two tries of a job that fails everywhere; it doubles with each failure.
const BASE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest pause between two tries of a job that fails everywhere.
const MAX_RETRY_DELAY: Duration = Duration::from_mins(1);
/// Doublings of the pause after which it stays the same.
const MAX_RETRY_DELAY_DOUBLINGS: u32 = 6;

/// Which tasks of a job to start next, without a list of them all.
#[derive(Debug, Default)]
pub(super) struct PendingTasks {
    /// The tasks below have all been looked at; those of them that are pending again are in `requeued`.
    next_new: u32,
    /// Tasks that were active and have to run again.
    requeued: BTreeSet<u32>,
}

impl PendingTasks {
    /// Takes the next task of a job with a number of tasks: one that has requeued, or the first new one that `is_new` confirms.
    pub(super) fn take_next(&mut self, tasks: u32, is_new: impl Fn(u32) -> bool) -> Option<u32> {
        if let Some(number) = self.requeued.pop_first() {
            return Some(number);
        }
        while self.next_new < tasks {
            let number = self.next_new;
            self.next_new += 1;
            if is_new(number) {
                return Some(number);
            }
        }
        None
    }

    /// A task is no longer active, and not done.
    pub(super) fn requeue(&mut self, number: u32) {
        self.requeued.insert(number);
    }

    /// A task has finished.
    pub(super) fn remove(&mut self, number: u32) {
        self.requeued.remove(&number);
    }
}

/// How long a job's finished tasks have run.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    count: u32,
    mean_ms: f64,
}

impl RunTimes {
    /// The mean run time in seconds, if any task has finished.
    pub(super) fn mean_s(&self) -> Option<f64> {
        (self.count > 0).then(|| self.mean_ms / 1000.0)
    }

    /// A task has run for this long. Returns this over the mean of all, if they can be compared.
    pub(super) fn record(&mut self, took: Duration) -> Option<f64> {
        let took_ms = whole_millis(took) as f64;
        self.count += 1;
        self.mean_ms += (took_ms - self.mean_ms) / f64::from(self.count);
        (self.count > 1 && self.mean_ms > 0.0).then(|| took_ms / self.mean_ms)
    }
}

/// The failures of a job's tasks.
#[derive(Debug, Default)]
pub(super) struct Failures {
    machines: HashSet<MachineIndex>,
    /// Failures since a task last finished.
    consecutive: u32,
}

impl Failures {
    /// A task has failed on a machine.
    pub(super) fn record(&mut self, machine: MachineIndex) {
        self.consecutive += 1;
        self.machines.insert(machine);
    }

    /// A task has finished.
    pub(super) fn record_success(&mut self) {
        self.consecutive = 0;
    }

    /// The pause before the next try of a job that fails everywhere.
    pub(super) fn retry_delay(&self) -> Duration {
        let doublings = self.consecutive.min(MAX_RETRY_DELAY_DOUBLINGS);
        (BASE_RETRY_DELAY * (1 << doublings)).min(MAX_RETRY_DELAY)
    }

    /// Whether a task of the job has failed on a machine.
    pub(super) fn includes_machine(&self, machine: MachineIndex) -> bool {
        self.machines.contains(&machine)
    }

    /// On how many machines tasks of the job have failed.
    pub(super) fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// A machine is gone.
    pub(super) fn remove_machine(&mut self, machine: MachineIndex) {
        self.machines.remove(&machine);
    }
}
