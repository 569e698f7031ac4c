//! Writes the start log.

use super::handles::Handles;
use super::state::{ControllerState, StartLogWrite};
use crate::store::{self, StoreError, TxnOutcome, Versioned};
use crate::time::duration_from_millis;

impl Handles {
    /// Writes the start log, one append at a time, so that the order of writes is that of the assignments.
    pub(super) async fn run_start_log_loop(self) {
        let write_rps =
            self.read_state(|state| state.settings().platform.deployment.state.write_rps);
        // A quarter of the store's changes may be writes of the start log.
        let interval = duration_from_millis(4.0 * 1000.0 / write_rps);
        loop {
            self.start_log_requested.notified().await;
            let Some(write) = self.with_state(ControllerState::next_start_log_write) else {
                continue;
            };
            let StartLogWrite {
                slot_write,
                term,
                txn,
            } = write;
            let outcome = self.leader_transaction(&txn).await;
            let slot = match outcome {
                Ok(TxnOutcome::Applied(_))
                | Err(StoreError::RateLimited | StoreError::Unavailable) => None,
                // The write, or an earlier one without an answer, may have been applied: the slot tells.
                _ => self.read_start_log_slot(slot_write.slot).await,
            };
            self.with_state(|state| {
                state.finish_start_log_write(term, slot_write, &outcome, slot.as_ref());
            });
            self.round_requested.notify_one();
            tokio::time::sleep(interval).await;
        }
    }

    /// What a slot of the start log holds; none also if the store does not tell.
    async fn read_start_log_slot(&self, slot: u32) -> Option<Versioned<String>> {
        let key = store::starts_key(slot);
        self.record_store_answer(self.store.get::<String>(&key).await)
            .ok()
    }
}
