//! The leader's rounds and its books: what it sends, and the transactions that make its decisions durable.

use super::state::{ControllerState, Pass, FLUSH_MS, PASS_MS, PAUSE_MS, TICK_MS};
use crate::coordination::leadership::{Authority, Term};
use crate::protocol as wire;
use crate::protocol::{Report, Txn};
use crate::scheduler::Direct;
use crate::scheduler::{Append, DoneChunk};
use crate::store;
use crate::store::{guard, put, Decided, OverRecord, RentalRecord, StoreError};

/// Time between two looks of a follower at whether its process stood still; shorter than what counts as a pause.
const FOLLOWER_TICK_MS: u64 = PAUSE_MS / 2;

impl ControllerState {
    /// The transaction that claims the next epoch, and its record; none if somebody leads.
    pub(super) fn claim(&mut self, lease: u64) -> Option<(Txn, store::EpochRecord)> {
        self.unlogged = self
            .mirror
            .epoch
            .as_ref()
            .is_some_and(|e| !e.record.logs_starts);
        store::claim_txn(&self.mirror, &self.me, lease)
    }

    /// A leader's round: what time brings, placing, and at most `room` messages, of them at most `probes` empty ones.
    pub(super) fn pass(&mut self, room: usize, probes: usize) -> Pass {
        self.notice_pause();
        let (now, authority) = (self.now(), self.authority());
        let (direct, alone) = (
            self.settings.operator.direct_starts,
            self.settings.platform.peers.is_empty(),
        );
        let Some(scheduler) = self.scheduler.as_mut() else {
            return Pass::Nothing;
        };
        scheduler.at(now);
        if now >= self.due.tick {
            self.due.tick = now + TICK_MS;
            scheduler.tick(now);
        }
        if authority != Authority::Full {
            return Pass::Nothing;
        }
        if now >= self.due.reconsider {
            self.due.reconsider = now + 5 * TICK_MS;
            scheduler.reconsider();
            if !alone && scheduler.hears_no_worker() {
                return Pass::GiveUp("hears no worker");
            }
            if scheduler.is_exhausted() {
                return Pass::GiveUp("the numbers for attempts are used up");
            }
        }
        if now >= self.due.place {
            if scheduler.place() {
                scheduler.make_room();
            }
            // Passes take a fifth of the time at most, however long one takes on this machine.
            let took = self.now() - now;
            self.due.place = now + 2 * PASS_MS.max(2 * took);
        }
        let Some(scheduler) = self.scheduler.as_mut() else {
            return Pass::Nothing;
        };
        let mut sends = if direct {
            scheduler.direct(room)
        } else {
            Vec::new()
        };
        if now >= self.due.probe {
            let allowed = (room - sends.len().min(room)).min(probes);
            let found = scheduler.probes(allowed);
            // Who is overdue is a question of time, and to ask it goes over all machines; more wait only after a full round.
            self.due.probe = if found.len() < allowed {
                now + TICK_MS
            } else {
                now
            };
            sends.extend(found);
        }
        Pass::Sends(sends)
    }

    /// When the next round is due: at the next tick, or as soon as something may be placed.
    pub(super) fn next_pass_in_ms(&self) -> u64 {
        let Some(scheduler) = &self.scheduler else {
            return FOLLOWER_TICK_MS;
        };
        if scheduler.has_changed() && self.authority() == Authority::Full {
            self.due.place.saturating_sub(self.now()).clamp(1, TICK_MS)
        } else {
            TICK_MS
        }
    }

    /// The answer to a message to a worker. One for an earlier term means nothing to this one.
    pub(super) fn direct_answer(
        &mut self,
        term: Option<Term>,
        sent: &Direct,
        answer: Option<&Report>,
    ) {
        let now = self.now();
        if let Some(scheduler) = self.scheduler.as_mut().filter(|_| term.is_some()) {
            if self.lead.term() == term {
                scheduler.at(now);
                scheduler.direct_answer(sent, answer);
            }
        }
    }

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
        let txn = store::log_txn(&guard(store::epoch_key(), term.version), &append);
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

    /// The guard of the leader's writes, while it may make any.
    pub(super) fn write_guard(&self) -> Option<wire::Guard> {
        let term = self
            .term()
            .filter(|_| self.authority() == Authority::Full && self.scheduler.is_some())?;
        Some(guard(store::epoch_key(), term.version))
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
        self.mirror.remember_over(
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
                .mirror
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
            .is_some_and(|term| term.version == epoch.version);
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
        for (name, h) in &self.mirror.rentals {
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
            .mirror
            .stopping
            .iter()
            .filter(|(id, _)| !scheduler.has_job(id))
        {
            add(store::stopping_key(id), v.version);
        }
        for ((id, chunk), v) in &self.mirror.done {
            if !self.mirror.live.contains_key(id) && !self.mirror.stopping.contains_key(id) {
                add(store::done_key(id, *chunk), v.version);
            }
        }
        (!txn.apply.is_empty()).then_some(txn)
    }
}
