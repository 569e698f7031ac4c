//! Keeps the replica of the store up to date by a watch.

use super::handles::Handles;
use super::state::{ControllerState, LeaderKeyChange};
use crate::protocol::Watched;
use crate::store::StoreError;
use crate::time::duration_from_millis;
use futures_util::future::{select, Either};
use std::time::Duration;
use tokio::time::sleep;

/// How long the store may hold a watch request without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// How long the replica may lag behind a read before its watch counts as stalled; doubled while reopening it does not help.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time before the next try after the store could not be read.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time before the next try after a watch failed.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Bounds of the time between two watch requests that brought changes.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(20);
const MAX_WATCH_INTERVAL: Duration = Duration::from_secs(1);

impl Handles {
    /// Loads the replica and keeps it up to date by a watch. When the watch can't go on, everything is loaded again.
    pub(super) async fn run_watch_loop(self) {
        let watch_interval = self.read_state(watch_interval);
        let mut stall_timeout = MIN_STALL_TIMEOUT;
        loop {
            self.load_replica().await;
            self.follow_store(watch_interval, &mut stall_timeout).await;
        }
    }

    /// Reads the whole store, again until that succeeds.
    async fn load_replica(&self) {
        loop {
            if let Ok(fresh) = self.record_store_answer(self.store.load().await) {
                let revision = fresh.revision;
                // A campaign follows in any case, whether the leader's key was deleted or not.
                let _ = self.with_state(|state| state.replace_replica(fresh));
                self.replica_revision.send_replace(revision);
                self.campaign_requested.notify_one();
                return;
            }
            sleep(LOAD_RETRY_DELAY).await;
        }
    }

    /// Applies the changes that the watch brings, until they cannot be had any more.
    ///
    /// A controller that was isolated from the store for long once asked for the same changes for ever: they were more than
    /// it accepts in one answer.
    async fn follow_store(&self, watch_interval: Duration, stall_timeout: &mut Duration) {
        loop {
            let after = self.read_state(|state| state.replica().revision);
            let watch = Box::pin(self.store.watch(after, WATCH_TIMEOUT));
            let stall = Box::pin(self.watch_stalled(*stall_timeout));
            let watched = match select(watch, stall).await {
                Either::Left((watched, _)) => watched,
                Either::Right(_) => {
                    tracing::info!(%after, "watch stalled, reopening");
                    *stall_timeout = (*stall_timeout * 2).min(WATCH_TIMEOUT);
                    continue;
                }
            };
            match self.record_store_answer(watched) {
                Ok(changes) => {
                    *stall_timeout = MIN_STALL_TIMEOUT;
                    self.apply_watched(&changes);
                    if !changes.events.is_empty() {
                        sleep(watch_interval).await;
                    }
                }
                Err(reason @ (StoreError::NotFound | StoreError::ResponseTooLarge)) => {
                    tracing::info!(%reason, "watch too far behind, reloading");
                    return;
                }
                Err(_) => sleep(WATCH_RETRY_DELAY).await,
            }
        }
    }

    /// Applies the answer of a watch request, and wakes up the loops to which it may matter.
    fn apply_watched(&self, changes: &Watched) {
        let leader_key =
            self.with_state(|state| state.apply_watch_events(changes.revision, &changes.events));
        if leader_key == LeaderKeyChange::Deleted {
            self.campaign_requested.notify_one();
        }
        self.replica_revision.send_replace(changes.revision);
        self.round_requested.notify_one();
    }

    /// Returns when a read that was sent a while ago was answered with a revision that the replica still lacks. A watch that
    /// was open while the store refused this controller, or was down, may stay silent after it.
    async fn watch_stalled(&self, stall_timeout: Duration) {
        loop {
            sleep(stall_timeout).await;
            if self.read_state(|state| state.replica_lags(stall_timeout)) {
                return;
            }
        }
    }
}

/// The time between two watch requests that brought changes. A quarter of the store's request rate goes to watches, shared
/// among the controllers.
fn watch_interval(state: &ControllerState) -> Duration {
    let platform = &state.settings().platform;
    let controllers = platform.peers.len() + 1;
    let interval =
        duration_from_millis(4000.0 * controllers as f64 / platform.deployment.state.rps);
    interval.clamp(MIN_WATCH_INTERVAL, MAX_WATCH_INTERVAL)
}
