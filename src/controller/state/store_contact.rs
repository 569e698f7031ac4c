//! Reachability of the store from this controller.

use crate::time::Timestamp;
use std::time::Duration;

/// How long the store counts as reachable after it has answered a request.
const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(2500);

/// The time at which the store last answered this controller.
#[derive(Default)]
pub(super) struct StoreContact {
    answered_at: Timestamp,
}

impl StoreContact {
    /// Records that the store has answered a request.
    pub(super) fn record_answer(&mut self, now: Timestamp) {
        self.answered_at = now;
    }

    /// Reports whether the store has answered recently.
    pub(super) fn is_reachable(&self, now: Timestamp) -> bool {
        now < self.answered_at + REACHABILITY_TIMEOUT
    }

    /// Excludes a pause of the process from the time without an answer, since the store could not be heard during it.
    pub(super) fn excuse_pause(&mut self, pause: Duration, now: Timestamp) {
        self.answered_at = (self.answered_at + pause).min(now);
    }
}
