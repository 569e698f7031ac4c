//! Leadership, and the leader's work: placing, sending, durable writes.

use super::state::{Pass, FLUSH_MS, PASS_MS};
use super::{pause, Shared};
use crate::clients::permit::while_permitted;
use crate::clients::worker;
use crate::coordination::leadership::{Authority, Event, Term};
use crate::protocol as wire;
use crate::store;
use crate::store::{Decided, LeaderRecord, StoreError};
use crate::time::millis;
use rand::Rng;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

impl Shared {
    pub(super) async fn leadership(self) {
        let ttl = millis(self.controller.borrow().settings.operator.hold_s);
        loop {
            let interval_ms = (ttl / 5).min(500);
            let _ =
                tokio::time::timeout(Duration::from_millis(interval_ms), self.campaign.notified())
                    .await;
            let (term, sent, free) = {
                let controller = self.controller.borrow();
                let now = controller.now();
                let free = controller.mirror.loaded
                    && controller.free_to_claim()
                    && now >= controller.no_campaign_until;
                (controller.term(), now, free)
            };
            if let Some(Term { lease, .. }) = term {
                // Authority needs both: the leader lease, and a mirror that has caught up with a read of now.
                self.reading.notify_one();
                let within = Duration::from_millis((ttl / 2).min(1000));
                let renewed = self.noted(self.store.renew(lease, within).await);
                let mut controller = self.controller.borrow_mut();
                match renewed {
                    Ok(()) => {
                        controller.lead_event(Event::Renewed(sent));
                        if controller.scheduler.is_some()
                            && controller.authority() == Authority::None
                        {
                            tracing::info!("does not catch up with the store, gives leadership up");
                            drop(controller);
                            self.give_up();
                        }
                    }
                    Err(StoreError::Gone) => controller.lead_event(Event::Ended),
                    Err(_) if controller.authority() == Authority::None => {
                        controller.lead_event(Event::Ended);
                    }
                    Err(_) => {}
                }
            } else if free {
                pause(rand::thread_rng().gen_range(0..60)).await;
                if self.controller.borrow().free_to_claim() {
                    self.run_for_leader(ttl).await;
                }
            }
        }
    }

    pub(super) async fn run_for_leader(&self, ttl: u64) {
        let sent = {
            let mut controller = self.controller.borrow_mut();
            controller.lead_event(Event::Campaign);
            controller.now()
        };
        let won = match self.noted(self.store.open_lease(ttl).await) {
            Ok(lease) => self.claim(lease).await,
            Err(_) => None,
        };
        let Some(term) = won else {
            self.controller.borrow_mut().lead_event(Event::Lost);
            pause(100).await;
            return;
        };
        self.controller
            .borrow_mut()
            .lead_event(Event::Won { term, sent });
        let Term { epoch, version, .. } = term;
        // The mirror must have reached the epoch before anything is built on it.
        let mut seen = self.revision.subscribe();
        let wait = tokio::time::timeout(
            Duration::from_millis(ttl * 3 / 4),
            seen.wait_for(|r| *r >= version),
        )
        .await;
        let mut controller = self.controller.borrow_mut();
        controller.lead_event(Event::Read {
            sent,
            revision: version,
        });
        match wait {
            Ok(Ok(_)) if controller.term().is_some() => {
                controller.rebuild(epoch);
                self.elected.notify_waiters();
                self.urgent.notify_one();
            }
            _ => controller.lead_event(Event::Ended),
        }
    }

    /// Claims leadership under a leader lease.
    pub(super) async fn claim(&self, lease: u64) -> Option<Term> {
        let claim = self.controller.borrow_mut().claim(lease);
        let Some((txn, record)) = claim else {
            self.store.close_lease(lease).await;
            return None;
        };
        let epoch = record.number;
        match self.txn(&txn).await {
            Ok(Decided::Applied(revision)) => {
                return Some(Term {
                    epoch,
                    version: revision,
                    lease,
                })
            }
            Err(StoreError::Unknown) => {
                let read = self.noted(
                    self.store
                        .get::<store::EpochRecord>(&store::epoch_key())
                        .await,
                );
                let held = self.noted(self.store.get::<LeaderRecord>(&store::leader_key()).await);
                if let (Ok(e), Ok(l)) = (read, held) {
                    if e.record == record && l.record == record.leader && l.version == e.version {
                        return Some(Term {
                            epoch,
                            version: e.version,
                            lease,
                        });
                    }
                }
            }
            _ => {}
        }
        self.store.close_lease(lease).await;
        None
    }

