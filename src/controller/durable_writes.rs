//! The transactions that make the leader's knowledge durable, and those that drop what is no longer needed.

use super::state::{ControllerState, FLUSH_MS};
use crate::coordination::leadership::Authority;
use crate::protocol as wire;
use crate::protocol::Txn;
use crate::scheduler::DoneChunk;
use crate::store;
use crate::store::{guard, put, OverRecord, RentalRecord};

impl ControllerState {
    /// The guard of the leader's writes, while it may make any.
    pub(super) fn write_guard(&self) -> Option<wire::Guard> {
        let term = self
            .term()
            .filter(|_| self.authority() == Authority::Full && self.scheduler.is_some())?;
        Some(guard(store::epoch_key(), term.epoch_version))
    }

    /// Rows written in a round. Results wait on their machines until they are stored, so that they need not be written at
    /// once: a quarter of the changes is theirs, the oldest first.
    fn rows(&self) -> usize {
        let s = &self.settings.platform.deployment.state;
        ((s.write_rps * FLUSH_MS as f64 / 4000.0) as usize).clamp(1, s.txn_ops)
    }

    /// Jobs that can be made final: their tasks, and the transaction.
    pub(super) fn completions(&self, epoch: &wire::Guard) -> Vec<(String, u32, Txn)> {
        let complete = self
            .scheduler
            .as_ref()
            .map(super::super::scheduler::Scheduler::complete_jobs)
            .unwrap_or_default();
        let txn = |id: &str, version, tasks| store::complete_txn(epoch, id, version, tasks);
        complete
            .into_iter()
            .take(8)
            .map(|(id, version, tasks)| (id.clone(), tasks, txn(&id, version, tasks)))
            .collect()
    }

    /// A job is final.
    pub(super) fn completed(&mut self, id: &str, tasks: u32) {
        tracing::info!(job = %id, tasks, "job done");
        self.replica.remember_over(
            id,
            OverRecord {
                cancelled: false,
                tasks,
            },
        );
        if let Some(p) = self.scheduler.as_mut() {
            p.drop_job(id);
        }
    }

    /// Results to be stored.
    pub(super) fn ranges(&self, epoch: &wire::Guard) -> Option<(Vec<DoneChunk>, Txn)> {
        let rows = self.scheduler.as_ref()?.unsaved(self.rows());
        let mut txn = Txn {
            guards: vec![epoch.clone()],
            apply: Vec::new(),
        };
        for row in &rows {
            let known = self
                .replica
                .done
                .get(&(row.job.clone(), row.chunk))
                .map_or(0, |v| v.version);
            let live = guard(store::live_key(&row.job), row.version);
            if !txn.guards.contains(&live) {
                txn.guards.push(live);
            }
            let key = store::done_key(&row.job, row.chunk);
            txn.guards.push(guard(key.clone(), known));
            txn.apply
                .push(put(key, &store::bits_to_text(&row.bits), None));
        }
        (!rows.is_empty()).then_some((rows, txn))
    }

    /// Results are stored. What was written in an earlier term is read by this one from the store.
    pub(super) fn stored(&mut self, epoch: &wire::Guard, rows: &[DoneChunk]) {
        let same = self
            .term()
            .is_some_and(|term| term.epoch_version == epoch.version);
        if let Some(p) = self.scheduler.as_mut().filter(|_| same) {
            rows.iter().for_each(|r| p.saved(r));
        }
    }

    /// Machines that are gone and may be dropped from the store.
    pub(super) fn forgettable(&self, epoch: &wire::Guard) -> Option<(Vec<String>, Txn)> {
        if self.gone.is_empty() {
            return None;
        }
        let (mut txn, mut forgotten) = (
            Txn {
                guards: vec![epoch.clone()],
                apply: Vec::new(),
            },
            Vec::new(),
        );
        for (name, h) in &self.replica.rentals {
            let Some(machines) = &h.record.machines else {
                continue;
            };
            let gone = machines.iter().any(|m| self.gone.contains(m)) || machines.is_empty();
            if !gone || txn.apply.len() >= self.rows() {
                continue;
            }
            let (out, left): (Vec<String>, Vec<String>) = machines
                .iter()
                .cloned()
                .partition(|m| self.gone.contains(m));
            forgotten.extend(out);
            let key = store::rental_key(name);
            txn.guards.push(guard(key.clone(), h.version));
            txn.apply.push(if left.is_empty() {
                wire::Change::Delete { key }
            } else {
                put(
                    key,
                    &RentalRecord {
                        machines: Some(left),
                        ..h.record.clone()
                    },
                    None,
                )
            });
        }
        (!txn.apply.is_empty()).then_some((forgotten, txn))
    }

    /// Drops what finished and cancelled jobs have left behind.
    pub(super) fn sweep(&mut self, epoch: &wire::Guard) -> Option<Txn> {
        let ops = self.rows();
        let mut txn = Txn {
            guards: vec![epoch.clone()],
            apply: Vec::new(),
        };
        let scheduler = self.scheduler.as_mut()?;
        for id in scheduler.stopped_jobs() {
            tracing::info!(job = %id, "job ended");
        }
        let mut add = |key: String, version: u64| {
            if txn.apply.len() < ops {
                txn.guards.push(guard(key.clone(), version));
                txn.apply.push(wire::Change::Delete { key });
            }
        };
        for (id, v) in self
            .replica
            .stopping
            .iter()
            .filter(|(id, _)| !scheduler.has_job(id))
        {
            add(store::stopping_key(id), v.version);
        }
        for ((id, chunk), v) in &self.replica.done {
            if !self.replica.live.contains_key(id) && !self.replica.stopping.contains_key(id) {
                add(store::done_key(id, *chunk), v.version);
            }
        }
        (!txn.apply.is_empty()).then_some(txn)
    }
}
