//! Task failures on a machine, and the backoff and quarantine that follow from them.

use crate::scheduler::index::JobIndex;
use crate::time::Timestamp;
use std::time::Duration;

/// A machine is considered faulty when tasks of this many jobs have failed on it.
const FAULTY_MACHINE_JOBS: usize = 2;
/// Base of the backoff after a failed task. It is doubled for every job with failures on the machine, also for the
/// first, so the shortest backoff is twice this.
const BASE_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: usize = 4;
/// Backoff after the machine has refused a start for lack of capacity.
const REFUSED_START_BACKOFF: Duration = Duration::from_secs(3);

/// Failure record of a machine.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Health {
    /// Jobs of which tasks have failed on the machine since a task last finished there.
    failed_jobs: Vec<JobIndex>,
    /// Whether the machine was up before its failures drained it, so that it is to be used again when they no longer count.
    quarantined: bool,
    /// The machine gets no new task before this time.
    backoff_until: Timestamp,
}

impl Health {
    /// Records that a task of a job has failed, and reports whether the machine is now considered faulty.
    pub(in crate::scheduler) fn record_failure(&mut self, job: JobIndex, now: Timestamp) -> bool {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let doublings = self.failed_jobs.len().min(MAX_BACKOFF_DOUBLINGS);
        self.backoff_until = now + BASE_BACKOFF * (1 << doublings);
        self.is_faulty()
    }

    /// Records that the machine has refused a start for lack of capacity.
    pub(in crate::scheduler) fn record_refused_start(&mut self, now: Timestamp) {
        self.backoff_until = now + REFUSED_START_BACKOFF;
    }

    /// Records that a task has finished, which clears all failures.
    pub(in crate::scheduler) fn record_success(&mut self) {
        self.failed_jobs.clear();
    }

    /// Reports whether tasks of enough jobs have failed to consider the machine faulty.
    fn is_faulty(&self) -> bool {
        self.failed_jobs.len() >= FAULTY_MACHINE_JOBS
    }

    /// Reports whether tasks of a job have failed on the machine.
    pub(in crate::scheduler) fn has_failed(&self, job: JobIndex) -> bool {
        self.failed_jobs.contains(&job)
    }

    /// Reports whether no failures are recorded.
    #[cfg(test)]
    pub(in crate::scheduler) fn has_no_failures(&self) -> bool {
        self.failed_jobs.is_empty()
    }

    /// Removes the failures of a job.
    pub(in crate::scheduler) fn forget_job(&mut self, job: JobIndex) {
        self.failed_jobs.retain(|failed| *failed != job);
    }

    /// Sets whether the machine is to be used again once its failures no longer count.
    pub(in crate::scheduler) fn set_quarantined(&mut self, quarantined: bool) {
        self.quarantined = quarantined;
    }

    /// Ends the quarantine if the machine is no longer faulty, and reports whether it ended.
    pub(in crate::scheduler) fn end_quarantine(&mut self) -> bool {
        !self.is_faulty() && std::mem::take(&mut self.quarantined)
    }

    /// Returns the end of the backoff.
    #[cfg(test)]
    pub(in crate::scheduler) fn backoff_until(&self) -> Timestamp {
        self.backoff_until
    }

    /// Reports whether the machine is backing off after a failure or a refused start.
    pub(in crate::scheduler) fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }
}
