//! The latest report that this controller has received from the leader: its rate of store changes and its task counts.

use crate::coordination::peers::JobTaskCounts;
use crate::scheduler::TaskCounts;
use crate::time::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// How long a reported rate of store changes is valid.
const CHANGE_RATE_TTL: Duration = Duration::from_secs(3);

/// The rate of the leader's changes to the store.
struct ChangeRate {
    per_second: f64,
    received_at: Timestamp,
}

/// The latest report from the leader's views.
#[derive(Default)]
pub(super) struct LeaderReport {
    /// Numbers of done and running tasks by job, which users are shown.
    task_counts: HashMap<String, TaskCounts>,
    change_rate: Option<ChangeRate>,
}

impl LeaderReport {
    /// Records the rate at which the leader changes the store.
    pub(super) fn record_change_rate(&mut self, per_second: f64, now: Timestamp) {
        self.change_rate = Some(ChangeRate {
            per_second,
            received_at: now,
        });
    }

    /// Returns the rate at which the leader changes the store, per second, if it was reported recently.
    pub(super) fn change_rate(&self, now: Timestamp) -> Option<f64> {
        self.change_rate
            .as_ref()
            .filter(|rate| now < rate.received_at + CHANGE_RATE_TTL)
            .map(|rate| rate.per_second)
    }

    /// Replaces the task counts of all jobs.
    pub(super) fn replace_task_counts(&mut self, task_counts: Vec<JobTaskCounts>) {
        self.task_counts = task_counts
            .into_iter()
            .map(|JobTaskCounts { job, done, running }| (job, TaskCounts { done, running }))
            .collect();
    }

    /// Returns the task counts of a job.
    pub(super) fn task_counts(&self, job: &str) -> Option<TaskCounts> {
        self.task_counts.get(job).copied()
    }

    /// Removes the task counts of a job that is no longer unfinished.
    pub(super) fn forget_job(&mut self, job: &str) {
        self.task_counts.remove(job);
    }
}
