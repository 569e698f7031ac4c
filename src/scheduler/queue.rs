//! The order in which jobs with tasks to place are served.

use super::index::JobIndex;
use super::job::Job;
use super::Scheduler;
use crate::protocol::Priority;
use crate::resources::Resources;
use crate::time::{duration_from_secs, millis_from_secs, Timestamp};
use std::time::Duration;

/// A job that has waited for this long for its first task comes first: 40 % of the 240 s within which the largest jobs,
/// too, must begin (PROTOCOL, additions).
const FIRST_TASK_WAIT_LIMIT: Duration = Duration::from_secs(96);
/// A job that is unfinished after this many times its deadline is very late.
const VERY_LATE_FACTOR: u32 = 3;

/// A job's place in the queue; the least is served first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    below_production: bool,
    beyond_guarantee: bool,
    priority: Priority,
    urgency: Urgency,
    job: JobIndex,
}

/// A job's place among its equals; the least is served first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// It has waited long for its first task or is very late: otherwise the largest would never begin beside a stream of small
    /// ones. The oldest first.
    Overdue { submitted_at: Timestamp },
    /// It can still be in time, or is a service. The shortest first, since a team's limit or a full fleet makes some late and
    /// service-level objectives count jobs. The order is the expected work in milliseconds, for a service its submission.
    InTime { order: u64 },
    /// It is late. The oldest first.
    Late { submitted_at: Timestamp },
}

impl Scheduler {
    /// Jobs with tasks to place, in the order in which they are served. Notes which jobs are within their team's guarantee.
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
                let requested = requested.of(team);
                *requested = requested.saturating_add(amount);
                !job.cancelled
                    && requested.cpu_milli <= guarantee.cpu_milli
                    && (job.task_resources.accelerator_milli == 0
                        || requested.accelerator_milli <= guarantee.accelerator_milli)
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
            Some(deadline) if age > deadline.saturating_mul(VERY_LATE_FACTOR) => {
                Urgency::Overdue { submitted_at }
            }
            Some(deadline) if age > deadline => Urgency::Late { submitted_at },
            _ => Urgency::InTime {
                order: millis_from_secs(f64::from(job.unfinished()) * job.expected_run_s()),
            },
        }
    }

    /// The time within which a job should be finished, if there is one: its own deadline or its class's objective.
    fn deadline(&self, job: &Job) -> Option<Duration> {
        let spec = job.spec();
        spec.deadline_s
            .map(duration_from_secs)
            .or_else(|| self.params.finish_within.get(&spec.class).copied())
    }

    /// The least that a task of these jobs takes of each resource. What has less is of no use for any of them.
    pub(super) fn smallest_request(&self, queue: &[JobIndex]) -> Resources {
        queue
            .iter()
            .map(|index| self.job(*index).task_resources)
            .reduce(Resources::min)
            .unwrap_or(Resources::ONE)
    }
}
