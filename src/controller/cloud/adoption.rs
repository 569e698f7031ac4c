//! Adoption: creates rental records for machines that have none, so that they are used or released.

use super::Handles;
use crate::controller::state::{ControllerState, UnregisteredMachine, WorkerContact};
use crate::coordination::leadership::Term;
use crate::scheduler::{first_token, DirectCommands};
use crate::store::{self, guard, RentalRecord, Revision, TxnOutcome};
use std::sync::Arc;
use tokio::sync::Semaphore;

/// Maximum number of concurrent adoptions.
const CONCURRENT_ADOPTIONS: usize = 16;

/// Creates the semaphore that limits the number of concurrent adoptions.
pub(super) fn adoption_permits() -> Arc<Semaphore> {
    Arc::new(Semaphore::new(CONCURRENT_ADOPTIONS))
}

impl Handles {
    /// Spawns adoptions of unregistered machines, up to the limit of concurrent ones.
    ///
    /// They run concurrently with the other calls. Late copies of heartbeats from machines that an earlier leader has released
    /// name workers that never answer; probing those in sequence would delay every release and rental.
    pub(super) fn adopt_unregistered(&self, permits: &Arc<Semaphore>) {
        while let Ok(permit) = permits.clone().try_acquire_owned() {
            let next = self.update_state(ControllerState::pop_unregistered_machine);
            let Some((name, machine)) = next else {
                return;
            };
            let handles = self.clone();
            actix::spawn(async move {
                handles.adopt(&name, machine).await;
                drop(permit);
            });
        }
    }

    /// Adopts a machine. If the machine is known only from a heartbeat, its worker is probed first, since the heartbeat may be a
    /// late copy.
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
        tracing::info!(machine = %name, "unregistered machine adopted, rental record stored");
        self.update_state(|state| state.finish_adoption(&record, term));
    }

    /// Stores the rental record of an unregistered machine. Returns whether the store holds the record afterwards.
    async fn store_adoption(&self, name: &str, record: &RentalRecord, term: Term) -> bool {
        let rental = format!("found-{name}");
        let epoch = guard(store::epoch_key(), term.epoch_version);
        let txn = store::rental_txn(&epoch, &rental, Revision::ZERO, record);
        match self.leader_transaction(&txn).await {
            Ok(TxnOutcome::Applied(_)) => true,
            // The record exists, since an earlier, unanswered attempt was executed. If this counted as a failure, the machine
            // would be neither used nor released until the next failover.
            Ok(TxnOutcome::Failed(keys)) if keys == [store::rental_key(&rental)] => {
                self.read_state(|state| state.has_rental(&rental, record))
            }
            // The machine is recorded as unregistered again when it next reports or is listed.
            _ => false,
        }
    }
}

/// Builds an empty list of direct commands, which only probes a worker for its status.
fn empty_command(machine: &str, worker: &WorkerContact, term: Term) -> DirectCommands {
    DirectCommands {
        machine: machine.to_string(),
        address: worker.address.clone(),
        token: first_token(term.epoch),
        session: worker.session,
        commands: Vec::new(),
    }
}
