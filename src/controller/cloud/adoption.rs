//! Adoption: machines that no rental record names get one, so that they are used or returned.

use super::Handles;
use crate::controller::state::{ControllerState, UnregisteredMachine, WorkerContact};
use crate::coordination::leadership::Term;
use crate::scheduler::{first_token, DirectCommands};
use crate::store::{self, guard, RentalRecord, Revision, TxnOutcome};
use std::cell::Cell;
use std::rc::Rc;

/// Most adoptions under way at a time.
const CONCURRENT_ADOPTIONS: usize = 16;

/// How many adoptions are under way.
#[derive(Debug, Clone, Default)]
pub(super) struct AdoptionSlots {
    used: Rc<Cell<usize>>,
}

impl AdoptionSlots {
    fn free(&self) -> usize {
        CONCURRENT_ADOPTIONS.saturating_sub(self.used.get())
    }

    fn acquire(&self) {
        self.used.set(self.used.get() + 1);
    }

    fn release(&self) {
        self.used.set(self.used.get() - 1);
    }
}

impl Handles {
    /// Starts to adopt unregistered machines, a few at a time and beside the other calls: late copies of the heartbeats of
    /// machines that an earlier leader has released name workers that never answer, and asked one after the other they would
    /// delay every release and rental.
    pub(super) fn adopt_unregistered(&self, slots: &AdoptionSlots) {
        for _ in 0..slots.free() {
            let next = self.with_state(ControllerState::pop_unregistered_machine);
            let Some((name, machine)) = next else {
                return;
            };
            let (handles, slots) = (self.clone(), slots.clone());
            slots.acquire();
            actix::spawn(async move {
                handles.adopt(&name, machine).await;
                slots.release();
            });
        }
    }

    /// Adopts a machine, if its worker runs. One that is known by a heartbeat only is asked, since that may be a late copy.
    async fn adopt(&self, name: &str, machine: UnregisteredMachine) {
        let Some(term) = self.read_state(|state| state.adoption_term(name, &machine)) else {
            return;
        };
        if let Some(worker) = &machine.worker {
            let probe = empty_command(name, worker, term);
            if self.send_directly(&probe).await.is_err() {
                return;
            }
        }
        let record = RentalRecord {
            machine_type: machine.machine_type,
            zone: machine.zone,
            spot: machine.spot,
            count: 1,
            machines: Some(vec![name.to_string()]),
        };
        if !self.store_adoption(name, &record, term).await {
            return;
        }
        tracing::info!(machine = %name, "unregistered machine adopted");
        self.with_state(|state| state.finish_adoption(&record, term));
    }

    /// Stores the rental record of an unregistered machine. Whether it is in the store now.
    async fn store_adoption(&self, name: &str, record: &RentalRecord, term: Term) -> bool {
        let rental = format!("found-{name}");
        let epoch = guard(store::epoch_key(), term.epoch_version);
        let txn = store::rental_txn(&epoch, &rental, Revision::ZERO, record);
        match self.leader_transaction(&txn).await {
            Ok(TxnOutcome::Applied(_)) => true,
            // An earlier try without an answer was executed after all: without this the machine was never used, nor
            // returned, until the next failover.
            Ok(TxnOutcome::Failed(keys)) if keys == [store::rental_key(&rental)] => {
                self.read_state(|state| state.has_rental(&rental, record))
            }
            // It is remembered again when it reports or is listed again.
            _ => false,
        }
    }
}

/// Direct commands that ask a worker for a report and nothing else.
fn empty_command(machine: &str, worker: &WorkerContact, term: Term) -> DirectCommands {
    DirectCommands {
        machine: machine.to_string(),
        address: worker.address.clone(),
        token: first_token(term.epoch),
        session: worker.session,
        commands: Vec::new(),
    }
}
