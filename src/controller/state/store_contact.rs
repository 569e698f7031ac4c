//! Reachability of the store from this controller.

use crate::time::Timestamp;
use std::time::Duration;

/// How long the store counts as reachable after it has responded to a request.
const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(2500);

/// The time at which the store last responded to this controller.
#[derive(Default)]
pub(super) struct StoreContact {
    responded_at: Timestamp,
}

impl StoreContact {
    /// Records that the store has responded to a request.
    pub(super) fn record_response(&mut self, now: Timestamp) {
        self.responded_at = now;
    }

    /// Reports whether the store has responded recently.
    pub(super) fn is_reachable(&self, now: Timestamp) -> bool {
        now < self.responded_at + REACHABILITY_TIMEOUT
    }

    /// Excludes a pause of the process from the time without a response, since none could be received during it.
    pub(super) fn exclude_pause(&mut self, pause: Duration, now: Timestamp) {
        self.responded_at = (self.responded_at + pause).min(now);
    }
}
