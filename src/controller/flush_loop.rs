//! Makes results durable and clears up, in batches.

use super::handles::{pause, Handles};
use super::state::FLUSH_MS;
use crate::protocol as wire;
use crate::store::Decided;

impl Handles {
    /// Makes results durable and clears up, in batches.
    pub(super) async fn flush(self) {
        loop {
            self.wait_until_leading().await;
            pause(FLUSH_MS).await;
            let Some(epoch) = self.state.borrow().write_guard() else {
                continue;
            };
            self.flush_complete(&epoch).await;
            self.flush_ranges(&epoch).await;
            self.flush_machines(&epoch).await;
            let swept = self.state.borrow_mut().sweep(&epoch);
            if let Some(txn) = swept {
                let _ = self.leader_transaction(&txn).await;
            }
        }
    }

    async fn flush_complete(&self, epoch: &wire::Guard) {
        let complete = self.state.borrow().completions(epoch);
        for (id, tasks, txn) in complete {
            // If it failed, the job was cancelled, or an unanswered try went through: the watch tells.
            if let Ok(Decided::Applied(_)) = self.leader_transaction(&txn).await {
                self.state.borrow_mut().completed(&id, tasks);
            }
        }
    }

    async fn flush_ranges(&self, epoch: &wire::Guard) {
        let Some((rows, txn)) = self.state.borrow().ranges(epoch) else {
            return;
        };
        match self.leader_transaction(&txn).await {
            Ok(Decided::Applied(_)) => self.state.borrow_mut().stored(epoch, &rows),
            // The mirror lags behind an earlier write, or a job has just ended; either shows shortly.
            Ok(Decided::Failed(keys)) => tracing::debug!(?keys, "ranges not stored yet"),
            Err(_) => {}
        }
    }

    /// Forgets machines that are gone.
    async fn flush_machines(&self, epoch: &wire::Guard) {
        let Some((forgotten, txn)) = self.state.borrow().forgettable(epoch) else {
            return;
        };
        if let Ok(Decided::Applied(_)) = self.leader_transaction(&txn).await {
            let mut controller = self.state.borrow_mut();
            forgotten.iter().for_each(|m| {
                controller.gone.remove(m);
            });
        }
    }
}
