//! The users: submissions, cancellations and their confirmation, and the actual progress of each job.

use super::Simulation;
use crate::coordination::cancellations::Notice;
use crate::coordination::peers::CancelledJob;
use crate::protocol::JobSpec;
use crate::store::{self, FinalRecord, JobRecord, TxnOutcome, TxnSize};
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// The tests' leader lease of 2500 ms, extended by the assumed clock drift of 0.1%. After this time no leader can start tasks of
/// a job whose cancellation it did not know of when the cancellation became durable.
const LONGEST_AUTHORITY: Duration = Duration::from_millis(2500 * 1001 / 1000);

/// Time after which a user whose controller has crashed asks another controller.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// A durable cancellation that is not confirmed to its user yet.
struct UnconfirmedCancellation {
    node: usize,
    notice: Notice,
    since: Timestamp,
}

/// A submitted job with its actual progress, independent of what the controllers know.
pub(crate) struct SubmittedJob {
    /// Specification of the job as submitted.
    pub spec: JobSpec,
    /// Run time of the first task.
    pub run_time: Duration,
    /// Additional run time of each task compared to the previous one.
    pub stagger: Duration,
    /// Numbers of the tasks that are done.
    pub done: BTreeSet<u32>,
    /// Time at which the cancellation was confirmed to the user.
    pub cancellation_confirmed_at: Option<Timestamp>,
    /// Whether the user has requested a cancellation, successful or not.
    pub(super) cancellation_requested: bool,
    unconfirmed_cancellation: Option<UnconfirmedCancellation>,
}

impl SubmittedJob {
    /// Returns the run time of a task.
    pub(super) fn run_time_of(&self, number: u32) -> Duration {
        self.run_time + self.stagger * number
    }
}

impl Simulation {
    /// Submits a job whose tasks run for a given time.
    pub(crate) fn submit(&mut self, spec: JobSpec, run_time: Duration) {
        let record = JobRecord {
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

    /// Returns a job for changes. Panics if it was not submitted.
    pub(crate) fn job_mut(&mut self, id: &str) -> &mut SubmittedJob {
        self.jobs.get_mut(id).unwrap()
    }

    /// Cancels a job through a controller. Returns false if the controller cannot accept the cancellation.
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
        let txn = controller.cancellation_txn(id, &live);
        let size = TxnSize::of(&txn);
        if !self.store.limits.accept(&size) {
            self.store.refused_for_size += 1;
            controller.record_refused_transaction(&size);
            return false;
        }
        let TxnOutcome::Applied(revision) = self.store.commit(&txn) else {
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

    /// Reports whether the cancellation of a job was confirmed to its user.
    pub(crate) fn cancellation_is_confirmed(&self, id: &str) -> bool {
        self.jobs[id].cancellation_confirmed_at.is_some()
    }

    /// Reports whether a job is not final and nobody has requested its cancellation.
    pub(crate) fn is_cancellable(&self, id: &str) -> bool {
        !self.jobs[id].cancellation_requested && self.store.contains(&store::live_key(id))
    }

    /// Returns the final state of a job, once it has one.
    pub(crate) fn final_state(&self, id: &str) -> Option<FinalRecord> {
        self.store
            .get::<FinalRecord>(&store::final_key(id))
            .map(|stored| stored.record)
    }

    /// Confirms cancellations once the controller that accepted them knows that no start of a task can follow.
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
                // The user's request is lost with the process. After the timeout the user asks another controller, which finds
                // the job cancelled.
                None => waited > USER_TIMEOUT,
            };
            if confirmed {
                job.unconfirmed_cancellation = None;
                job.cancellation_confirmed_at = Some(now);
            }
        }
    }
}
