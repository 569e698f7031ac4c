//! The leader's calls of the cloud, one concern a file, and the loop that makes them one after the other.
//!
//! `machine_types` refreshes the catalogue, `adoption` gives unregistered machines a rental record, `releases` returns
//! machines, `machine_list` reconciles the scheduler with the cloud's list, `rentals` rents. What to rent and to return is
//! decided by the autoscaler; the state's part of each concern stands in `state`, in a module of the same name.

mod adoption;
mod machine_list;
mod machine_types;
mod releases;
mod rentals;

use self::adoption::AdoptionSlots;
use self::machine_list::MachineListing;
use self::machine_types::MachineTypeRefresh;
use super::handles::Handles;
use super::state::ControllerState;
use crate::coordination::leadership::{Authority, Term};
use crate::time::Timestamp;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time between two rounds of the loop.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// How often a node without full authority looks whether it has it again.
const AUTHORITY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// What a round of the loop begins with.
#[derive(Debug, Clone, Copy)]
struct Round {
    now: Timestamp,
    /// Whether this node may rent and return machines.
    leads: bool,
    /// Whether it does not know the machine types, without which it accepts no jobs.
    lacks_machine_types: bool,
}

impl Round {
    fn begin(state: &ControllerState) -> Round {
        Round {
            now: state.now(),
            leads: state.term().is_some()
                && state.authority() == Authority::Full
                && state.is_scheduling(),
            lacks_machine_types: state.machine_types().is_empty(),
        }
    }
}

impl Handles {
    /// Keeps the machines of the cloud and those of the scheduler in line, for as long as this node runs.
    pub(super) async fn run_cloud_loop(self) {
        let mut machine_types = MachineTypeRefresh::default();
        let mut listing = self.read_state(|state| MachineListing::new(state.settings()));
        let adoptions = AdoptionSlots::default();
        let mut rented = false;
        loop {
            // While the cloud's request rate is all that delays rentals, the next one is decided at once.
            if !rented {
                sleep(ROUND_INTERVAL).await;
            }
            rented = false;
            let round = self.read_state(Round::begin);
            self.refresh_machine_types(&mut machine_types, round).await;
            if !round.leads {
                self.wait_for_authority(round).await;
                continue;
            }
            self.adopt_unregistered(&adoptions);
            self.release_machines().await;
            self.reconcile_machine_list(&mut listing, round.now).await;
            // While the answer to a request is unknown, its machines may be on their way.
            if self.settle_rentals().await == 0 {
                rented = self.rent_most_urgent().await.is_ok();
            }
        }
    }

    /// Waits until this node leads, or has to ask for the machine types again.
    async fn wait_for_authority(&self, round: Round) {
        if round.lacks_machine_types {
            sleep(ROUND_INTERVAL).await;
        } else {
            // A node that leads without full authority is not woken up: it looks again after the interval.
            let _ = timeout(AUTHORITY_CHECK_INTERVAL, self.wait_until_leading()).await;
        }
    }

    /// Waits until the request rate allows a call of the cloud.
    async fn await_cloud_call(&self) {
        loop {
            match self.with_state(ControllerState::take_cloud_call) {
                Ok(()) => return,
                Err(wait) => sleep(wait).await,
            }
        }
    }

    /// Whether what was decided in a term may still be sent to the cloud.
    fn may_call(&self, term: Option<Term>) -> bool {
        self.read_state(|state| state.may_send(term))
    }
}
