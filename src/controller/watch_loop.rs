//! Keeps the mirror of the store by a watch.

use super::handles::{pause, Handles};
use crate::store::StoreError;
use crate::time::Timestamp;
use futures_util::future::{select, Either};

/// How long a watch waits for a change.
const WATCH_MS: u64 = 4000;

/// How long the mirror may lag behind a read before its watch is opened anew; doubled while that does not help.
const SILENT_WATCH_MS: u64 = 500;

impl Handles {
    pub(super) async fn sync(self) {
        let (rps, nodes) = {
            let c = self.state.borrow();
            (
                c.settings.platform.deployment.state.rps,
                c.settings.platform.peers.len() + 1,
            )
        };
        // A quarter of the request budget goes to watches, shared among the nodes.
        let pace = ((4000.0 * nodes as f64 / rps) as u64).clamp(20, 1000);
        let (mut loaded, mut patience) = (false, SILENT_WATCH_MS);
        loop {
            if !loaded {
                if let Ok(fresh) = self.record_store_answer(self.store.load().await) {
                    let revision = fresh.revision;
                    self.state.borrow_mut().loaded(fresh);
                    self.replica_revision.send_replace(revision);
                    loaded = true;
                    self.campaign_requested.notify_one();
                } else {
                    pause(300).await;
                    continue;
                }
            }
            let after = self.state.borrow().replica.revision;
            let watch = Box::pin(self.store.watch(after, WATCH_MS));
            let watched = match select(watch, Box::pin(self.left_behind(patience))).await {
                Either::Left((watched, _)) => watched,
                Either::Right(_) => {
                    tracing::info!(after, "watch waits silently, opened anew");
                    patience = (patience * 2).min(WATCH_MS);
                    continue;
                }
            };
            match self.record_store_answer(watched) {
                Ok(w) => {
                    patience = SILENT_WATCH_MS;
                    let quiet = w.events.is_empty();
                    if self.state.borrow_mut().watched(w.revision, &w.events) {
                        self.campaign_requested.notify_one();
                    }
                    self.replica_revision.send_replace(w.revision);
                    self.round_requested.notify_one();
                    if !quiet {
                        pause(pace).await;
                    }
                }
                // A node that was kept from the store for long once asked for the same changes for ever, more than it
                // was ready to take at a time.
                Err(reason @ (StoreError::Gone | StoreError::TooLarge)) => {
                    tracing::info!(%reason, "too far behind for a watch, reading everything again");
                    loaded = false;
                }
                Err(_) => pause(250).await,
            }
        }
    }

    /// Returns when a read that was sent a while ago has told of changes that the mirror still lacks. A watch that was open
    /// when the state service refused this node, or was down, may wait on silently after it.
    async fn left_behind(&self, patience: u64) {
        loop {
            pause(patience).await;
            let controller = self.state.borrow();
            if controller
                .leadership
                .lags_behind_read_sent_before(Timestamp::from_millis(
                    controller.now().saturating_sub(patience),
                ))
            {
                return;
            }
        }
    }
}
