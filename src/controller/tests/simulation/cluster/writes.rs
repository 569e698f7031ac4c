//! Durable writes of the leader: the start log, and the periodic writes of results, final states and cleanups.

use super::super::Simulation;
use crate::coordination::leadership::Term;
use crate::protocol::{Guard, Txn};
use crate::scheduler::SlotWrite;
use crate::store::{self, StoreError, TxnOutcome};
use crate::time::Timestamp;
use std::time::Duration;

/// Time between two rounds of the leader's durable writes.
const FLUSH_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which an unanswered write counts as one with an unknown outcome.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);

/// A write of the start log whose outcome the controller does not know yet.
pub(super) struct PendingSlotWrite {
    slot_write: SlotWrite,
    term: Term,
    outcome: Result<TxnOutcome, StoreError>,
    answered_at: Timestamp,
}

impl Simulation {
    /// Finishes the last write of the start log once it was answered, and makes the next one.
    pub(super) fn drive_start_log(&mut self, node: usize) {
        let now = self.now();
        let under_way = |pending: &PendingSlotWrite| now < pending.answered_at;
        if self.nodes[node]
            .pending_slot_write
            .as_ref()
            .is_some_and(under_way)
        {
            return;
        }
        if let Some(pending) = self.nodes[node].pending_slot_write.take() {
            self.finish_slot_write(node, pending);
        }
        let Some(write) = self.nodes[node]
            .running_controller_mut()
            .next_start_log_write()
        else {
            return;
        };
        let outcome = self.transact(node, &write.txn);
        let latency = if matches!(outcome, Err(StoreError::OutcomeUnknown(_))) {
            WRITE_TIMEOUT
        } else {
            self.start_log_write_latency
        };
        self.nodes[node].pending_slot_write = Some(PendingSlotWrite {
            slot_write: write.slot_write,
            term: write.term,
            outcome,
            answered_at: now + latency,
        });
    }

    /// Hands the outcome of a write to the controller. Unless the write was applied or was refused without being executed, the
    /// stored slot is handed over too: a failed guard may be due to an earlier write whose outcome was unknown.
    fn finish_slot_write(&mut self, node: usize, pending: PendingSlotWrite) {
        let certain = matches!(
            pending.outcome,
            Ok(TxnOutcome::Applied(_))
                | Err(StoreError::RateLimited
                    | StoreError::Unavailable
                    | StoreError::TransactionRefused(_))
        );
        let found = if !certain && self.store.is_available_to(node) {
            let key = store::start_log_key(pending.slot_write.slot);
            self.store.get::<String>(&key)
        } else {
            None
        };
        let controller = self.nodes[node].running_controller_mut();
        controller.finish_start_log_write(
            pending.term,
            pending.slot_write,
            &pending.outcome,
            found.as_ref(),
        );
    }

    /// Runs a round of the leader's durable writes.
    pub(super) fn flush(&mut self, node: usize) {
        let now = self.now();
        if now < self.nodes[node].next_flush_at {
            return;
        }
        self.nodes[node].next_flush_at = now + FLUSH_INTERVAL;
        let Some(epoch) = self.nodes[node].running_controller().write_guard() else {
            return;
        };
        self.write_completions(node, &epoch);
        self.write_results(node, &epoch);
        self.clean_up_rentals(node, &epoch);
        let cleanup = self.nodes[node]
            .running_controller_mut()
            .final_job_cleanup(&epoch);
        if let Some(txn) = cleanup {
            // A failed cleanup is repeated in the next round.
            let _ = self.transact(node, &txn);
        }
    }

    /// Runs a transaction and reports whether the controller knows that it was applied.
    fn try_apply(&mut self, node: usize, txn: &Txn) -> bool {
        matches!(self.transact(node, txn), Ok(TxnOutcome::Applied(_)))
    }

    /// Makes jobs final whose tasks are all done.
    fn write_completions(&mut self, node: usize, epoch: &Guard) {
        for completion in self.nodes[node]
            .running_controller_mut()
            .job_completions(epoch)
        {
            if self.try_apply(node, &completion.txn) {
                let controller = self.nodes[node].running_controller_mut();
                controller.finish_job(&completion.job, completion.tasks);
            }
        }
    }

    /// Stores task results of unfinished jobs.
    fn write_results(&mut self, node: usize, epoch: &Guard) {
        let results = self.nodes[node]
            .running_controller_mut()
            .results_to_store(epoch);
        if let Some(write) = results {
            if self.try_apply(node, &write.txn) {
                let controller = self.nodes[node].running_controller_mut();
                controller.record_stored_results(epoch, &write.chunks);
            }
        }
    }

    /// Removes released machines from their rental records.
    fn clean_up_rentals(&mut self, node: usize, epoch: &Guard) {
        let cleanup = self.nodes[node]
            .running_controller_mut()
            .rental_cleanup(epoch);
        if let Some(cleanup) = cleanup {
            if self.try_apply(node, &cleanup.txn) {
                let controller = self.nodes[node].running_controller_mut();
                controller.finish_rental_cleanup(&cleanup.machines);
            }
        }
    }
}
