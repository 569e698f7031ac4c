//! The leader's cloud calls, and the loop that makes them in sequence.
//!
//! - `machine_types` refreshes the catalogue of machine types.
//! - `adoption` creates rental records for unregistered machines.
//! - `releases` releases the machines that the scheduler has marked for it.
//! - `machine_list` reconciles the scheduler with the cloud's list of machines.
//! - `rentals` rents machines.
//!
//! The autoscaler decides what to rent and to return. The logic without I/O of each concern is in `state`, in a module of the
//! same name.

mod adoption;
mod machine_list;
mod machine_types;
mod releases;
mod rentals;

use self::adoption::adoption_permits;
use self::machine_list::MachineListing;
use self::machine_types::MachineTypeRefresh;
use super::handles::Handles;
use super::state::ControllerState;
use crate::coordination::leadership::{Authority, Term};
use crate::time::Timestamp;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Delay between two rounds of the loop.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a leader without full authority checks whether it has regained it.
const AUTHORITY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// State that is captured at the start of a round of the loop.
#[derive(Debug, Clone, Copy)]
struct Round {
    now: Timestamp,
    /// Whether this controller schedules with full authority, so that it may rent and release machines.
    has_authority: bool,
    /// Whether the machine types are unknown, without which no jobs are accepted.
    lacks_machine_types: bool,
}

impl Round {
    fn begin(state: &ControllerState) -> Round {
        Round {
            now: state.now(),
            has_authority: state.term().is_some()
                && state.authority() == Authority::Full
                && state.is_scheduling(),
            lacks_machine_types: state.machine_types().is_empty(),
        }
    }
}

impl Handles {
    /// Runs the rounds of cloud calls, which keep the machines of the cloud and of the scheduler consistent.
    pub(super) async fn run_cloud_loop(self) {
        let mut machine_types = MachineTypeRefresh::default();
        let mut listing = self.read_state(|state| MachineListing::new(state.settings()));
        let adoption_permits = adoption_permits();
        let mut rented = false;
        loop {
            // After a rental, the next one is decided without delay: only the cloud's request rate limits it.
            if !rented {
                sleep(ROUND_INTERVAL).await;
            }
            rented = false;
            let round = self.read_state(Round::begin);
            self.refresh_machine_types(&mut machine_types, round).await;
            if !round.has_authority {
                self.wait_for_authority(round).await;
                continue;
            }
            self.adopt_unregistered(&adoption_permits);
            self.release_machines().await;
            self.reconcile_machine_list(&mut listing, round.now).await;
            // No further rentals while a request is open: its machines may already be on their way.
            if self.retry_open_rentals().await == 0 {
                rented = self.rent_most_urgent().await.is_ok();
            }
        }
    }

    /// Delays the next round of a controller without full authority: until it starts to lead, or until the machine types or the
    /// authority have to be checked again.
    async fn wait_for_authority(&self, round: Round) {
        if round.lacks_machine_types {
            sleep(ROUND_INTERVAL).await;
        } else {
            // Nothing notifies a leader that regains full authority: it checks again after the interval.
            let _ = timeout(AUTHORITY_CHECK_INTERVAL, self.wait_until_leading()).await;
        }
    }

    /// Waits until the rate limit of cloud requests admits a call, and counts the call.
    async fn wait_for_cloud_rate_limit(&self) {
        loop {
            match self.update_state(ControllerState::take_cloud_call) {
                Ok(()) => return,
                Err(wait) => sleep(wait).await,
            }
        }
    }

    /// Reports whether a call that was decided in a term may still be sent to the cloud.
    fn may_call(&self, term: Option<Term>) -> bool {
        self.read_state(|state| state.may_send(term))
    }
}
