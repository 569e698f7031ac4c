//! Cancellations: a user cancels a job.
//!
//! 1. A transaction replaces the record of the unfinished job with a final state, on the condition that the record has not
//!    changed in the meantime. Once the transaction is durable, the job is cancelled.
//! 2. If this controller leads, it stops the job's tasks. The other controllers are notified.
//! 3. The user is answered when no leader can start a task of the job any more: either the leader is known to have learned of
//!    the cancellation, or the authority of a leader that does not know of it has ended.
//!
//! Cancelling a job that is already final changes nothing, but the answer waits in the same way.

use super::final_outcome;
use crate::controller::handles::Handles;
use crate::controller::messages::JobOutcome;
use crate::coordination::cancellations::Notice;
use crate::coordination::leadership::longest_authority;
use crate::coordination::peers::CancelledJob;
use crate::store::{FinalRecord, JobRecord, Revision, StoreError, TxnOutcome, Versioned};
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::time::sleep;

/// Number of changes to the store per cancellation.
const CANCELLATION_CHANGES: u32 = 3;
/// Maximum number of attempts at a cancellation, which is repeated if the job has changed in the meantime.
const MAX_ATTEMPTS: usize = 3;
/// Delay before the next attempt if the transaction was not applied and the job has no final state.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval at which a request checks whether its cancellation is settled.
const ACKNOWLEDGEMENT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The result of one attempt: `Break` with the outcome, or `Continue` if another attempt is needed.
type AttemptResult = ControlFlow<JobOutcome>;

impl Handles {
    /// Answers a request to cancel a job.
    pub(in crate::controller) async fn cancel(&self, id: &str) -> JobOutcome {
        for _ in 0..MAX_ATTEMPTS {
            if let ControlFlow::Break(outcome) = self.try_cancel(id).await {
                return outcome;
            }
        }
        JobOutcome::RETRY_SOON
    }

    async fn try_cancel(&self, id: &str) -> AttemptResult {
        if let Some(final_state) = self.remembered_final_state(id) {
            return ControlFlow::Break(self.confirm_final(id, final_state).await);
        }
        let Some(live) = self.read_state(|state| state.replica().live.get(id).cloned()) else {
            return match self.poll(id).await {
                // The job is now in the replica, or its final state is remembered.
                JobOutcome::Known(_) => ControlFlow::Continue(()),
                outcome => ControlFlow::Break(outcome),
            };
        };
        if let Err(retry) = self.admit_changes(CANCELLATION_CHANGES) {
            return ControlFlow::Break(retry);
        }
        self.cancel_unfinished(id, &live).await
    }

    /// Cancels an unfinished job, on the condition that its record in the store is still `live`.
    async fn cancel_unfinished(&self, id: &str, live: &Versioned<JobRecord>) -> AttemptResult {
        let final_state = FinalRecord {
            cancelled: true,
            tasks: live.record.spec.tasks,
        };
        let txn = self.read_state(|state| state.cancellation_txn(id, live));
        match self.run_user_transaction(&txn).await {
            Ok(TxnOutcome::Applied(revision)) => {
                ControlFlow::Break(self.confirm(id, final_state, revision).await)
            }
            Ok(TxnOutcome::Failed(_)) | Err(StoreError::OutcomeUnknown(_)) => {
                self.read_back(id).await
            }
            // The known limits were lowered, to which the next attempt reduces the record. An earlier cancellation may have been
            // applied all the same.
            Err(StoreError::TransactionRefused(_)) => self.read_back(id).await,
            Err(_) => ControlFlow::Break(JobOutcome::RETRY_SOON),
        }
    }

    /// Reads the job's final state from the store after the transaction failed or was not answered.
    async fn read_back(&self, id: &str) -> AttemptResult {
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

    /// Applies a durable cancellation, has the peers notified of it, and confirms it to the user.
    async fn confirm(&self, id: &str, final_state: FinalRecord, revision: Revision) -> JobOutcome {
        let cancelled = CancelledJob {
            job: id.to_string(),
            tasks: final_state.tasks,
            revision,
        };
        self.update_state(|state| state.record_cancellation(cancelled));
        self.cancellation_recorded.notify_one();
        self.round_requested.notify_one();
        self.confirm_final(id, final_state).await
    }

    /// Answers a request to cancel a job that has a final state.
    ///
    /// If the job was cancelled, the answer waits until none of its tasks can start any more. Otherwise, a request that is
    /// repeated at another controller could be answered before the leader knows of the cancellation.
    async fn confirm_final(&self, id: &str, final_state: FinalRecord) -> JobOutcome {
        if let Some(notice) = self.read_state(|state| state.unsettled_cancellation(id)) {
            self.wait_until_no_task_can_start(notice).await;
        }
        final_outcome(id, final_state)
    }

    /// Waits until no leader can start a task of a cancelled job: until the leader knows of the cancellation, which usually takes
    /// milliseconds, or at most until the authority of a leader that does not know of it has ended.
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
