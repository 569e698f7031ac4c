//! The limits of the state service that writes keep to, and what refusals tell about them.

use super::ControllerState;
use crate::store::{TxnSize, WriteLimits};

/// What a refusal for size means for the next write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub(in crate::controller) enum AfterRefusal {
    /// The next write is built for other limits than the refused one.
    Rebuild,
    /// The refused transaction keeps to all known limits, which cannot be lowered: the next write would be the same.
    WouldRepeat,
}

impl ControllerState {
    /// Returns the limits of the state service that writes keep to.
    pub(in crate::controller) fn write_limits(&self) -> &WriteLimits {
        &self.write_limits
    }

    /// Records that the service has refused a transaction for its size, and lowers the known limits if it kept to them.
    pub(in crate::controller) fn record_refused_transaction(
        &mut self,
        size: &TxnSize,
    ) -> AfterRefusal {
        if self.write_limits.record_refusal(size) {
            tracing::error!(
                value_bytes = self.write_limits.value_bytes(),
                changes = self.write_limits.changes(),
                "limits of the state service are lower than known, writes are made smaller"
            );
        }
        if self.write_limits.accept(size) {
            AfterRefusal::WouldRepeat
        } else {
            AfterRefusal::Rebuild
        }
    }
}
