//! Sizes of transactions and values, as the state service measures them against its limits: in the form of JSON.

use crate::protocol::{Change, Txn};
use serde::Serialize;
use std::io;

/// The size of a transaction in every respect in which the state service limits it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TxnSize {
    /// Number of changes.
    pub changes: usize,
    /// Number of guards.
    pub guards: usize,
    /// Size of the largest value, in bytes. 0 without values.
    pub largest_value: usize,
    /// Size of the whole transaction, in bytes.
    pub total: usize,
}

impl TxnSize {
    /// Measures a transaction.
    #[must_use]
    pub fn of(txn: &Txn) -> TxnSize {
        TxnSize {
            changes: txn.apply.len(),
            guards: txn.guards.len(),
            largest_value: largest_value(txn).map_or(0, |(_, bytes)| bytes),
            total: json_bytes(txn),
        }
    }
}

/// Returns the key of the largest value that a transaction writes, with the size of that value in bytes.
pub(super) fn largest_value(txn: &Txn) -> Option<(&str, usize)> {
    let values = txn.apply.iter().filter_map(|change| match change {
        Change::Put { put, value, .. } => Some((put.as_str(), json_bytes(value))),
        Change::Delete { .. } => None,
    });
    values.max_by_key(|(_, bytes)| *bytes)
}

/// Returns the size of a message or value in the form of JSON, in bytes.
#[must_use]
pub fn json_bytes<T: Serialize>(message: &T) -> usize {
    let mut counter = ByteCounter(0);
    match serde_json::to_writer(&mut counter, message) {
        Ok(()) => counter.0,
        // Only keys that are no text cannot be written, and the state service refuses such a message.
        Err(_) => usize::MAX,
    }
}

/// Counts the bytes that are written to it.
struct ByteCounter(usize);

impl io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
