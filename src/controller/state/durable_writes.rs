//! The transactions that make the leader's decisions durable, and those that delete what is no longer needed.

use super::ControllerState;
use crate::coordination::leadership::Authority;
use crate::protocol::{Change, Guard, Txn};
use crate::scheduler::{DoneChunk, Scheduler};
use crate::store::{self, guard, put, FinalRecord, RentalRecord, Revision};
use std::time::Duration;

/// Time between two rounds of durable writes of the leader.
pub(in crate::controller) const FLUSH_INTERVAL: Duration = Duration::from_millis(500);
/// Share of the store's changes that each of the batches in a round may take.
const CHANGE_RATE_SHARE: f64 = 0.25;
/// The largest number of jobs that are made final in a round.
const MAX_COMPLETIONS: usize = 8;

/// A job whose tasks are all done, to be made final.
pub(in crate::controller) struct JobCompletion {
    /// The job.
    pub(in crate::controller) job: String,
    /// The number of its tasks.
    pub(in crate::controller) tasks: u32,
    /// The transaction that makes it final.
    pub(in crate::controller) txn: Txn,
}

/// Results of tasks to be stored.
pub(in crate::controller) struct ResultsWrite {
    /// The results.
    pub(in crate::controller) chunks: Vec<DoneChunk>,
    /// The transaction that stores them.
    pub(in crate::controller) txn: Txn,
}

/// Released machines to be removed from their rental records.
pub(in crate::controller) struct RentalCleanup {
    /// The machines.
    pub(in crate::controller) machines: Vec<String>,
    /// The transaction that removes them.
    pub(in crate::controller) txn: Txn,
}

impl ControllerState {
    /// The guard of the leader's writes, while it may make any.
    pub(in crate::controller) fn write_guard(&self) -> Option<Guard> {
        let term = self
            .term()
            .filter(|_| self.authority() == Authority::Full && self.scheduler.is_some())?;
        Some(guard(store::epoch_key(), term.epoch_version))
    }

