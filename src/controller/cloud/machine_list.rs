//! Reconciliation with the cloud's list of machines.

use super::Handles;
use crate::config::Settings;
use crate::time::Timestamp;
use std::time::Duration;

/// Shortest time between the beginnings of two listings.
const MIN_INTERVAL: Duration = Duration::from_secs(4);

/// How far the listing is.
#[derive(Debug)]
pub(super) struct MachineListing {
    interval: Duration,
    started_at: Timestamp,
    /// After which machine the next page begins; none between two listings.
    next_page: Option<String>,
}

impl MachineListing {
    pub(super) fn new(settings: &Settings) -> MachineListing {
        let lag = settings.platform.deployment.cloud.list_lag();
        MachineListing {
            interval: lag.max(MIN_INTERVAL),
            started_at: Timestamp::ZERO,
            next_page: None,
        }
    }

    /// Begins a listing, if none is under way and it is time.
    fn start_if_due(&mut self, now: Timestamp) {
        if now > self.started_at + self.interval && self.next_page.is_none() {
            self.started_at = now;
            self.next_page = Some(String::new());
        }
    }
}

impl Handles {
    /// Reads the next page of the list, if a listing is under way or due. One page a round: a list of thousands of machines
    /// takes seconds, during which machines that failed together would wait for their release.
    pub(super) async fn reconcile_machine_list(
        &self,
        listing: &mut MachineListing,
        now: Timestamp,
    ) {
        listing.start_if_due(now);
        let Some(after) = listing.next_page.take() else {
            return;
        };
        self.await_cloud_call().await;
        // Without an answer the listing ends, and begins anew after the interval.
        if let Ok(page) = self.cloud.list_page(&after).await {
            listing.next_page = self.with_state(|state| state.reconcile_machine_page(page));
        }
    }
}
