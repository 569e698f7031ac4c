//! Linearizable reads that wait until the replica is up to date.
//!
//! A read of the replica is linearizable once the replica has reached a revision that the store had after the read was
//! requested. A read barrier, which is a transaction that compares but changes nothing, returns such a revision. One barrier
//! serves all reads that were requested before it was sent.
//!
//! This module only holds the waiting reads; the controller's read-barrier loop sends the barriers.

#[cfg(test)]
mod tests;

use crate::store::Revision;
use tokio::sync::oneshot;

/// Reads that wait for the next read barrier.
#[derive(Debug, Default)]
pub struct WaitingReads {
    waiting: Vec<oneshot::Sender<Revision>>,
}

impl WaitingReads {
    /// Registers a read for the next barrier. The receiver yields the revision that the replica has to reach, or an error if
    /// the barrier fails.
    pub fn register(&mut self) -> oneshot::Receiver<Revision> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.push(sender);
        receiver
    }

    /// Takes all reads registered so far, for a barrier that is about to be sent.
    #[must_use]
    pub fn take_batch(&mut self) -> ReadBatch {
        ReadBatch {
            waiting: std::mem::take(&mut self.waiting),
        }
    }
}

/// Reads that share one barrier. Dropping the batch makes them fail.
#[derive(Debug)]
pub struct ReadBatch {
    waiting: Vec<oneshot::Sender<Revision>>,
}

impl ReadBatch {
    /// Reports whether no read waits for this barrier.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Passes the revision that the barrier returned to the waiting reads.
    pub fn resolve(self, revision: Revision) {
        for sender in self.waiting {
            // Sending fails if the read has timed out and dropped its receiver.
            let _ = sender.send(revision);
        }
    }
}