    /// The largest number of changes in one batch. Results wait on their machines until they are stored, so that they need not
    /// be written at once: a quarter of the store's changes is theirs, the oldest first.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "float to integer casts saturate, which is what is wanted"
    )]
    fn max_batch_changes(&self) -> usize {
        let limits = &self.settings.platform.deployment.state;
        let per_round = limits.write_rps * FLUSH_INTERVAL.as_secs_f64() * CHANGE_RATE_SHARE;
        (per_round as usize).clamp(1, limits.txn_ops)
    }

    /// Jobs whose tasks are all done, some at a time.
    pub(in crate::controller) fn job_completions(&self, epoch: &Guard) -> Vec<JobCompletion> {
        let complete = self.scheduler.as_ref().map(Scheduler::complete_jobs);
        let complete = complete.into_iter().flatten().take(MAX_COMPLETIONS);
        complete
            .map(|job| JobCompletion {
                txn: store::complete_txn(epoch, &job.id, job.version, job.tasks),
                job: job.id,
                tasks: job.tasks,
            })
            .collect()
    }

    /// A job was made final.
    pub(in crate::controller) fn finish_job(&mut self, job: &str, tasks: u32) {
        tracing::info!(%job, tasks, "job done");
        let final_state = FinalRecord {
            cancelled: false,
            tasks,
        };
        self.replica.remember_final(job, final_state);
        if let Some(scheduler) = self.scheduler.as_mut() {
            scheduler.stop_job(job);
        }
    }

    /// The results to be stored next.
    pub(in crate::controller) fn results_to_store(&self, epoch: &Guard) -> Option<ResultsWrite> {
        let chunks = self
            .scheduler
            .as_ref()?
            .unsaved_chunks(self.max_batch_changes());
        if chunks.is_empty() {
            return None;
        }
        let mut txn = Txn {
            guards: vec![epoch.clone()],
            apply: Vec::new(),
        };
        for chunk in &chunks {
            let job_is_live = guard(store::live_key(&chunk.job), chunk.version);
            if !txn.guards.contains(&job_is_live) {
                txn.guards.push(job_is_live);
            }
            let stored = self.replica.done.get(&(chunk.job.clone(), chunk.chunk));
            let stored_version = stored.map_or(Revision::ZERO, |row| row.version);
            let key = store::done_key(&chunk.job, chunk.chunk);
            txn.guards.push(guard(key.clone(), stored_version));
            let bits = store::bits_to_text(&chunk.bits);
            txn.apply.push(put(key, &bits, None));
        }
        Some(ResultsWrite { chunks, txn })
    }

    /// Results were stored under an epoch's guard. What was written in an earlier term, this one has read from the store.
    pub(in crate::controller) fn record_stored_results(
        &mut self,
        epoch: &Guard,
        chunks: &[DoneChunk],
    ) {
        let same_term = self
            .term()
            .is_some_and(|term| term.epoch_version == epoch.version);
        if let Some(scheduler) = self.scheduler.as_mut().filter(|_| same_term) {
            for chunk in chunks {
                scheduler.record_saved(chunk);
            }
        }
    }

    /// Removes released machines from their rental records. A record without machines is deleted.
    pub(in crate::controller) fn rental_cleanup(&self, epoch: &Guard) -> Option<RentalCleanup> {
        let reconciliation = &self.rental_reconciliation;
        if !reconciliation.has_machines_to_remove() {
            return None;
        }
        let max_changes = self.max_batch_changes();
        let mut removed = Vec::new();
        let mut txn = Txn {
            guards: vec![epoch.clone()],
            apply: Vec::new(),
        };
        for (name, rental) in &self.replica.rentals {
            let Some(machines) = &rental.record.machines else {
                continue;
            };
            let outdated = machines.is_empty()
                || machines
                    .iter()
                    .any(|machine| reconciliation.is_to_remove(machine));
            if !outdated || txn.apply.len() >= max_changes {
                continue;
            }
            let (released, kept): (Vec<String>, Vec<String>) = machines
                .iter()
                .cloned()
                .partition(|machine| reconciliation.is_to_remove(machine));
            removed.extend(released);
            let key = store::rental_key(name);
            txn.guards.push(guard(key.clone(), rental.version));
            txn.apply.push(rental_change(key, &rental.record, kept));
        }
        (!txn.apply.is_empty()).then_some(RentalCleanup {
            machines: removed,
            txn,
        })
    }

    /// Machines were removed from their rental records.
    pub(in crate::controller) fn finish_rental_cleanup(&mut self, machines: &[String]) {
        self.rental_reconciliation.mark_removed(machines);
    }

    /// Deletes what jobs that are final have left in the store.
    pub(in crate::controller) fn final_job_cleanup(&mut self, epoch: &Guard) -> Option<Txn> {
        let max_changes = self.max_batch_changes();
        let scheduler = self.scheduler.as_mut()?;
        for job in scheduler.remove_stopped_jobs() {
            tracing::info!(%job, "job ended");
        }
        let mut txn = Txn {
            guards: vec![epoch.clone()],
            apply: Vec::new(),
        };
        let mut delete = |key: String, version: Revision| {
            if txn.apply.len() < max_changes {
                txn.guards.push(guard(key.clone(), version));
                txn.apply.push(Change::Delete { key });
            }
        };
        for (job, record) in &self.replica.stopping {
            if !scheduler.has_job(job) {
                delete(store::stopping_key(job), record.version);
            }
        }
        for ((job, chunk), row) in &self.replica.done {
            if !self.replica.live.contains_key(job) && !self.replica.stopping.contains_key(job) {
                delete(store::done_key(job, *chunk), row.version);
            }
        }
        (!txn.apply.is_empty()).then_some(txn)
    }
}

/// Leaves a rental record with the machines that are kept, or deletes it.
fn rental_change(key: String, rental: &RentalRecord, kept: Vec<String>) -> Change {
    if kept.is_empty() {
        return Change::Delete { key };
    }
    let rental = RentalRecord {
        machines: Some(kept),
        ..rental.clone()
    };
    put(key, &rental, None)
}
