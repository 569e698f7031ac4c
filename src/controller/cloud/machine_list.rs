//! Reconciliation with the cloud's list of machines.

use super::Handles;
use crate::clients::cloud::MachinePage;
use crate::config::Settings;
use crate::controller::state::ControllerState;
use crate::controller::state::UnregisteredMachine;
use crate::scheduler::MachineState;
use crate::time::{duration, Timestamp};
use std::time::Duration;

/// Shortest time between the beginnings of two listings.
const MIN_INTERVAL: Duration = Duration::from_secs(4);
/// Added to twice the lag of the list, after which it shows nothing that an earlier leader has released.
const LAG_MARGIN: Duration = Duration::from_secs(2);

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
            listing.next_page = self.with_state(|state| state.reconcile_page(page));
        }
    }
}

impl ControllerState {
    /// Compares a page with the scheduler's machines. Returns where the next page begins.
    fn reconcile_page(&mut self, page: MachinePage) -> Option<String> {
        let now = self.now();
        // The list may still show what an earlier leader has released: a new leader once adopted such machines and counted
        // on them for a minute. Machines whose workers report are adopted at once.
        let lag = duration(2.0 * self.settings.platform.deployment.cloud.list_lag_s) + LAG_MARGIN;
        let is_settled = now > self.leading_since() + lag;
        let scheduler = self.scheduler.as_mut()?;
        for machine in page.machines {
            match scheduler.machine_index(&machine.id) {
                Some(index) if machine.state == "failed" => {
                    scheduler.set_machine_state(index, MachineState::Releasing, "failed");
                }
                Some(index) => {
                    let running = machine.state == "running";
                    scheduler.record_listing(
                        index,
                        running,
                        &machine.address,
                        duration(machine.age_s),
                    );
                }
                None if is_settled => {
                    self.rental_reconciliation
                        .add_unregistered(&machine.id, || UnregisteredMachine {
                            machine_type: machine.machine_type,
                            zone: machine.zone,
                            spot: machine.spot,
                            worker: None,
                        });
                }
                None => {}
            }
        }
        page.next
    }
}
