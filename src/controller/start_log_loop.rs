//! Appends assignments to the start log.

use super::handles::Handles;
use super::state::{ControllerState, PreparedStartLogWrite};
use crate::store::{self, StoreError, TxnOutcome, Versioned};
use crate::time::duration_from_millis;

impl Handles {
    /// Writes the start log one append at a time, so that entries are written in the order of the assignments.
    pub(super) async fn run_start_log_loop(self) {
        let changes_per_s = self.read_state(|state| state.write_limits().changes_per_s());
        // Start-log writes may use a quarter of the store's rate of changes.
        let interval = duration_from_millis(4.0 * 1000.0 / changes_per_s);
        loop {
            self.start_log_requested.notified().await;
            let Some(write) = self.update_state(ControllerState::next_start_log_write) else {
                continue;
            };
            let PreparedStartLogWrite {
                slot_write,
                term,
                txn,
            } = write;
            let outcome = self.leader_transaction(&txn).await;
            let slot = match outcome {
                Ok(TxnOutcome::Applied(_))
                | Err(
                    StoreError::RateLimited
                    | StoreError::Unavailable
                    | StoreError::TransactionRefused(_),
                ) => None,
                // This write, or an earlier one that was not answered, may have been applied: read the slot to find out.
                _ => self.read_start_log_slot(slot_write.slot).await,
            };
            self.update_state(|state| {
                state.finish_start_log_write(term, slot_write, &outcome, slot.as_ref());
            });
            self.round_requested.notify_one();
            tokio::time::sleep(interval).await;
        }
    }

    /// Reads a slot of the start log. Returns `None` if the slot is empty or the read fails.
    async fn read_start_log_slot(&self, slot: u32) -> Option<Versioned<String>> {
        let key = store::start_log_key(slot);
        self.record_store_response(self.store.get::<String>(&key).await)
            .ok()
    }
}
