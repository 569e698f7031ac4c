//! Leadership, and the leader's work: placing, sending, durable writes.

use super::*;

impl Shared {
    pub(super) async fn leadership(self) {
        let ttl = (self.core.borrow().settings.operator.hold_s * 1000.0) as u64;
        loop {
            let step = (ttl / 5).min(500);
            let _ = tokio::time::timeout(Duration::from_millis(step), self.campaign.notified()).await;
            let (term, sent, free) = {
                let core = self.core.borrow();
                let now = core.now();
                let free = core.mirror.loaded && core.free_to_claim() && now >= core.no_campaign_until;
                (core.term(), now, free)
            };
            if let Some((_, _, hold)) = term {
                // Rights need both: the hold, and a mirror that has caught up with a read of now.
                self.reading.notify_one();
                let within = Duration::from_millis((ttl / 2).min(1000));
                let renewed = self.noted(self.store.renew(hold, within).await);
                let mut core = self.core.borrow_mut();
                match renewed {
                    Ok(()) => {
                        core.lead_event(Event::Renewed(sent));
                        if core.scheduler.is_some() && core.right() == Right::None {
                            tracing::info!("does not catch up with the store, gives leadership up");
                            drop(core);
                            self.give_up();
                        }
                    }
                    Err(StoreError::Gone) => core.lead_event(Event::Ended),
                    Err(_) if core.right() == Right::None => core.lead_event(Event::Ended),
                    Err(_) => {}
                }
            } else if free {
                pause(rand::thread_rng().gen_range(0..60)).await;
                if self.core.borrow().free_to_claim() {
                    self.run_for_leader(ttl).await;
                }
            }
        }
    }

    pub(super) async fn run_for_leader(&self, ttl: u64) {
        let sent = {
            let mut core = self.core.borrow_mut();
            core.lead_event(Event::Campaign);
            core.now()
        };
        let won = match self.noted(self.store.open_hold(ttl).await) {
            Ok(hold) => self.claim(hold).await,
            Err(_) => None,
        };
        let Some((epoch, version, hold)) = won else {
            self.core.borrow_mut().lead_event(Event::Lost);
            pause(100).await;
            return;
        };
        self.core.borrow_mut().lead_event(Event::Won { epoch, version, hold, sent });
        // The mirror must have reached the epoch before anything is built on it.
        let mut seen = self.revision.subscribe();
        let wait = tokio::time::timeout(Duration::from_millis(ttl * 3 / 4), seen.wait_for(|r| *r >= version)).await;
        let mut core = self.core.borrow_mut();
        core.lead_event(Event::Read { sent, revision: version });
        match wait {
            Ok(Ok(_)) if core.term().is_some() => core.rebuild(epoch),
            _ => core.lead_event(Event::Ended),
        }
    }

    /// Claims leadership under a hold: the epoch's number and version.
    pub(super) async fn claim(&self, hold: u64) -> Option<(u64, u64, u64)> {
        let claim = self.core.borrow_mut().claim(hold);
        let Some((txn, record)) = claim else {
            self.store.close_hold(hold).await;
            return None;
        };
        let number = record.number;
        match self.txn(&txn).await {
            Ok(Decided::Applied(revision)) => return Some((number, revision, hold)),
            Err(StoreError::Unknown) => {
                let read = self.noted(self.store.get::<store::EpochRecord>(&store::epoch_key()).await);
                let held = self.noted(self.store.get::<LeaderRecord>(&store::leader_key()).await);
                if let (Ok(e), Ok(l)) = (read, held) {
                    if e.record == record && l.record == record.leader && l.version == e.version {
                        return Some((number, e.version, hold));
                    }
                }
            }
            _ => {}
        }
        self.store.close_hold(hold).await;
        None
    }

    /// Gives leadership up, so that a node that hears the workers may take it at once.
    fn give_up(&self) {
        let mut core = self.core.borrow_mut();
        if let Some((_, _, hold)) = core.term() {
            let store = self.store.clone();
            actix::spawn(async move { store.close_hold(hold).await });
        }
        // Long enough for another to claim, and for the next where that one is cut off as well.
        core.no_campaign_until = core.now() + (core.settings.operator.hold_s * 4000.0) as u64;
        core.lead_event(Event::Ended);
    }

