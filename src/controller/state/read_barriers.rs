//! Linearizable reads that wait for a read barrier, and the barrier that is sent for them.

use super::ControllerState;
use crate::coordination::linearizable_reads::ReadBatch;
use crate::protocol::Txn;
use crate::store::{self, guard, Revision};
use crate::time::Timestamp;
use tokio::sync::oneshot;

/// A read barrier to be sent.
pub(in crate::controller) struct ReadBarrier {
    /// Time at which the batch of reads was closed.
    pub(in crate::controller) requested_at: Timestamp,
    /// A transaction without changes. Its response contains the revision of the store.
    pub(in crate::controller) txn: Txn,
    /// The reads that wait for the barrier.
    pub(in crate::controller) batch: ReadBatch,
}

impl ControllerState {
    /// Registers a read. The receiver gets the revision that the replica must reach before the read.
    pub(in crate::controller) fn register_read(&mut self) -> oneshot::Receiver<Revision> {
        self.waiting_reads.register()
    }

    /// Returns the barrier for the waiting reads. A leader gets one even if no read waits, since its authority depends on
    /// barriers.
    pub(in crate::controller) fn next_read_barrier(&mut self) -> Option<ReadBarrier> {
        let batch = self.waiting_reads.take_batch();
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
