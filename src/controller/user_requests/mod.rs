//! User requests: submissions, polls and cancellations of jobs, and the steps that they share.
//!
//! Any controller serves any user. A request is answered from the replica where that suffices, after a linearizable read where
//! the answer must be up to date, and from the store where the replica lacks the record. Changes are compare-and-swap
//! transactions in the store; the leader learns of them from its watch, and of cancellations also from its peers.
//!
//! A request that the store is too busy to serve is not retried here: the user is told when to repeat it, which is safe since
//! submissions and cancellations are idempotent.

mod cancellation;
mod poll;
mod submission;

use super::handles::Handles;
use super::job_status::final_view;
use super::messages::JobOutcome;
use super::metrics::Admission;
use super::state::ControllerState;
use crate::protocol::Txn;
use crate::store::{self, FinalRecord, StoreError, TxnOutcome, Versioned};

impl Handles {
    /// Returns the final state of a job, if this controller remembers it.
    fn remembered_final_state(&self, id: &str) -> Option<FinalRecord> {
        self.read_state(|state| state.replica().final_state(id))
    }

    /// Returns the final state of a job, remembered or read from the store; [`StoreError::NotFound`] if it has none.
    async fn final_state(&self, id: &str) -> Result<FinalRecord, StoreError> {
        if let Some(final_state) = self.remembered_final_state(id) {
            return Ok(final_state);
        }
        Ok(self.read_final_state(id).await?.record)
    }

    /// Reads the final state of a job from the store and remembers it; [`StoreError::NotFound`] if it has none.
    async fn read_final_state(&self, id: &str) -> Result<Versioned<FinalRecord>, StoreError> {
        let read = self.store.get::<FinalRecord>(&store::final_key(id)).await;
        let found = self.record_store_response(read)?;
        self.update_state(|state| state.record_final_state(id, &found));
        Ok(found)
    }

    /// Admits a read of the store on behalf of a user, or returns the outcome that tells the user when to repeat the request.
    fn admit_read(&self) -> Result<(), JobOutcome> {
        let admitted = self.update_state(ControllerState::take_user_read);
        self.metrics.record_user_read(match admitted {
            Ok(()) => Admission::Admitted,
            Err(_) => Admission::Refused,
        });
        admitted.map_err(JobOutcome::RetryAfter)
    }

    /// Admits changes to the store on behalf of a user, or returns the outcome that tells the user when to repeat the request.
    fn admit_changes(&self, changes: u32) -> Result<(), JobOutcome> {
        self.update_state(|state| state.take_user_changes(changes))
            .map_err(JobOutcome::RetryAfter)
    }

    /// Runs a user's transaction, without retries, and adapts the rate limit of users' changes to the outcome.
    async fn run_user_transaction(&self, transaction: &Txn) -> Result<TxnOutcome, StoreError> {
        let outcome = self.record_store_response(self.store.txn(transaction).await);
        self.update_state(|state| state.record_user_transaction(&outcome));
        outcome
    }
}

/// Returns the outcome of a request about a job that has a final state.
fn final_outcome(id: &str, final_state: FinalRecord) -> JobOutcome {
    JobOutcome::Known(final_view(id, final_state))
}