    pub(super) async fn ticks(self) {
        let connections = self.core.borrow().settings.platform.deployment.machine_limits.max_connections;
        let most = (connections / 16).clamp(8, 64);
        let flying = Rc::new(Cell::new(0usize));
        loop {
            let _ = tokio::time::timeout(Duration::from_millis(TICK_MS), self.urgent.notified()).await;
            let pass = self.core.borrow_mut().pass(most.saturating_sub(flying.get()), most / 4);
            let sends = match pass {
                Pass::Sends(sends) => sends,
                Pass::Nothing => continue,
                Pass::GiveUp => {
                    tracing::info!("hears no worker, gives leadership up");
                    self.give_up();
                    continue;
                }
            };
            self.logging.notify_one();
            for d in sends {
                let me = self.clone();
                let flying = flying.clone();
                let term = self.core.borrow().term();
                flying.set(flying.get() + 1);
                actix::spawn(async move {
                    let permitted = || me.core.borrow().may_send(term);
                    let answer = while_permitted(permitted, worker::send_direct(&me.http, &d)).await.flatten();
                    flying.set(flying.get() - 1);
                    me.core.borrow_mut().direct_answer(term, &d, answer.as_ref());
                    me.urgent.notify_one();
                });
            }
            // One round for all the reports of a moment.
            pause(PASS_MS).await;
        }
    }

    /// Writes the start log: one append at a time, so that the order of writes is that of the assignments.
    pub(super) async fn start_log(self) {
        let pace = (4000.0 / self.core.borrow().settings.platform.deployment.state.write_rps) as u64;
        loop {
            self.logging.notified().await;
            let next = self.core.borrow_mut().next_append();
            let Some((append, term, txn)) = next else { continue };
            let done = self.txn(&txn).await;
            // Without an answer, or if an unanswered earlier one went through: what does the slot hold?
            let found = match done {
                Ok(Decided::Applied(_)) | Err(StoreError::Busy | StoreError::Refused) => None,
                _ => self.noted(self.store.get::<String>(&store::starts_key(append.slot)).await).ok(),
            };
            self.core.borrow_mut().logged(term, append, done, found);
            self.urgent.notify_one();
            pause(pace).await;
        }
    }

    /// Makes results durable and clears up, in batches.
    pub(super) async fn flush(self) {
        loop {
            pause(FLUSH_MS).await;
            let Some(epoch) = self.core.borrow().books() else { continue };
            self.flush_complete(&epoch).await;
            self.flush_ranges(&epoch).await;
            self.flush_machines(&epoch).await;
            let swept = self.core.borrow_mut().sweep(&epoch);
            if let Some(txn) = swept {
                let _ = self.txn(&txn).await;
            }
        }
    }

    async fn flush_complete(&self, epoch: &wire::Guard) {
        let complete = self.core.borrow().completions(epoch);
        for (id, tasks, txn) in complete {
            // If it failed, the job was cancelled, or an unanswered try went through: the watch tells.
            if let Ok(Decided::Applied(_)) = self.txn(&txn).await {
                self.core.borrow_mut().completed(&id, tasks);
            }
        }
    }

    async fn flush_ranges(&self, epoch: &wire::Guard) {
        let Some((rows, txn)) = self.core.borrow().ranges(epoch) else { return };
        match self.txn(&txn).await {
            Ok(Decided::Applied(_)) => self.core.borrow_mut().stored(epoch, &rows),
            // The mirror lags behind an earlier write, or a job has just ended; either shows shortly.
            Ok(Decided::Failed(keys)) => tracing::debug!(?keys, "ranges not stored yet"),
            Err(_) => {}
        }
    }

    /// Forgets machines that are gone.
    async fn flush_machines(&self, epoch: &wire::Guard) {
        let Some((forgotten, txn)) = self.core.borrow().forgettable(epoch) else { return };
        if let Ok(Decided::Applied(_)) = self.txn(&txn).await {
            let mut core = self.core.borrow_mut();
            forgotten.iter().for_each(|m| {
                core.gone.remove(m);
            });
        }
    }
}
