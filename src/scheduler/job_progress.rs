//! Progress of a job's tasks: which of them to start next, how long they run, and on which machines they fail.

use super::index::MachineIndex;
use crate::time::whole_millis;
use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

/// Base of the delay before a job that fails everywhere is tried again; it doubles with each consecutive failure.
const BASE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Upper limit of the delay before a job that fails everywhere is tried again.
const MAX_RETRY_DELAY: Duration = Duration::from_mins(1);
/// Number of doublings after which the delay stays the same; 6 already exceed [`MAX_RETRY_DELAY`].
const MAX_RETRY_DELAY_DOUBLINGS: u32 = 6;

/// Selects the tasks of a job to start next without keeping a list of all its pending tasks.
#[derive(Debug, Default)]
pub(super) struct PendingTasks {
    /// The first task that was not considered yet. Lower-numbered tasks that are pending again are in `requeued`.
    next_new: u32,
    /// Tasks that were active and have to be run again.
    requeued: BTreeSet<u32>,
}

impl PendingTasks {
    /// Removes and returns the next pending task of a job with a number of tasks: the lowest requeued one, or else the first
    /// that was not considered yet and for which `is_new` holds.
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

    /// Makes a task pending again that is no longer active and has not finished.
    pub(super) fn requeue(&mut self, number: u32) {
        self.requeued.insert(number);
    }

    /// Removes a task that has finished.
    pub(super) fn remove(&mut self, number: u32) {
        self.requeued.remove(&number);
    }
}

/// Run times of a job's finished tasks.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    count: u32,
    mean_ms: f64,
}

impl RunTimes {
    /// Returns the mean run time in seconds, if any task has finished.
    pub(super) fn mean_s(&self) -> Option<f64> {
        (self.count > 0).then(|| self.mean_ms / 1000.0)
    }

    /// Records the run time of a finished task. Returns its ratio to the mean, which includes it, or `None` if it is the
    /// first or the mean is 0.
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
    /// Records that a task has failed on a machine.
    pub(super) fn record(&mut self, machine: MachineIndex) {
        self.consecutive += 1;
        self.machines.insert(machine);
    }

    /// Records that a task has finished, which ends the sequence of consecutive failures.
    pub(super) fn record_success(&mut self) {
        self.consecutive = 0;
    }

    /// Returns the delay before a job that fails everywhere is tried again.
    pub(super) fn retry_delay(&self) -> Duration {
        let doublings = self.consecutive.min(MAX_RETRY_DELAY_DOUBLINGS);
        (BASE_RETRY_DELAY * (1 << doublings)).min(MAX_RETRY_DELAY)
    }

    /// Reports whether a task of the job has failed on a machine.
    pub(super) fn includes_machine(&self, machine: MachineIndex) -> bool {
        self.machines.contains(&machine)
    }

    /// Returns the number of machines on which tasks of the job have failed.
    pub(super) fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Forgets the failures on a machine that is gone.
    pub(super) fn remove_machine(&mut self, machine: MachineIndex) {
        self.machines.remove(&machine);
    }
}