    /// Gives leadership up, so that a node that hears the workers may take it at once.
    fn give_up(&self) {
        let mut controller = self.controller.borrow_mut();
        if let Some(Term { lease, .. }) = controller.term() {
            let store = self.store.clone();
            actix::spawn(async move { store.close_lease(lease).await });
        }
        // Long enough for another to claim, and for the next where that one is cut off as well.
        controller.no_campaign_until =
            controller.now() + (controller.settings.operator.hold_s * 4000.0) as u64;
        controller.lead_event(Event::Ended);
    }

    pub(super) async fn ticks(self) {
        let connections = self
            .controller
            .borrow()
            .settings
            .platform
            .deployment
            .machine_limits
            .max_connections;
        let most = (connections / 16).clamp(8, 64);
        let flying = Rc::new(Cell::new(0usize));
        loop {
            let wait_ms = self.controller.borrow().next_pass_in_ms();
            let _ =
                tokio::time::timeout(Duration::from_millis(wait_ms), self.urgent.notified()).await;
            let pass = self
                .controller
                .borrow_mut()
                .pass(most.saturating_sub(flying.get()), most / 4);
            let sends = match pass {
                Pass::Sends(sends) => sends,
                Pass::Nothing => continue,
                Pass::GiveUp(reason) => {
                    tracing::info!(reason, "gives leadership up");
                    self.give_up();
                    continue;
                }
            };
            self.logging.notify_one();
            for d in sends {
                let me = self.clone();
                let flying = flying.clone();
                let term = self.controller.borrow().term();
                flying.set(flying.get() + 1);
                actix::spawn(async move {
                    let permitted = || me.controller.borrow().may_send_direct(term, &d);
                    let answer = while_permitted(permitted, worker::send_direct(&me.http, &d))
                        .await
                        .flatten();
                    flying.set(flying.get() - 1);
                    me.controller
                        .borrow_mut()
                        .direct_answer(term, &d, answer.as_ref());
                    me.urgent.notify_one();
                });
            }
            // One round for all the reports of a moment.
            pause(PASS_MS).await;
        }
    }

    /// Writes the start log: one append at a time, so that the order of writes is that of the assignments.
    pub(super) async fn start_log(self) {
        let pace = (4000.0
            / self
                .controller
                .borrow()
                .settings
                .platform
                .deployment
                .state
                .write_rps) as u64;
        loop {
            self.logging.notified().await;
            let next = self.controller.borrow_mut().next_append();
            let Some((append, term, txn)) = next else {
                continue;
            };
            let done = self.txn(&txn).await;
            // Without an answer, or if an unanswered earlier one went through: what does the slot hold?
            let found = match done {
                Ok(Decided::Applied(_)) | Err(StoreError::Busy | StoreError::Refused) => None,
                _ => self
                    .noted(
                        self.store
                            .get::<String>(&store::starts_key(append.slot))
                            .await,
                    )
                    .ok(),
            };
            self.controller
                .borrow_mut()
                .logged(term, append, done, found);
            self.urgent.notify_one();
            pause(pace).await;
        }
    }

    /// Makes results durable and clears up, in batches.
    pub(super) async fn flush(self) {
        loop {
            self.elected().await;
            pause(FLUSH_MS).await;
            let Some(epoch) = self.controller.borrow().write_guard() else {
                continue;
            };
            self.flush_complete(&epoch).await;
            self.flush_ranges(&epoch).await;
            self.flush_machines(&epoch).await;
            let swept = self.controller.borrow_mut().sweep(&epoch);
            if let Some(txn) = swept {
                let _ = self.txn(&txn).await;
            }
        }
    }

    async fn flush_complete(&self, epoch: &wire::Guard) {
        let complete = self.controller.borrow().completions(epoch);
        for (id, tasks, txn) in complete {
            // If it failed, the job was cancelled, or an unanswered try went through: the watch tells.
            if let Ok(Decided::Applied(_)) = self.txn(&txn).await {
                self.controller.borrow_mut().completed(&id, tasks);
            }
        }
    }

    async fn flush_ranges(&self, epoch: &wire::Guard) {
        let Some((rows, txn)) = self.controller.borrow().ranges(epoch) else {
            return;
        };
        match self.txn(&txn).await {
            Ok(Decided::Applied(_)) => self.controller.borrow_mut().stored(epoch, &rows),
            // The mirror lags behind an earlier write, or a job has just ended; either shows shortly.
            Ok(Decided::Failed(keys)) => tracing::debug!(?keys, "ranges not stored yet"),
            Err(_) => {}
        }
    }

    /// Forgets machines that are gone.
    async fn flush_machines(&self, epoch: &wire::Guard) {
        let Some((forgotten, txn)) = self.controller.borrow().forgettable(epoch) else {
            return;
        };
        if let Ok(Decided::Applied(_)) = self.txn(&txn).await {
            let mut controller = self.controller.borrow_mut();
            forgotten.iter().for_each(|m| {
                controller.gone.remove(m);
            });
        }
    }
}
