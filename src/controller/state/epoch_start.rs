//! The start of an epoch: the transaction that claims it, and the scheduler that the new leader builds from its replica.

use super::ControllerState;
use crate::protocol::Txn;
use crate::scheduler::{Hardware, Origin, Params, Scheduler, StoredSlot};
use crate::store::{self, Epoch, EpochRecord, Replica};

/// A claim of the leadership of a new epoch.
pub(in crate::controller) struct EpochClaim {
    /// The record that the epoch key will hold.
    pub(in crate::controller) record: EpochRecord,
    /// The transaction that claims the epoch.
    pub(in crate::controller) txn: Txn,
}

impl ControllerState {
    /// Returns the claim of the next epoch under a leader lease, or `None` if another controller leads.
    pub(in crate::controller) fn claim_epoch(&mut self, lease_id: u64) -> Option<EpochClaim> {
        self.leadership_status.observe_previous_epoch(&self.replica);
        let identity = self.leadership_status.identity();
        let (txn, record) = store::claim_txn(&self.replica, identity, lease_id)?;
        Some(EpochClaim { record, txn })
    }

    /// Starts an epoch that this controller leads: builds its scheduler from the replica.
    pub(in crate::controller) fn start_epoch(&mut self, epoch: Epoch) {
        let now = self.now();
        let mut scheduler = Scheduler::new(Params::new(&self.settings), epoch, now.as_millis());
        scheduler.update_machine_types(&self.machine_types);
        self.add_rented_machines(&mut scheduler);
        self.add_stored_jobs(&mut scheduler);
        let start_log = self
            .replica
            .start_log
            .iter()
            .map(|(number, slot)| StoredSlot {
                number: *number,
                version: slot.version,
                text: &slot.record,
            });
        scheduler.replay_start_log(start_log);
        if self.leadership_status.previous_epoch_without_start_log() {
            scheduler.wait_for_lease_expiry();
        }
        self.leadership_status.start_leading(now);
        tracing::info!(
            %epoch,
            jobs = self.replica.live.len(),
            rentals = self.replica.rentals.len(),
            unsettled = scheduler.unreconciled_machines(),
            "epoch started: scheduler built from the records in the store"
        );
        self.scheduler = Some(scheduler);
    }

    fn add_rented_machines(&self, scheduler: &mut Scheduler) {
        for rental in self.replica.rentals.values() {
            let rental = &rental.record;
            for machine in rental.machines.iter().flatten() {
                scheduler.add_machine(machine, Hardware::from(rental), Origin::Inherited);
            }
        }
    }

    fn add_stored_jobs(&self, scheduler: &mut Scheduler) {
        let unix_millis = self.clock.unix_millis();
        let unfinished = self.replica.live.iter();
        let unfinished =
            unfinished.map(|(id, job)| (id, job, self.replica.final_state(id).is_some()));
        let stopping = self.replica.stopping.iter();
        let stopping = stopping.map(|(id, job)| (id, job, true));
        for (id, job, ended) in unfinished.chain(stopping) {
            scheduler.add_job(
                job.record.clone(),
                job.version,
                &stored_results(&self.replica, id),
                unix_millis,
                ended,
            );
        }
    }
}

/// Returns the stored results of a job: the chunk number and the bitmap of each row.
pub(super) fn stored_results(replica: &Replica, job: &str) -> Vec<(u32, Vec<u8>)> {
    let from = (job.to_string(), 0);
    let rows = replica
        .done
        .range(from..)
        .take_while(|((row_job, _), _)| row_job == job);
    rows.map(|((_, chunk), row)| (*chunk, row.record.clone()))
        .collect()
}
