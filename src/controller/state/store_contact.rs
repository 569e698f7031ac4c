//! Whether the store answers this controller.

use crate::time::Timestamp;
use std::time::Duration;

/// The store counts as reachable for this long after an answer.
const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(2500);

/// When the store answered last.
#[derive(Default)]
pub(super) struct StoreContact {
    answered_at: Timestamp,
}

impl StoreContact {
    /// The store has answered.
    pub(super) fn record_answer(&mut self, now: Timestamp) {
        self.answered_at = now;
    }

    /// Whether the store has answered lately.
    pub(super) fn is_reachable(&self, now: Timestamp) -> bool {
        now < self.answered_at + REACHABILITY_TIMEOUT
    }

    /// The process was paused. That it heard nothing meanwhile says nothing about the store.
    pub(super) fn excuse_pause(&mut self, pause: Duration, now: Timestamp) {
        self.answered_at = (self.answered_at + pause).min(now);
    }
}
