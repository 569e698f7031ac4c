//! Writes of the start log: the transaction of the next write, and the handling of its outcome.

use super::ControllerState;
use crate::coordination::leadership::{Authority, Term};
use crate::protocol::Txn;
use crate::scheduler::SlotWrite;
use crate::store::{self, guard, StoreError, TxnOutcome, Versioned};

/// Upper bound of the size of one guard of a transaction, in bytes.
const BYTES_PER_GUARD: usize = 100;
/// Maximum number of guards on jobs in one write.
const MAX_JOB_GUARDS: usize = 100;
/// Number of other guards: on the epoch and on the slot.
const OTHER_GUARDS: usize = 2;
/// Bytes reserved for the quotes around the value and for the remainder of the transaction.
const VALUE_OVERHEAD_BYTES: usize = 64;
/// Bytes reserved for the remainder of the transaction.
const TRANSACTION_OVERHEAD_BYTES: usize = 4 << 10;

/// A write of the start log.
pub(in crate::controller) struct PreparedStartLogWrite {
    /// The slot and its new contents.
    pub(in crate::controller) slot_write: SlotWrite,
    /// The term in which the write was decided on.
    pub(in crate::controller) term: Term,
    /// The transaction that writes the slot.
    pub(in crate::controller) txn: Txn,
}

impl ControllerState {
    /// Returns the next write of the start log, if there are unwritten starts and this controller may start tasks.
    pub(in crate::controller) fn next_start_log_write(&mut self) -> Option<PreparedStartLogWrite> {
        let term = self.term_with_full_authority()?;
        let limits = &self.write_limits;
        let max_job_guards = (limits.guards() - OTHER_GUARDS).min(MAX_JOB_GUARDS);
        let max_bytes = limits
            .value_bytes()
            .min(
                limits.transaction_bytes()
                    - TRANSACTION_OVERHEAD_BYTES
                    - BYTES_PER_GUARD * max_job_guards,
            )
            .saturating_sub(VALUE_OVERHEAD_BYTES);
        let slot_write = self
            .scheduler
            .as_mut()?
            .next_log_write(max_bytes, max_job_guards)?;
        let epoch = guard(store::epoch_key(), term.epoch_version);
        let txn = store::start_log_txn(&epoch, slot_write.start_log_write());
        Some(PreparedStartLogWrite {
            slot_write,
            term,
            txn,
        })
    }

    /// Handles the outcome of a write of the start log. `stored` is the slot as it is in the store, if it had to be read because
    /// the outcome did not tell.
    pub(in crate::controller) fn finish_start_log_write(
        &mut self,
        term: Term,
        write: SlotWrite,
        outcome: &Result<TxnOutcome, StoreError>,
        stored: Option<&Versioned<String>>,
    ) {
        if self.term() != Some(term) {
            return;
        }
        let Some(scheduler) = self.scheduler_at_now() else {
            return;
        };
        // A failed guard on a job shows that the job is no longer unfinished, which the replica may not contain yet.
        if let Ok(TxnOutcome::Failed(keys)) = outcome {
            for job in keys.iter().filter_map(|key| store::parse_live_key(key)) {
                scheduler.stop_job(job);
            }
        }
        match (outcome, stored) {
            (Ok(TxnOutcome::Applied(version)), _) => scheduler.log_write_applied(write, *version),
            (_, Some(stored)) if stored.record == write.text => {
                scheduler.log_write_applied(write, stored.version);
            }
            (_, stored) => {
                let stored = stored.map(|stored| (stored.version, stored.record.as_str()));
                scheduler.log_write_failed(write, stored);
            }
        }
    }

    /// Returns the current term, while this controller has the authority to start tasks.
    fn term_with_full_authority(&self) -> Option<Term> {
        self.term().filter(|_| self.authority() == Authority::Full)
    }
}
