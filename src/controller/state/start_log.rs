//! The writes of the start log: what the next one is, and what its outcome means.

use super::ControllerState;
use crate::coordination::leadership::{Authority, Term};
use crate::protocol::Txn;
use crate::scheduler::SlotWrite;
use crate::store::{self, guard, StoreError, TxnOutcome, Versioned};

/// The largest number of bytes of a request to the store.
const MAX_REQUEST_BYTES: usize = 60 << 10;
/// A number of bytes that is enough for one condition of a transaction.
const BYTES_PER_CONDITION: usize = 100;
/// The largest number of conditions of one write.
const MAX_CONDITIONS: usize = 100;
/// Bytes for the quotes of the value, and for the rest of the transaction.
const VALUE_OVERHEAD_BYTES: usize = 64;

/// A write of the start log.
pub(in crate::controller) struct StartLogWrite {
    /// What is written.
    pub(in crate::controller) append: SlotWrite,
    /// The term in which it was decided.
    pub(in crate::controller) term: Term,
    /// The transaction.
    pub(in crate::controller) txn: Txn,
}

impl ControllerState {
    /// The next write of the start log, while there is something to write and the authority to start tasks.
    pub(in crate::controller) fn next_start_log_write(&mut self) -> Option<StartLogWrite> {
        let term = self.term_with_full_authority()?;
        let limits = &self.settings.platform.deployment.state;
        // The store allows four conditions for each change; two of them are taken.
        let max_conditions = (4 * limits.txn_ops - 2).min(MAX_CONDITIONS);
        let max_bytes = kib_to_bytes(limits.value_kb)
            .min(MAX_REQUEST_BYTES - BYTES_PER_CONDITION * max_conditions)
            .saturating_sub(VALUE_OVERHEAD_BYTES);
        let append = self
            .scheduler
            .as_mut()?
            .next_log_write(max_bytes, max_conditions)?;
        let epoch = guard(store::epoch_key(), term.epoch_version);
        let txn = store::log_txn(&epoch, append.start_log_write());
        Some(StartLogWrite { append, term, txn })
    }

    /// Handles the outcome of a write of the start log. `slot` is what its slot holds, where that had to be read.
    pub(in crate::controller) fn finish_start_log_write(
        &mut self,
        term: Term,
        append: SlotWrite,
        outcome: &Result<TxnOutcome, StoreError>,
        slot: Option<&Versioned<String>>,
    ) {
        if self.term() != Some(term) {
            return;
        }
        let Some(scheduler) = self.scheduler_at_now() else {
            return;
        };
        // The store knows that a job is final before the replica does.
        if let Ok(TxnOutcome::Failed(keys)) = outcome {
            for job in keys.iter().filter_map(|key| store::live_job(key)) {
                scheduler.stop_job(job);
            }
        }
        match (outcome, slot) {
            (Ok(TxnOutcome::Applied(version)), _) => scheduler.log_write_applied(append, *version),
            (_, Some(slot)) if slot.record == append.text => {
                scheduler.log_write_applied(append, slot.version);
            }
            (_, slot) => {
                let slot = slot.map(|slot| (slot.version, slot.record.as_str()));
                scheduler.log_write_failed(append, slot);
            }
        }
    }

    /// The term, while this controller has the authority to start tasks.
    fn term_with_full_authority(&self) -> Option<Term> {
        self.term().filter(|_| self.authority() == Authority::Full)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float to integer casts saturate, which is what is wanted"
)]
fn kib_to_bytes(kib: f64) -> usize {
    (kib * 1024.0) as usize
}
