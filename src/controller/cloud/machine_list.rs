//! Reconciliation of the scheduler with the cloud's list of machines.

use super::Handles;
use crate::config::Settings;
use crate::time::Timestamp;
use std::time::Duration;

/// Minimum time between the starts of two listings.
const MIN_INTERVAL: Duration = Duration::from_secs(4);

/// Progress of the paginated listing.
#[derive(Debug)]
pub(super) struct MachineListing {
    interval: Duration,
    started_at: Timestamp,
    /// The machine after which the next page begins; `None` between two listings.
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

    /// Starts a listing if none is in progress and the interval has passed.
    fn start_if_due(&mut self, now: Timestamp) {
        if now > self.started_at + self.interval && self.next_page.is_none() {
            self.started_at = now;
            self.next_page = Some(String::new());
        }
    }
}

impl Handles {
    /// Reads the next page of the list if a listing is in progress or due. A round reads only one page: reading a list of
    /// thousands of machines takes seconds, which would delay the release of machines that failed together.
    pub(super) async fn reconcile_machine_list(
        &self,
        listing: &mut MachineListing,
        now: Timestamp,
    ) {
        listing.start_if_due(now);
        let Some(after) = listing.next_page.take() else {
            return;
        };
        self.wait_for_cloud_rate_limit().await;
        // Without a response the listing ends, and a new one starts after the interval.
        if let Ok(page) = self.cloud.list_page(&after).await {
            listing.next_page = self.update_state(|state| state.reconcile_machine_page(page));
        }
    }
}
