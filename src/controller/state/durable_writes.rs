//! The transactions with which the leader stores its decisions and deletes records that are no longer needed.

use super::ControllerState;
use crate::coordination::leadership::Authority;
use crate::protocol::{Change, Guard, Txn};
use crate::scheduler::{DoneChunk, Scheduler};
use crate::store::{self, guard, put, FinalRecord, RentalRecord, Revision};
use std::time::Duration;

/// Time between two rounds of the leader's durable writes.
pub(in crate::controller) const FLUSH_INTERVAL: Duration = Duration::from_millis(500);
/// Share of the changes allowed by the store during one round that a single batch may use.
const BATCH_CHANGE_SHARE: f64 = 0.25;
/// Maximum number of jobs that are made final in a round.
const MAX_COMPLETIONS_PER_ROUND: usize = 8;

/// A complete job, all of whose tasks are done, to be made final.
pub(in crate::controller) struct JobCompletion {
    /// Id of the job.
    pub(in crate::controller) job: String,
    /// Number of its tasks.
    pub(in crate::controller) tasks: u32,
    /// The transaction that makes the job final.
    pub(in crate::controller) txn: Txn,
}

/// Task results to be stored.
pub(in crate::controller) struct ResultsWrite {
    /// The results, one bitmap per chunk of tasks.
    pub(in crate::controller) chunks: Vec<DoneChunk>,
    /// The transaction that stores them.
    pub(in crate::controller) txn: Txn,
}

/// Released machines to be removed from their rental records.
pub(in crate::controller) struct RentalCleanup {
    /// Names of the machines.
    pub(in crate::controller) machines: Vec<String>,
    /// The transaction that removes them.
    pub(in crate::controller) txn: Txn,
}

impl ControllerState {
    /// Returns the guard on the epoch that every write of the leader carries, while this controller may make such writes.
    pub(in crate::controller) fn write_guard(&self) -> Option<Guard> {
        let term = self
            .term()
            .filter(|_| self.authority() == Authority::Full && self.scheduler.is_some())?;
        Some(guard(store::epoch_key(), term.epoch_version))
    }

    /// Returns the maximum number of changes in one batch: a quarter of the changes that the store allows per round, and at
    /// most as many as fit into a transaction.
    ///
    /// Results get no larger share, since they remain on their machines until they are stored and need not be written at once.
    /// The oldest are written first.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "float to integer casts saturate, which is what is wanted"
    )]
    fn max_batch_changes(&self) -> usize {
        let limits = &self.write_limits;
        let per_round = limits.changes_per_s() * FLUSH_INTERVAL.as_secs_f64() * BATCH_CHANGE_SHARE;
        (per_round as usize).clamp(1, limits.changes())
    }

    /// Returns complete jobs to be made final, at most [`MAX_COMPLETIONS_PER_ROUND`] of them.
    pub(in crate::controller) fn job_completions(&self, epoch: &Guard) -> Vec<JobCompletion> {
        let complete = self.scheduler.as_ref().map(Scheduler::complete_jobs);
        let complete = complete
            .into_iter()
            .flatten()
            .take(MAX_COMPLETIONS_PER_ROUND);
        complete
            .map(|job| JobCompletion {
                txn: store::complete_txn(epoch, &job.id, job.version, job.tasks),
                job: job.id,
                tasks: job.tasks,
            })
            .collect()
    }

    /// Records that a complete job was made final, and drops it from the scheduler.
    pub(in crate::controller) fn finish_job(&mut self, job: &str, tasks: u32) {
        tracing::info!(%job, tasks, "job completed: all of its tasks are done");
        let final_state = FinalRecord {
            cancelled: false,
            tasks,
        };
        self.replica.remember_final(job, final_state);
        if let Some(scheduler) = self.scheduler.as_mut() {
            scheduler.stop_job(job);
        }
    }

    /// Returns the next results to be stored.
    pub(in crate::controller) fn results_to_store(&self, epoch: &Guard) -> Option<ResultsWrite> {
        let chunks = self
            .scheduler
            .as_ref()?
            .unstored_chunks(self.max_batch_changes());
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
            let bits = store::bitmap_to_hex(&chunk.bits);
            txn.apply.push(put(key, &bits, None));
        }
        Some(ResultsWrite { chunks, txn })
    }

    /// Records that results were stored under an epoch's guard. Results that were stored in an earlier term are ignored, since
    /// the current term has read them from the store.
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
                scheduler.record_stored(chunk);
            }
        }
    }

    /// Returns the transaction that removes released machines from their rental records and deletes records without machines.
    pub(in crate::controller) fn rental_cleanup(&self, epoch: &Guard) -> Option<RentalCleanup> {
        let reconciliation = &self.rental_reconciliation;
        if !reconciliation.has_pending_removals() {
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
                    .any(|machine| reconciliation.is_removal_pending(machine));
            if !outdated || txn.apply.len() >= max_changes {
                continue;
            }
            let (released, kept): (Vec<String>, Vec<String>) = machines
                .iter()
                .cloned()
                .partition(|machine| reconciliation.is_removal_pending(machine));
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

    /// Records that released machines were removed from their rental records.
    pub(in crate::controller) fn finish_rental_cleanup(&mut self, machines: &[String]) {
        self.rental_reconciliation.mark_removed(machines);
    }

    /// Returns the transaction that deletes the remaining records of final jobs: their stopping records, once none of their
    /// tasks can run any more, and their stored results.
    pub(in crate::controller) fn final_job_cleanup(&mut self, epoch: &Guard) -> Option<Txn> {
        let max_changes = self.max_batch_changes();
        let scheduler = self.scheduler.as_mut()?;
        for job in scheduler.remove_stopped_jobs() {
            tracing::info!(%job, "job ended: none of its tasks can run any more");
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

/// Returns the change that reduces a rental record to the machines in `kept`, or deletes it if there are none.
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
