//! Reads that are at least as new as the moment at which they were asked for.

use super::handles::{pause, Handles};
use crate::coordination::leadership::LeadershipEvent;
use crate::protocol::Txn;
use crate::store::{self, guard};
use crate::time::Timestamp;
use std::time::Duration;
use tokio::sync::oneshot;

impl Handles {
    /// Answers readers: one compare-only transaction gives the revision that their answers must have reached.
    pub(super) async fn read_barrier(self) {
        loop {
            self.read_requested.notified().await;
            pause(40).await;
            let (readers, txn, leads, sent) = {
                let mut controller = self.state.borrow_mut();
                let (leads, sent) = (controller.term().is_some(), controller.now());
                let version = controller.replica.epoch.as_ref().map_or(0, |e| e.version);
                let txn = Txn {
                    guards: vec![guard(store::epoch_key(), version)],
                    apply: Vec::new(),
                };
                (
                    std::mem::take(&mut controller.pending_reads),
                    txn,
                    leads,
                    sent,
                )
            };
            if readers.is_empty() && !leads {
                continue;
            }
            let http = self.clone();
            actix::spawn(async move {
                if let Ok(revision) = http.record_store_answer(http.store.barrier(&txn).await) {
                    http.state
                        .borrow_mut()
                        .lead_event(LeadershipEvent::RevisionRead {
                            requested_at: Timestamp::from_millis(sent),
                            revision,
                        });
                    readers.into_iter().for_each(|r| {
                        let _ = r.send(revision);
                    });
                }
            });
            pause(60).await;
        }
    }

    /// Waits until the mirror is at least as new as this moment.
    pub(super) async fn current(&self) -> bool {
        let (tx, rx) = oneshot::channel();
        self.state.borrow_mut().pending_reads.push(tx);
        self.read_requested.notify_one();
        let wait = async {
            let revision = rx.await.ok()?;
            let mut seen = self.replica_revision.subscribe();
            seen.wait_for(|r| *r >= revision).await.ok()?;
            Some(())
        };
        matches!(
            tokio::time::timeout(Duration::from_millis(1500), wait).await,
            Ok(Some(()))
        )
    }
}
