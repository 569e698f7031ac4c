//! Transactions that are filled with changes as far as the limits of the state service allow.

use super::{json_bytes, WriteLimits};
use crate::protocol::{Change, Guard, Txn};

/// Bytes of an empty transaction in the form of JSON.
const EMPTY_TRANSACTION_BYTES: usize = 32;
/// Bytes of the separator between two elements of a list.
const SEPARATOR_BYTES: usize = 1;

/// A transaction that is being filled.
#[derive(Debug)]
pub struct TxnBatch<'a> {
    limits: &'a WriteLimits,
    max_changes: usize,
    txn: Txn,
    bytes: usize,
}

impl<'a> TxnBatch<'a> {
    /// Creates a batch without changes that has one guard and will have at most `max_changes` changes.
    #[must_use]
    pub fn new(limits: &'a WriteLimits, max_changes: usize, guard: Guard) -> TxnBatch<'a> {
        TxnBatch {
            limits,
            max_changes: max_changes.min(limits.changes()),
            bytes: EMPTY_TRANSACTION_BYTES + element_bytes(&guard),
            txn: Txn {
                guards: vec![guard],
                apply: Vec::new(),
            },
        }
    }

    /// Adds changes that belong together, with their guards, or nothing if they don't fit. Returns whether they were added.
    ///
    /// The first changes of a batch may be more than `max_changes`, as many as a transaction allows: otherwise they would never fit.
    pub fn try_add(&mut self, mut guards: Vec<Guard>, mut changes: Vec<Change>) -> bool {
        guards.retain(|guard| !self.txn.guards.contains(guard));
        let max_changes = if self.txn.apply.is_empty() {
            self.limits.changes()
        } else {
            self.max_changes
        };
        let bytes = guards.iter().map(element_bytes).sum::<usize>()
            + changes.iter().map(element_bytes).sum::<usize>();
        let fits = self.txn.apply.len() + changes.len() <= max_changes
            && self.txn.guards.len() + guards.len() <= self.limits.guards()
            && self.bytes + bytes <= self.limits.transaction_bytes()
            && changes.iter().all(|change| self.accepts_value(change));
        if fits {
            self.bytes += bytes;
            self.txn.guards.append(&mut guards);
            self.txn.apply.append(&mut changes);
        }
        fits
    }

    fn accepts_value(&self, change: &Change) -> bool {
        match change {
            Change::Put { value, .. } => json_bytes(value) <= self.limits.value_bytes(),
            Change::Delete { .. } => true,
        }
    }

    /// Reports whether no further changes fit.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.txn.apply.len() >= self.max_changes
    }

    /// Returns the transaction, or `None` if it has no changes.
    #[must_use]
    pub fn into_txn(self) -> Option<Txn> {
        (!self.txn.apply.is_empty()).then_some(self.txn)
    }
}

/// Returns the size of an element of a transaction, with its separator, in bytes.
fn element_bytes(element: &impl serde::Serialize) -> usize {
    json_bytes(element) + SEPARATOR_BYTES
}
