//! The queue of jobs with tasks to place, and its order.

use super::index::JobIndex;
use super::job::Job;
use super::Scheduler;
use crate::protocol::Priority;
use crate::resources::Resources;
use crate::time::{duration_from_secs, millis_from_secs, Timestamp};
use std::time::Duration;

/// A job whose first task has waited for this long is overdue and comes first among its equals, see [`Urgency`]. This is 40 %
/// of the 240 s within which even the largest jobs must begin (PROTOCOL, additions).
const FIRST_TASK_WAIT_LIMIT: Duration = Duration::from_secs(96);
/// A job that is unfinished after this many times its deadline is overdue.
const OVERDUE_DEADLINE_FACTOR: u32 = 3;

/// Sort key of a job in the queue; the smallest is served first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    below_production: bool,
    beyond_guarantee: bool,
    priority: Priority,
    urgency: Urgency,
    job: JobIndex,
}

/// Order of jobs with equal guarantee and priority; the smallest is served first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// The job has waited long for its first task or is far beyond its deadline; the oldest is served first. Without this the
    /// largest jobs would never begin beside a stream of small ones.
    Overdue { submitted_at: Timestamp },
    /// The job can still meet its deadline, has none, or is a service; the smallest order is served first. The order is the
    /// expected work in milliseconds, or the time of submission for a service. The shortest job comes first because
    /// service-level objectives count jobs, and some are late whenever a team's limit is reached or the fleet is full.
    InTime { order: u64 },
    /// The job has missed its deadline; the oldest is served first.
    Late { submitted_at: Timestamp },
}

impl Scheduler {
    /// Returns the jobs with tasks to place, in the order in which they are served. Updates which jobs are within their team's
    /// guarantee: it covers a team's jobs in the order of submission, each with all its unfinished tasks.
    pub(super) fn queue(&mut self) -> Vec<JobIndex> {
        let now = self.now();
        let mut requested = self.quotas.zero_by_team();
        let mut queue = Vec::new();
        for position in 0..self.jobs.len() {
            let index = self.jobs.nth_oldest(position);
            let job = &mut self.jobs[index];
            let amount = job.task_resources.quota().saturating_mul(job.unfinished());
            job.within_guarantee = job.team.is_some_and(|team| {
                let guarantee = self.quotas.guarantee(team);
                let requested = requested.get_mut(team);
                *requested = requested.saturating_add(amount);
                !job.is_final
                    && requested.cpu_milli <= guarantee.cpu_milli
                    && (job.task_resources.gpu_milli == 0
                        || requested.gpu_milli <= guarantee.gpu_milli)
            });
            if job.placeable(now) > 0 && job.retry_at <= now {
                queue.push(index);
            }
        }
        queue.sort_by_cached_key(|index| self.queue_key(*index));
        queue
    }

    fn queue_key(&self, index: JobIndex) -> QueueKey {
        let job = self.job(index);
        QueueKey {
            below_production: !job.is_production(),
            beyond_guarantee: !job.within_guarantee,
            priority: job.spec().priority,
            urgency: self.urgency(job),
            job: index,
        }
    }

    fn urgency(&self, job: &Job) -> Urgency {
        let submitted_at = job.submitted_at;
        if job.is_service() {
            return Urgency::InTime {
                order: submitted_at.as_millis(),
            };
        }
        let age = self.elapsed_since(submitted_at);
        let has_begun = job.done.count() > 0 || !job.active.is_empty();
        if !has_begun && age > FIRST_TASK_WAIT_LIMIT {
            return Urgency::Overdue { submitted_at };
        }
        match self.deadline(job) {
            Some(deadline) if age > deadline.saturating_mul(OVERDUE_DEADLINE_FACTOR) => {
                Urgency::Overdue { submitted_at }
            }
            Some(deadline) if age > deadline => Urgency::Late { submitted_at },
            _ => Urgency::InTime {
                order: millis_from_secs(f64::from(job.unfinished()) * job.expected_run_s()),
            },
        }
    }

    /// Returns the time after submission by which a job should be finished: its own deadline or else the objective of its
    /// class, if there is one.
    fn deadline(&self, job: &Job) -> Option<Duration> {
        let spec = job.spec();
        spec.deadline_s
            .map(duration_from_secs)
            .or_else(|| self.params.finish_within.get(&spec.class).copied())
    }

    /// Returns the smallest amount of each resource that a task of these jobs requests. A machine with less free of any
    /// resource fits none of them.
    pub(super) fn smallest_request(&self, queue: &[JobIndex]) -> Resources {
        queue
            .iter()
            .map(|index| self.job(*index).task_resources)
            .reduce(Resources::min)
            .unwrap_or(Resources::ONE)
    }
}
