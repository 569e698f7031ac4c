//! Writes the start log.

use super::handles::{pause, Handles};
use super::state::ControllerState;
use crate::coordination::leadership::{Authority, Term};
use crate::protocol::Txn;
use crate::scheduler::Append;
use crate::store;
use crate::store::{guard, Decided, StoreError};

impl Handles {
    /// Writes the start log: one append at a time, so that the order of writes is that of the assignments.
    pub(super) async fn start_log(self) {
        let pace = (4000.0
            / self
                .state
                .borrow()
                .settings
                .platform
                .deployment
                .state
                .write_rps) as u64;
        loop {
            self.start_log_requested.notified().await;
            let next = self.state.borrow_mut().next_append();
            let Some((append, term, txn)) = next else {
                continue;
            };
            let done = self.leader_transaction(&txn).await;
            // Without an answer, or if an unanswered earlier one went through: what does the slot hold?
            let found = match done {
                Ok(Decided::Applied(_)) | Err(StoreError::Busy | StoreError::Refused) => None,
                _ => self
                    .record_store_answer(
                        self.store
                            .get::<String>(&store::starts_key(append.slot))
                            .await,
                    )
                    .ok(),
            };
            self.state.borrow_mut().logged(term, append, done, found);
            self.round_requested.notify_one();
            pause(pace).await;
        }
    }
}

impl ControllerState {
    /// The next write of the start log, while there is an authority to start.
    pub(super) fn next_append(&mut self) -> Option<(Append, Term, Txn)> {
        let term = self
            .term()
            .filter(|_| self.authority() == Authority::Full)?;
        let s = &self.settings.platform.deployment.state;
        // Four conditions for each change are allowed, two are taken, and 100 bytes are enough for one.
        let most = (4 * s.txn_ops - 2).min(100);
        // The value's quotes, and the rest of the transaction.
        let limit = ((s.value_kb * 1024.0) as usize)
            .min((60 << 10) - 100 * most)
            .saturating_sub(64);
        let append = self.scheduler.as_mut()?.append(limit, most)?;
        let txn = store::log_txn(&guard(store::epoch_key(), term.epoch_version), &append);
        Some((append, term, txn))
    }

    /// How a write of the start log ended. `found`: what the slot holds, where that had to be read.
    pub(super) fn logged(
        &mut self,
        term: Term,
        append: Append,
        done: Result<Decided, StoreError>,
        found: Option<store::Versioned<String>>,
    ) {
        if self.term() != Some(term) {
            return;
        }
        let now = self.now();
        let Some(scheduler) = self.scheduler.as_mut() else {
            return;
        };
        scheduler.at(now);
        // The store knows that a job is over before the mirror does.
        if let Ok(Decided::Failed(keys)) = &done {
            keys.iter()
                .filter_map(|k| store::live_job(k))
                .for_each(|id| scheduler.drop_job(id));
        }
        match (done, found) {
            (Ok(Decided::Applied(version)), _) => scheduler.appended(append, version),
            (_, Some(f)) if f.record == append.text => scheduler.appended(append, f.version),
            (_, found) => scheduler.not_appended(
                append,
                found.as_ref().map(|f| (f.version, f.record.as_str())),
            ),
        }
    }
}
