//! The reads that wait for a read barrier, and the barrier that is sent for them.

use super::ControllerState;
use crate::coordination::linearizable_reads::ReadBatch;
use crate::protocol::Txn;
use crate::store::{self, guard, Revision};
use crate::time::Timestamp;
use tokio::sync::oneshot;

/// A read barrier to be sent.
pub(in crate::controller) struct ReadBarrier {
    /// When the reads were collected.
    pub(in crate::controller) requested_at: Timestamp,
    /// A transaction without changes, whose answer tells the revision of the store.
    pub(in crate::controller) txn: Txn,
    /// The reads that wait for it.
    pub(in crate::controller) batch: ReadBatch,
}

impl ControllerState {
    /// Registers a read. It is answered with the revision that the replica must have reached.
    pub(in crate::controller) fn register_read(&mut self) -> oneshot::Receiver<Revision> {
        self.pending_reads.register()
    }

    /// The barrier for the reads that wait; a leader sends one also when none waits.
    pub(in crate::controller) fn next_read_barrier(&mut self) -> Option<ReadBarrier> {
        let batch = self.pending_reads.take_batch();
        if batch.is_empty() && self.term().is_none() {
            return None;
        }
        let epoch_version = self
            .replica
            .epoch
            .as_ref()
            .map_or(Revision::ZERO, |epoch| epoch.version);
        Some(ReadBarrier {
            requested_at: self.now(),
            txn: Txn {
                guards: vec![guard(store::epoch_key(), epoch_version)],
                apply: Vec::new(),
            },
            batch,
        })
    }
}
