//! The limits of the state service that this controller's writes keep to.
//!
//! The settings give the limits of today and, optionally, those that will hold from some later moment. That moment is not
//! announced, so writes keep to the lower ones from the beginning. If the service refuses a transaction that keeps to all known
//! limits, its limits are lower than the settings say, and the known ones are lowered until transactions are accepted again.

use super::TxnSize;
use crate::config::StateLimits;

/// Number of guards that a transaction may have for each change that it may have.
const GUARDS_PER_CHANGE: usize = 4;
/// Maximum size of a transaction, in bytes.
const MAX_TRANSACTION_BYTES: usize = 64 << 10;
/// Number of changes below which the limit is not lowered. Cancellations need as many.
const MIN_CHANGES: usize = 3;
/// Size of a value below which the limit is not lowered, in bytes. The entry of any start fits into such a slot of the start log.
const MIN_VALUE_BYTES: usize = 512;

/// The limits on writes.
#[derive(Debug, Clone, PartialEq)]
pub struct WriteLimits {
    value_bytes: usize,
    /// Largest value that the service stores before its limits change, in bytes.
    largest_value_bytes: usize,
    changes: usize,
    /// The limit on changes according to the settings.
    announced_changes: usize,
    /// Maximum number of changes in a batch that the rate of changes admits.
    admitted_changes: usize,
    changes_per_s: f64,
    requests_per_s: f64,
}

impl WriteLimits {
    /// Creates the limits that hold both now and after the announced change.
    #[must_use]
    pub fn new(settings: &StateLimits) -> WriteLimits {
        let lowest = settings.lowest();
        WriteLimits {
            value_bytes: kib_to_bytes(lowest.value_kb),
            largest_value_bytes: kib_to_bytes(settings.value_kb),
            changes: lowest.txn_ops,
            announced_changes: lowest.txn_ops,
            admitted_changes: lowest.txn_ops,
            changes_per_s: lowest.write_rps,
            requests_per_s: lowest.rps,
        }
    }

    /// Returns the maximum size of a value in the form of JSON, in bytes.
    #[must_use]
    pub fn value_bytes(&self) -> usize {
        self.value_bytes
    }

    /// Returns the size above which no value can be stored, not even before an announced change of the limits, in bytes.
    #[must_use]
    pub fn largest_value_bytes(&self) -> usize {
        self.largest_value_bytes
    }

    /// Returns the maximum number of changes in a transaction.
    #[must_use]
    pub fn changes(&self) -> usize {
        self.changes
    }

    /// Returns the maximum number of changes in a batch that could as well be several smaller ones.
    #[must_use]
    pub fn batch_changes(&self) -> usize {
        self.changes.min(self.admitted_changes)
    }

    /// Returns the maximum number of guards of a transaction.
    #[must_use]
    pub fn guards(&self) -> usize {
        GUARDS_PER_CHANGE * self.changes
    }

    /// Returns the maximum size of a transaction in the form of JSON, in bytes.
    #[must_use]
    pub fn transaction_bytes(&self) -> usize {
        MAX_TRANSACTION_BYTES
    }

    /// Returns the maximum number of changes per second, by all controllers together.
    #[must_use]
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_s
    }

    /// Returns the maximum number of requests per second, by all controllers together.
    #[must_use]
    pub fn requests_per_s(&self) -> f64 {
        self.requests_per_s
    }

    /// Records that the service did not admit a number of changes, although they were tried repeatedly. Bursts are limited to the
    /// changes of a second: if the rate is lower than known, a batch of more would never be admitted.
    pub fn record_throttled(&mut self, changes: usize) {
        self.admitted_changes = (changes / 2).max(1);
    }

    /// Records that the service has admitted a transaction, so that batches may grow again.
    pub fn record_admitted(&mut self) {
        self.admitted_changes = (self.admitted_changes + 1).min(self.announced_changes);
    }

    /// Reports whether a transaction of this size keeps to the limits.
    #[must_use]
    pub fn accept(&self, size: &TxnSize) -> bool {
        size.changes <= self.changes
            && size.guards <= self.guards()
            && size.largest_value <= self.value_bytes
            && size.total <= MAX_TRANSACTION_BYTES
    }

    /// Reports whether the limits on sizes are those of other limits, so that a transaction would be built in the same way.
    #[must_use]
    pub fn has_same_size_limits(&self, other: &WriteLimits) -> bool {
        (self.value_bytes, self.changes) == (other.value_bytes, other.changes)
    }

    /// Lowers the limits after the service has refused a transaction of this size, if it kept to them. Returns whether they were
    /// lowered.
    ///
    /// A refusal does not tell which limit was exceeded. The number of changes, which also limits the guards, is lowered first:
    /// too low a number only makes batches smaller. A transaction that every service accepts by these numbers was refused for
    /// its value. Earlier refusals may have had the same reason, so that the number of changes is then taken for the announced
    /// one again.
    pub fn record_refusal(&mut self, size: &TxnSize) -> bool {
        if !self.accept(size) {
            return false;
        }
        let changes_needed = size.changes.max(size.guards.div_ceil(GUARDS_PER_CHANGE));
        if changes_needed > MIN_CHANGES {
            self.changes = (changes_needed / 2).max(MIN_CHANGES);
            return true;
        }
        let can_lower = size.largest_value > MIN_VALUE_BYTES;
        if can_lower {
            self.value_bytes = (size.largest_value / 2).max(MIN_VALUE_BYTES);
            self.changes = self.announced_changes;
        }
        can_lower
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float to integer casts saturate, which is what is wanted"
)]
fn kib_to_bytes(kib: f64) -> usize {
    (kib * 1024.0) as usize
}
