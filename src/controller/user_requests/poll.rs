//! Polls: a user requests the state of a job.
//!
//! 1. A remembered final state is returned directly, since final states never change.
//! 2. Otherwise the replica has to be at least as new as the request. A linearizable read returns the revision that it must
//!    have reached; concurrent polls share one.
//! 3. An unfinished job is then in the replica. Its task counts come from this controller's scheduler, or from the leader.
//! 4. A job that is not in the replica is either final or was never accepted. Unless it is known to be absent, its final state
//!    is read from the store. These reads are rate-limited, and absence is remembered.

use super::final_outcome;
use crate::controller::handles::Handles;
use crate::controller::messages::JobOutcome;
use crate::store::StoreError;

impl Handles {
    /// Answers a poll.
    pub(in crate::controller) async fn poll(&self, id: &str) -> JobOutcome {
        if let Some(final_state) = self.remembered_final_state(id) {
            return final_outcome(id, final_state);
        }
        if self.wait_for_linearizable_read().await.is_err() {
            return JobOutcome::RETRY_SOON;
        }
        if let Some(view) = self.read_state(|state| state.job_view(id)) {
            return JobOutcome::Known(view);
        }
        if self.read_state(|state| state.replica().is_absent(id)) {
            return JobOutcome::NotFound;
        }
        if let Err(retry) = self.admit_read() {
            return retry;
        }
        self.poll_store(id).await
    }

    /// Answers a poll for a job that is not in the replica from its final state in the store.
    async fn poll_store(&self, id: &str) -> JobOutcome {
        let generation = self.read_state(|state| state.replica().generation);
        match self.final_state(id).await {
            Ok(final_state) => final_outcome(id, final_state),
            Err(StoreError::NotFound) => {
                self.update_state(|state| state.remember_absent(id, generation));
                JobOutcome::NotFound
            }
            Err(_) => JobOutcome::RETRY_SOON,
        }
    }

    /// Answers a poll, with `if_not_found` as the outcome for a job that was never accepted.
    pub(super) async fn poll_or(&self, id: &str, if_not_found: JobOutcome) -> JobOutcome {
        match self.poll(id).await {
            JobOutcome::NotFound => if_not_found,
            outcome => outcome,
        }
    }
}
