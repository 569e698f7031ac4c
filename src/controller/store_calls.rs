//! Store calls: tracking of the store's reachability, and retries of the leader's transactions.

use super::handles::Handles;
use super::state::ControllerState;
use crate::protocol::Txn;
use crate::store::{StoreError, TxnOutcome, TxnSize, WriteLimits};
use rand::Rng;
use std::ops::Range;
use std::time::Duration;

/// Maximum number of retries of a leader's transaction that the store rejects for exceeding its request rate.
const RETRY_LIMIT: u32 = 6;
/// Range of the random delay before a retry, in milliseconds.
const RETRY_DELAY_MS: Range<u64> = 40..160;
/// Delay of a loop of the leader whose transaction was refused for its size and would be built the same again.
const REFUSED_RETRY_DELAY: Duration = Duration::from_secs(5);

impl Handles {
    /// Records that the store is reachable if the result shows that it has responded, and returns the result unchanged.
    pub(super) fn record_store_response<T>(
        &self,
        result: Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        if matches!(
            result,
            Ok(_)
                | Err(StoreError::NotFound
                    | StoreError::RateLimited
                    | StoreError::TransactionRefused(_))
        ) {
            self.update_state(ControllerState::record_store_response);
        }
        result
    }

    /// Runs a transaction of the leader, retrying while the store rejects it for exceeding the request rate.
    ///
    /// If the store refuses it for its size, the known limits are lowered, to which the caller builds its next transaction. Unless
    /// they are other ones by then, that would be the same transaction, and the error is returned after a delay.
    pub(super) async fn leader_transaction(&self, txn: &Txn) -> Result<TxnOutcome, StoreError> {
        let built_for = self.read_state(|state| state.write_limits().clone());
        let mut retries = 0;
        loop {
            self.update_state(|state| state.record_own_changes(txn.apply.len()));
            let result = self.record_store_response(self.store.txn(txn).await);
            if let Err(StoreError::TransactionRefused(size)) = &result {
                self.delay_repetition(size, &built_for).await;
            }
            if result != Err(StoreError::RateLimited) || retries == RETRY_LIMIT {
                self.update_state(|state| state.record_batch_outcome(txn.apply.len(), &result));
                return result;
            }
            retries += 1;
            let delay_ms = rand::thread_rng().gen_range(RETRY_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Records that the store has refused a transaction for its size, and waits if the limits for which it was built are still the
    /// known ones.
    async fn delay_repetition(&self, size: &TxnSize, built_for: &WriteLimits) {
        let would_repeat = self.update_state(|state| {
            state.record_refused_transaction(size);
            state.write_limits().has_same_size_limits(built_for)
        });
        if would_repeat {
            tokio::time::sleep(REFUSED_RETRY_DELAY).await;
        }
    }
}
