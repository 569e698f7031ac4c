//! The users: what they submit and cancel, when a cancellation is confirmed to them, and the truth about each job.

use super::Simulation;
use crate::coordination::cancellations::Notice;
use crate::coordination::peers::CancelledJob;
use crate::protocol::JobSpec;
use crate::store::{self, FinalRecord, LiveRecord, TxnOutcome};
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// Length of the leader lease, with the steady clock's drift: after so long no leader starts what it did not know of.
const LONGEST_AUTHORITY: Duration = Duration::from_millis(2500 * 1001 / 1000);

/// After so long a user gives up a controller that has ended, and asks another.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// A cancellation that is durable, and not confirmed to its user yet.
struct UnconfirmedCancellation {
    node: usize,
    notice: Notice,
    since: Timestamp,
}

/// What is true of a job.
pub(crate) struct SubmittedJob {
    /// What was submitted.
    pub spec: JobSpec,
    /// Run time of its first task.
    pub run_time: Duration,
    /// By how much longer each task runs than the one before it.
    pub stagger: Duration,
    /// The tasks that have ended well.
    pub done: BTreeSet<u32>,
    /// When its cancellation was confirmed to its user.
    pub cancellation_confirmed_at: Option<Timestamp>,
    /// Its user has asked for its cancellation.
    pub(super) cancellation_requested: bool,
    unconfirmed_cancellation: Option<UnconfirmedCancellation>,
}

impl SubmittedJob {
    /// Run time of a task.
    pub(super) fn run_time_of(&self, number: u32) -> Duration {
        self.run_time + self.stagger * number
    }
}

impl Simulation {
    /// A user submits a job whose tasks run for that time.
    pub(crate) fn submit(&mut self, spec: JobSpec, run_time: Duration) {
        let record = LiveRecord {
            spec: spec.clone(),
            at_ms: self.now().as_millis(),
        };
        assert!(matches!(
            self.store.commit(&store::submit_txn(&spec.id, &record)),
            TxnOutcome::Applied(_)
        ));
        let job = SubmittedJob {
            spec,
            run_time,
            stagger: Duration::ZERO,
            done: BTreeSet::new(),
            cancellation_confirmed_at: None,
            cancellation_requested: false,
            unconfirmed_cancellation: None,
        };
        self.jobs.insert(job.spec.id.clone(), job);
    }

    /// A job that a test names.
    pub(crate) fn job_mut(&mut self, id: &str) -> &mut SubmittedJob {
        self.jobs.get_mut(id).unwrap()
    }

    /// A user cancels a job through a controller; false if that cannot take it.
    pub(crate) fn cancel(&mut self, node: usize, id: &str) -> bool {
        self.job_mut(id).cancellation_requested = true;
        let now = self.now();
        if !self.store.is_available_to(node) || now < self.nodes[node].paused_until {
            return false;
        }
        let Some(controller) = self.nodes[node].controller.as_mut() else {
            return false;
        };
        let Some(live) = controller.replica().live.get(id).cloned() else {
            return false;
        };
        let TxnOutcome::Applied(revision) = self.store.commit(&store::cancel_txn(id, &live)) else {
            return false;
        };
        let notice = controller.record_cancellation(CancelledJob {
            job: id.into(),
            tasks: live.record.spec.tasks,
            revision,
        });
        self.job_mut(id).unconfirmed_cancellation = Some(UnconfirmedCancellation {
            node,
            notice,
            since: now,
        });
        true
    }

    /// Whether a job's cancellation was confirmed to its user.
    pub(crate) fn cancellation_is_confirmed(&self, id: &str) -> bool {
        self.jobs[id].cancellation_confirmed_at.is_some()
    }

    /// Whether a user may still cancel this job.
    pub(crate) fn is_cancellable(&self, id: &str) -> bool {
        !self.jobs[id].cancellation_requested && self.store.contains(&store::live_key(id))
    }

    /// The final state of a job.
    pub(crate) fn final_state(&self, id: &str) -> Option<FinalRecord> {
        self.store
            .get::<FinalRecord>(&store::final_key(id))
            .map(|stored| stored.record)
    }

    /// Confirms cancellations once the controller that took them knows that no start can follow.
    pub(super) fn confirm_cancellations(&mut self) {
        let now = self.now();
        for job in self.jobs.values_mut() {
            let Some(cancellation) = &job.unconfirmed_cancellation else {
                continue;
            };
            let waited = now.saturating_duration_since(cancellation.since);
            let confirmed = match self.nodes[cancellation.node].controller.as_ref() {
                Some(controller) => {
                    controller.is_cancellation_settled(cancellation.notice)
                        || waited > LONGEST_AUTHORITY
                }
                // Its user hears nothing from it and asks another, to which the job is cancelled.
                None => waited > USER_TIMEOUT,
            };
            if confirmed {
                job.unconfirmed_cancellation = None;
                job.cancellation_confirmed_at = Some(now);
            }
        }
    }
}
