//! Makes the leader's decisions durable and deletes obsolete records, in batches.

use super::handles::Handles;
use super::state::{ControllerState, FLUSH_INTERVAL};
use crate::protocol::Guard;
use crate::store::TxnOutcome;

impl Handles {
    /// Runs rounds of durable writes while this controller leads.
    ///
    /// A failed write is not retried as it was: a later round builds a new one from the state at that time.
    pub(super) async fn run_flush_loop(self) {
        loop {
            self.wait_until_leading().await;
            tokio::time::sleep(FLUSH_INTERVAL).await;
            let Some(epoch) = self.read_state(ControllerState::write_guard) else {
                continue;
            };
            self.flush_completions(&epoch).await;
            self.flush_results(&epoch).await;
            self.clean_up_rentals(&epoch).await;
            self.clean_up_final_jobs(&epoch).await;
        }
    }

    async fn flush_completions(&self, epoch: &Guard) {
        let completions = self.read_state(|state| state.job_completions(epoch));
        for completion in completions {
            // The transaction fails if the job was cancelled, or if an earlier, unanswered attempt was applied. The watch
            // delivers the job's final state in both cases.
            if let Ok(TxnOutcome::Applied(_)) = self.leader_transaction(&completion.txn).await {
                self.update_state(|state| state.finish_job(&completion.job, completion.tasks));
            }
        }
    }

    async fn flush_results(&self, epoch: &Guard) {
        let Some(write) = self.read_state(|state| state.results_to_store(epoch)) else {
            return;
        };
        match self.leader_transaction(&write.txn).await {
            Ok(TxnOutcome::Applied(_)) => {
                self.update_state(|state| state.record_stored_results(epoch, &write.chunks));
            }
            // The replica lags behind an earlier write, or a job has just ended. The watch delivers the change.
            Ok(TxnOutcome::Failed(keys)) => tracing::debug!(
                ?keys,
                "results not stored, replica is behind; next round retries"
            ),
            // The store refused the write or did not answer. The next round retries.
            Err(_) => {}
        }
    }

    async fn clean_up_rentals(&self, epoch: &Guard) {
        let Some(cleanup) = self.read_state(|state| state.rental_cleanup(epoch)) else {
            return;
        };
        if let Ok(TxnOutcome::Applied(_)) = self.leader_transaction(&cleanup.txn).await {
            self.update_state(|state| state.finish_rental_cleanup(&cleanup.machines));
        }
    }

    async fn clean_up_final_jobs(&self, epoch: &Guard) {
        let Some(txn) = self.update_state(|state| state.final_job_cleanup(epoch)) else {
            return;
        };
        // Whatever the outcome, the watch reports the deleted records, and the next round tries to delete the rest.
        let _ = self.leader_transaction(&txn).await;
    }
}
