//! The limits of the state service that writes keep to, and what refusals tell about them.

use super::ControllerState;
use crate::store::{StoreError, TxnOutcome, TxnSize, WriteLimits};

impl ControllerState {
    /// Returns the limits of the state service that writes keep to.
    pub(in crate::controller) fn write_limits(&self) -> &WriteLimits {
        &self.write_limits
    }

    /// Adapts the size of batches to the outcome of a transaction with a number of changes, which was tried repeatedly if the
    /// service did not admit them.
    pub(in crate::controller) fn record_batch_outcome(
        &mut self,
        changes: usize,
        outcome: &Result<TxnOutcome, StoreError>,
    ) {
        match outcome {
            Ok(_) => self.write_limits.record_admitted(),
            Err(StoreError::RateLimited) => self.write_limits.record_throttled(changes),
            // Other failures do not depend on the rate.
            Err(_) => {}
        }
    }

    /// Records that the service has refused a transaction for its size, and lowers the known limits if it kept to them.
    pub(in crate::controller) fn record_refused_transaction(&mut self, size: &TxnSize) {
        if self.write_limits.record_refusal(size) {
            tracing::error!(
                value_bytes = self.write_limits.value_bytes(),
                changes = self.write_limits.changes(),
                "limits of the state service are lower than known, writes are made smaller"
            );
        }
    }
}
