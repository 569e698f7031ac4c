//! Keeps the replica of the store up to date through a watch.

use super::handles::Handles;
use super::state::{ControllerState, LeaderKeyChange};
use crate::protocol::WatchReply;
use crate::store::StoreError;
use crate::time::duration_from_millis;
use futures_util::future::{select, Either};
use std::time::Duration;
use tokio::time::sleep;

/// Time for which the store may hold a watch request while there are no changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which the replica may lag behind a read before the watch counts as stalled. It doubles each time the watch stalls
/// again without a response in between.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the replica is loaded again after a failed attempt.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay before a failed watch request is repeated.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Bounds on the delay after a watch request that returned changes.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(20);
const MAX_WATCH_INTERVAL: Duration = Duration::from_secs(1);

impl Handles {
    /// Loads the replica and keeps it up to date through a watch. Loads it anew when the watch cannot continue.
    pub(super) async fn run_watch_loop(self) {
        let watch_interval = self.read_state(watch_interval);
        let mut stall_timeout = MIN_STALL_TIMEOUT;
        loop {
            self.load_replica().await;
            self.follow_watch(watch_interval, &mut stall_timeout).await;
        }
    }

    /// Replaces the replica with a full read of the store, retrying until that succeeds.
    async fn load_replica(&self) {
        loop {
            if let Ok(fresh) = self.record_store_response(self.store.load().await) {
                let revision = fresh.revision;
                // A campaign is requested regardless of whether the leader key was deleted.
                let _ = self.update_state(|state| state.replace_replica(fresh));
                self.replica_revision.send_replace(revision);
                self.campaign_requested.notify_one();
                return;
            }
            sleep(LOAD_RETRY_DELAY).await;
        }
    }

    /// Applies the changes that the watch delivers, and returns when the replica has to be loaded anew: when the store no longer
    /// has the changes, or when they exceed the response limit. After a long isolation from the store, repeating the request
    /// in the latter case would never succeed.
    async fn follow_watch(&self, watch_interval: Duration, stall_timeout: &mut Duration) {
        loop {
            let after = self.read_state(|state| state.replica().revision);
            let watch = Box::pin(self.store.watch(after, WATCH_TIMEOUT));
            let stall = Box::pin(self.wait_for_stalled_watch(*stall_timeout));
            let watched = match select(watch, stall).await {
                Either::Left((watched, _)) => watched,
                Either::Right(_) => {
                    tracing::info!(%after, "watch stalled, reopening it");
                    *stall_timeout = (*stall_timeout * 2).min(WATCH_TIMEOUT);
                    continue;
                }
            };
            match self.record_store_response(watched) {
                Ok(changes) => {
                    *stall_timeout = MIN_STALL_TIMEOUT;
                    self.apply_watched(&changes);
                    if !changes.events.is_empty() {
                        sleep(watch_interval).await;
                    }
                }
                Err(reason @ (StoreError::NotFound | StoreError::ResponseTooLarge)) => {
                    tracing::info!(%reason, "watch too far behind, reloading the replica");
                    return;
                }
                Err(_) => sleep(WATCH_RETRY_DELAY).await,
            }
        }
    }

    /// Applies the response to a watch request and wakes the loops that depend on it.
    fn apply_watched(&self, changes: &WatchReply) {
        let leader_key =
            self.update_state(|state| state.apply_watch_events(changes.revision, &changes.events));
        if leader_key == LeaderKeyChange::Deleted {
            self.campaign_requested.notify_one();
        }
        self.replica_revision.send_replace(changes.revision);
        self.round_requested.notify_one();
    }

    /// Waits until the watch has stalled: a read that was sent longer than `stall_timeout` ago returned a revision that the
    /// replica has not reached yet. A watch that was open while the store refused this controller, or was down, may stay silent
    /// afterwards.
    async fn wait_for_stalled_watch(&self, stall_timeout: Duration) {
        loop {
            sleep(stall_timeout).await;
            if self.read_state(|state| state.replica_lags(stall_timeout)) {
                return;
            }
        }
    }
}

/// Returns the delay after a watch request that returned changes. The controllers share a quarter of the store's request rate
/// for watches.
fn watch_interval(state: &ControllerState) -> Duration {
    let controllers = state.settings().platform.peers.len() + 1;
    let requests_per_s = state.write_limits().requests_per_s();
    let interval = duration_from_millis(4000.0 * controllers as f64 / requests_per_s);
    interval.clamp(MIN_WATCH_INTERVAL, MAX_WATCH_INTERVAL)
}
