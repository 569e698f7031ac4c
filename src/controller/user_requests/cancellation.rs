//! A user cancels a job.
//!
//! 1. A transaction replaces the record of the unfinished job by a final state, on the condition that the job did not change
//!    meanwhile. Once that is durable the job is cancelled.
//! 2. Its tasks are stopped here, if this controller leads, and the other controllers are notified.
//! 3. The user is answered when no leader can start a task of the job any more: when the leader is known to know of the
//!    cancellation, or when the authority of a leader that does not know has ended.
//!
//! A cancellation of a job that is final changes nothing, but its answer waits in the same way.

use super::final_outcome;
use crate::controller::handles::Handles;
use crate::controller::messages::JobOutcome;
use crate::coordination::cancellations::Notice;
use crate::coordination::leadership::longest_authority;
use crate::coordination::peers::CancelledJob;
use crate::store::{self, FinalRecord, LiveRecord, Revision, StoreError, TxnOutcome, Versioned};
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::time::sleep;

/// Number of changes of the store by a cancellation.
const CANCELLATION_CHANGES: u32 = 3;
/// How often a cancellation is tried when the job changes meanwhile.
const ATTEMPTS: usize = 3;
/// Time before the next attempt when neither the job's record nor its final state was as expected.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time between two checks of whether the leader knows of a cancellation.
const ACKNOWLEDGEMENT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The result of one attempt: the outcome, or that the job changed meanwhile.
type Attempt = ControlFlow<JobOutcome>;

impl Handles {
    /// Answers a request to cancel a job.
    pub(in crate::controller) async fn cancel(&self, id: &str) -> JobOutcome {
        for _ in 0..ATTEMPTS {
            if let ControlFlow::Break(outcome) = self.try_cancel(id).await {
                return outcome;
            }
        }
        JobOutcome::RETRY_SOON
    }

    async fn try_cancel(&self, id: &str) -> Attempt {
        if let Some(final_state) = self.remembered_final_state(id) {
            return ControlFlow::Break(self.confirm_final(id, final_state).await);
        }
        let Some(live) = self.read_state(|state| state.replica().live.get(id).cloned()) else {
            return match self.poll(id).await {
                // The job is in the replica by now, or its final state is remembered.
                JobOutcome::Known(_) => ControlFlow::Continue(()),
                outcome => ControlFlow::Break(outcome),
            };
        };
        if let Err(retry) = self.admit_changes(CANCELLATION_CHANGES) {
            return ControlFlow::Break(retry);
        }
        self.cancel_unfinished(id, &live).await
    }

    /// Cancels a job whose record is the given one.
    async fn cancel_unfinished(&self, id: &str, live: &Versioned<LiveRecord>) -> Attempt {
        let final_state = FinalRecord {
            cancelled: true,
            tasks: live.record.spec.tasks,
        };
        match self
            .run_user_transaction(&store::cancel_txn(id, live))
            .await
        {
            Ok(TxnOutcome::Applied(revision)) => {
                ControlFlow::Break(self.confirm(id, final_state, revision).await)
            }
            Ok(TxnOutcome::Failed(_)) | Err(StoreError::OutcomeUnknown(_)) => {
                self.read_back(id).await
            }
            Err(_) => ControlFlow::Break(JobOutcome::RETRY_SOON),
        }
    }

    /// Finds out what became of a job when the transaction failed or was not answered.
    async fn read_back(&self, id: &str) -> Attempt {
        match self.read_final_state(id).await {
            Ok(found) if found.record.cancelled => {
                ControlFlow::Break(self.confirm(id, found.record, found.version).await)
            }
            Ok(found) => ControlFlow::Break(final_outcome(id, found.record)),
            Err(StoreError::NotFound) => {
                sleep(RETRY_DELAY).await;
                ControlFlow::Continue(())
            }
            Err(_) => ControlFlow::Break(JobOutcome::RETRY_SOON),
        }
    }

    /// Spreads and confirms a cancellation that became durable at a revision.
    async fn confirm(&self, id: &str, final_state: FinalRecord, revision: Revision) -> JobOutcome {
        let cancelled = CancelledJob {
            job: id.to_string(),
            tasks: final_state.tasks,
            revision,
        };
        self.with_state(|state| state.record_cancellation(cancelled));
        self.cancellation_recorded.notify_one();
        self.round_requested.notify_one();
        self.confirm_final(id, final_state).await
    }

    /// Answers a request to cancel a job that is final.
    ///
    /// If it was cancelled, no task of it can start any more by then. A request that was repeated at another controller was
    /// once answered before the leader knew of the cancellation.
    async fn confirm_final(&self, id: &str, final_state: FinalRecord) -> JobOutcome {
        if let Some(notice) = self.read_state(|state| state.unsettled_cancellation(id)) {
            self.wait_until_no_task_can_start(notice).await;
        }
        final_outcome(id, final_state)
    }

    /// Waits until no leader can send a start of a cancelled job: until the leader knows of the cancellation, which usually
    /// takes milliseconds, or until its authority to start tasks has ended in any case.
    async fn wait_until_no_task_can_start(&self, notice: Notice) {
        let deadline = self.read_state(|state| {
            let lease_ttl = state.settings().operator.leader_lease();
            state.now() + longest_authority(lease_ttl)
        });
        let settled = || {
            self.read_state(|state| state.is_cancellation_settled(notice) || state.now() > deadline)
        };
        while !settled() {
            sleep(ACKNOWLEDGEMENT_POLL_INTERVAL).await;
        }
    }
}
