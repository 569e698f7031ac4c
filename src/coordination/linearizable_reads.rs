//! Reads of the replica that wait until it is up to date.
//!
//! A read of the replica is linearizable once the replica has reached a revision that the store had after the read was
//! requested. A read barrier, a transaction that compares and changes nothing, returns such a revision. One barrier serves all
//! reads that were requested before it was sent.
//!
//! This module only keeps who waits; the controller's read-barrier loop sends the barriers.

#[cfg(test)]
mod tests;

use crate::store::Revision;
use tokio::sync::oneshot;

/// The reads that wait for the next read barrier.
#[derive(Debug, Default)]
pub struct PendingReads {
    waiting: Vec<oneshot::Sender<Revision>>,
}

impl PendingReads {
    /// Registers a read for the next barrier. The receiver gets the revision that the replica has to reach, or an error if the
    /// barrier fails.
    pub fn register(&mut self) -> oneshot::Receiver<Revision> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.push(sender);
        receiver
    }

    /// Takes all reads that are registered so far, for a barrier that is sent now.
    #[must_use]
    pub fn take_batch(&mut self) -> ReadBatch {
        ReadBatch {
            waiting: std::mem::take(&mut self.waiting),
        }
    }
}

/// The reads that share one barrier. Dropping the batch fails them.
#[derive(Debug)]
pub struct ReadBatch {
    waiting: Vec<oneshot::Sender<Revision>>,
}

impl ReadBatch {
    /// Whether no read waits for this barrier.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Hands the revision that the barrier returned to the reads.
    pub fn resolve(self, revision: Revision) {
        for sender in self.waiting {
            // A read that was abandoned meanwhile, by its timeout, has dropped its receiver.
            let _ = sender.send(revision);
        }
    }
}
