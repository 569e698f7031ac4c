//! The transactions with which the leader stores its decisions and deletes records that are no longer needed.

use super::{ControllerState, OpenRental};
use crate::coordination::leadership::Authority;
use crate::protocol::{Change, Guard, Txn};
use crate::scheduler::{DoneChunk, Scheduler};
use crate::store::{self, guard, put, FinalRecord, RentalRecord, Revision, TxnBatch};
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
    /// most as many as fit into a transaction and are admitted at once.
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
        (per_round as usize).clamp(1, limits.batch_changes())
    }

    /// Returns an empty batch of the leader's changes.
    fn batch(&self, epoch: &Guard) -> TxnBatch<'_> {
        TxnBatch::new(&self.write_limits, self.max_batch_changes(), epoch.clone())
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
        let scheduler = self.scheduler.as_ref()?;
        let max_bitmap_bytes = store::max_bitmap_bytes(self.write_limits.value_bytes());
        let mut batch = self.batch(epoch);
        let mut chunks = Vec::new();
        for chunk in scheduler.unstored_chunks(self.max_batch_changes(), max_bitmap_bytes) {
            let job_is_live = guard(store::live_key(&chunk.job), chunk.version);
            let stored = self.replica.done.get(&(chunk.job.clone(), chunk.chunk));
            let stored_version = stored.map_or(Revision::ZERO, |row| row.version);
            let key = store::done_key(&chunk.job, chunk.chunk);
            let is_unchanged = guard(key.clone(), stored_version);
            let bits = store::bitmap_to_hex(&chunk.bits);
            if batch.try_add(vec![job_is_live, is_unchanged], vec![put(key, &bits, None)]) {
                chunks.push(chunk);
            }
        }
        let txn = batch.into_txn()?;
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
        let mut removed = Vec::new();
        let mut batch = self.batch(epoch);
        for (name, rental) in &self.replica.rentals {
            if batch.is_full() {
                break;
            }
            let Some(machines) = &rental.record.machines else {
                continue;
            };
            let (released, kept): (Vec<String>, Vec<String>) = machines
                .iter()
                .cloned()
                .partition(|machine| reconciliation.is_removal_pending(machine));
            let is_outdated = machines.is_empty() || !released.is_empty();
            if !is_outdated {
                continue;
            }
            let kept = RentalRecord {
                machines: Some(kept),
                ..rental.record.clone()
            };
            // What remains of a record that was stored under a higher limit may be too large for one record.
            let parts = self.divide_rental(name, rental.version, &kept);
            let guards = parts.iter().map(OpenRental::guard).collect();
            let changes = parts.iter().map(OpenRental::change).collect();
            if batch.try_add(guards, changes) {
                removed.extend(released);
            }
        }
        batch.into_txn().map(|txn| RentalCleanup {
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
        let scheduler = self.scheduler.as_mut()?;
        for job in scheduler.remove_stopped_jobs() {
            tracing::info!(%job, "job ended: none of its tasks can run any more");
        }
        let scheduler = self.scheduler.as_ref()?;
        let replica = &self.replica;
        let stopped = replica
            .stopping
            .iter()
            .filter(|(job, _)| !scheduler.has_job(job))
            .map(|(job, record)| (store::stopping_key(job), record.version));
        let is_final =
            |job: &String| !replica.live.contains_key(job) && !replica.stopping.contains_key(job);
        let results = replica
            .done
            .iter()
            .filter(|((job, _), _)| is_final(job))
            .map(|((job, chunk), row)| (store::done_key(job, *chunk), row.version));
        let mut batch = self.batch(epoch);
        for (key, version) in stopped.chain(results) {
            if !batch.try_add(
                vec![guard(key.clone(), version)],
                vec![Change::Delete { key }],
            ) {
                break;
            }
        }
        batch.into_txn()
    }
}
