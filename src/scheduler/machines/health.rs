//! Failures of tasks on a machine, and what they say of it.

use crate::scheduler::index::JobIndex;
use crate::time::Timestamp;
use std::time::Duration;

/// A machine on which tasks of so many jobs have failed is faulty.
const FAULTY_MACHINE_JOBS: usize = 2;
/// First pause after a failed task; it doubles with every job whose tasks fail there.
const FIRST_BACKOFF: Duration = Duration::from_secs(2);
/// Most doublings of the pause.
const BACKOFF_DOUBLINGS: usize = 4;
/// Pause after a start that the machine refused for lack of capacity.
const REFUSED_START_BACKOFF: Duration = Duration::from_secs(3);

/// The failures of tasks on a machine.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Health {
    /// Jobs whose tasks have failed there since a task last finished.
    failed_jobs: Vec<JobIndex>,
    /// Whether the machine is draining because of its failures.
    quarantined: bool,
    /// It gets no task before.
    backoff_until: Timestamp,
}

impl Health {
    /// A task of a job has failed. True if the machine is now taken to be faulty.
    pub(in crate::scheduler) fn record_failure(&mut self, job: JobIndex, now: Timestamp) -> bool {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let doublings = self.failed_jobs.len().min(BACKOFF_DOUBLINGS);
        self.backoff_until = now + FIRST_BACKOFF * (1 << doublings);
        self.is_faulty()
    }

    /// The machine has refused a start for lack of capacity.
    pub(in crate::scheduler) fn record_refused_start(&mut self, now: Timestamp) {
        self.backoff_until = now + REFUSED_START_BACKOFF;
    }

    /// A task has finished.
    pub(in crate::scheduler) fn record_success(&mut self) {
        self.failed_jobs.clear();
    }

    fn is_faulty(&self) -> bool {
        self.failed_jobs.len() >= FAULTY_MACHINE_JOBS
    }

    /// Whether tasks of a job have failed there.
    pub(in crate::scheduler) fn has_failed(&self, job: JobIndex) -> bool {
        self.failed_jobs.contains(&job)
    }

    /// Whether no failure counts against the machine.
    #[cfg(test)]
    pub(in crate::scheduler) fn is_unblemished(&self) -> bool {
        self.failed_jobs.is_empty()
    }

    /// The failures of a job no longer count.
    pub(in crate::scheduler) fn forget_job(&mut self, job: JobIndex) {
        self.failed_jobs.retain(|failed| *failed != job);
    }

    /// Sets whether the machine is to be used again once its failures no longer count.
    pub(in crate::scheduler) fn set_quarantined(&mut self, quarantined: bool) {
        self.quarantined = quarantined;
    }

    /// Ends the quarantine if too few failures are left for it. True if it is ended.
    pub(in crate::scheduler) fn end_quarantine(&mut self) -> bool {
        !self.is_faulty() && std::mem::take(&mut self.quarantined)
    }

    /// Until when the machine pauses after a failure.
    #[cfg(test)]
    pub(in crate::scheduler) fn backoff_until(&self) -> Timestamp {
        self.backoff_until
    }

    /// Whether the machine pauses after a failure.
    pub(in crate::scheduler) fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }
}
