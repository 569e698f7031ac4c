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
                        if core.part.is_some() && core.right() == Right::None {
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
        let Some((txn, me, record)) = ({
            let mut core = self.core.borrow_mut();
            let core = &mut *core;
            core.unlogged = core.mirror.epoch.as_ref().is_some_and(|e| !e.record.logs_starts);
            store::claim_txn(&core.mirror, &core.me, hold).map(|(txn, record)| (txn, core.me.clone(), record))
        }) else {
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
                    if e.record == record && l.record == me && l.version == e.version {
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
        let (most, alone) = {
            let core = self.core.borrow();
            let connections = core.settings.platform.deployment.machine_limits.max_connections;
            ((connections / 16).clamp(8, 64), core.settings.platform.peers.is_empty())
        };
        let flying = Rc::new(Cell::new(0usize));
        let (mut tick_at, mut stir_at, mut place_at) = (0, 0, 0);
        loop {
            let _ = tokio::time::timeout(Duration::from_millis(TICK_MS), self.urgent.notified()).await;
            let sends = {
                let mut core = self.core.borrow_mut();
                let now = core.now();
                let right = core.right();
                let (direct, begun) = (core.settings.operator.direct_starts, core.begun);
                let Some(part) = core.part.as_mut() else { continue };
                part.at(now);
                if now >= tick_at {
                    tick_at = now + TICK_MS;
                    part.tick(now);
                }
                if right != Right::Full {
                    continue;
                }
                if now >= stir_at {
                    stir_at = now + 5 * TICK_MS;
                    part.stir();
                    if !alone && part.deaf() {
                        tracing::info!("hears no worker, gives leadership up");
                        drop(core);
                        self.give_up();
                        continue;
                    }
                }
                if now >= place_at {
                    let from = begun.elapsed();
                    if part.place() {
                        part.make_room();
                    }
                    // Passes take a fifth of the time at most, however long one takes on this machine.
                    place_at = now + 2 * PASS_MS.max(2 * (begun.elapsed() - from).as_millis() as u64);
                }
                let room = most.saturating_sub(flying.get());
                let mut sends = if direct { part.direct(room) } else { Vec::new() };
                sends.extend(part.probes((room - sends.len().min(room)).min(most / 4)));
                sends
            };
            self.logging.notify_one();
            for d in sends {
                let me = self.clone();
                let flying = flying.clone();
                let epoch = self.core.borrow().term();
                flying.set(flying.get() + 1);
                actix::spawn(async move {
                    let answer = worker::send_direct(&me.http, &d).await;
                    flying.set(flying.get() - 1);
                    let mut core = me.core.borrow_mut();
                    // An answer for an earlier epoch means nothing to this one.
                    if core.term() == epoch {
                        let now = core.now();
                        if let Some(part) = core.part.as_mut() {
                            part.at(now);
                            part.direct_answer(&d, answer.as_ref());
                            me.urgent.notify_one();
                        }
                    }
                });
            }
            // One round for all the reports of a moment.
            pause(PASS_MS).await;
        }
    }

    /// Writes the start log: one append at a time, so that the order of writes is that of the assignments.
    pub(super) async fn start_log(self) {
        let (limit, most, pace) = {
            let core = self.core.borrow();
            let s = &core.settings.platform.deployment.state;
            // The value's quotes, and the rest of the transaction.
            // Four conditions for each change are allowed, two are taken, and 100 bytes are enough for one.
            let most = (4 * s.txn_ops - 2).min(100);
            let limit = ((s.value_kb * 1024.0) as usize).min((60 << 10) - 100 * most).saturating_sub(64);
            (limit, most, (4000.0 / s.write_rps) as u64)
        };
        loop {
            self.logging.notified().await;
            let (append, term) = {
                let mut core = self.core.borrow_mut();
                let Some(term) = core.term().filter(|_| core.right() == Right::Full) else { continue };
                let Some(append) = core.part.as_mut().and_then(|p| p.append(limit, most)) else { continue };
                (append, term)
            };
            let done = self.txn(&store::log_txn(&guard(store::epoch_key(), term.1), &append)).await;
            // Without an answer, or if an unanswered earlier one went through: what does the slot hold?
            let found = match done {
                Ok(Decided::Applied(_)) | Err(StoreError::Busy | StoreError::Refused) => None,
                _ => self.noted(self.store.get::<String>(&store::starts_key(append.slot)).await).ok(),
            };
            {
                let mut core = self.core.borrow_mut();
                if core.term() != Some(term) {
                    continue;
                }
                let Some(part) = core.part.as_mut() else { continue };
                // The store knows that a job is over before the mirror does.
                if let Ok(Decided::Failed(keys)) = &done {
                    keys.iter().filter_map(|k| store::live_job(k)).for_each(|id| part.drop_job(id));
                }
                match (done, found) {
                    (Ok(Decided::Applied(version)), _) => part.appended(append, version),
                    (_, Some(f)) if f.record == append.text => part.appended(append, f.version),
                    (_, found) => part.not_appended(append, found.as_ref().map(|f| (f.version, f.record.as_str()))),
                }
            }
            self.urgent.notify_one();
            pause(pace).await;
        }
    }

    /// Makes results durable and clears up, in batches.
    pub(super) async fn flush(self) {
        // Results wait on their machines until they are stored, so that they need not be written at once: a quarter of
        // the changes is theirs, the oldest first.
        let (ops, rows) = {
            let s = &self.core.borrow().settings.platform.deployment.state;
            (s.txn_ops, ((s.write_rps * FLUSH_MS as f64 / 4000.0) as usize).clamp(1, s.txn_ops))
        };
        loop {
            pause(FLUSH_MS).await;
            let version = {
                let core = self.core.borrow();
                match core.term() {
                    Some((_, version, _)) if core.right() == Right::Full && core.part.is_some() => version,
                    _ => continue,
                }
            };
            let epoch = guard(store::epoch_key(), version);
            self.flush_complete(&epoch).await;
            self.flush_ranges(&epoch, rows).await;
            self.flush_machines(&epoch, rows).await;
            self.sweep(&epoch, rows.min(ops)).await;
        }
    }

    pub(super) async fn flush_complete(&self, epoch: &wire::Guard) {
        let complete = self.core.borrow().part.as_ref().map(|p| p.complete_jobs()).unwrap_or_default();
        for (id, version, tasks) in complete.into_iter().take(8) {
            let over = OverRecord { cancelled: false, tasks };
            let txn = store::complete_txn(epoch, &id, version, tasks);
            // If it failed, the job was cancelled, or an unanswered try went through: the watch tells.
            if let Ok(Decided::Applied(_)) = self.txn(&txn).await {
                tracing::info!(job = %id, tasks, "job done");
                let mut core = self.core.borrow_mut();
                core.mirror.remember_over(&id, over);
                if let Some(p) = core.part.as_mut() {
                    p.drop_job(&id);
                }
            }
        }
    }

    pub(super) async fn flush_ranges(&self, epoch: &wire::Guard, most: usize) {
        let rows = self.core.borrow().part.as_ref().map(|p| p.unsaved(most)).unwrap_or_default();
        if rows.is_empty() {
            return;
        }
        let mut txn = Txn { guards: vec![epoch.clone()], apply: Vec::new() };
        for row in &rows {
            let known = self.core.borrow().mirror.done.get(&(row.job.clone(), row.chunk)).map_or(0, |v| v.version);
            let live = guard(store::live_key(&row.job), row.version);
            if !txn.guards.contains(&live) {
                txn.guards.push(live);
            }
            let key = store::done_key(&row.job, row.chunk);
            txn.guards.push(guard(key.clone(), known));
            txn.apply.push(put(key, &store::bits_to_text(&row.bits), None));
        }
        match self.txn(&txn).await {
            Ok(Decided::Applied(_)) => {
                let mut core = self.core.borrow_mut();
                if let Some(p) = core.part.as_mut() {
                    rows.iter().for_each(|r| p.saved(r));
                }
            }
            // The mirror lags behind an earlier write, or a job has just ended; either shows shortly.
            Ok(Decided::Failed(keys)) => tracing::debug!(?keys, "ranges not stored yet"),
            Err(_) => {}
        }
    }

    /// Forgets machines that are gone.
    pub(super) async fn flush_machines(&self, epoch: &wire::Guard, ops: usize) {
        let (mut txn, mut forgotten) = (Txn { guards: vec![epoch.clone()], apply: Vec::new() }, Vec::new());
        {
            let core = self.core.borrow();
            if core.gone.is_empty() {
                return;
            }
            for (name, h) in &core.mirror.hires {
                let Some(machines) = &h.record.machines else { continue };
                let gone = machines.iter().any(|m| core.gone.contains(m)) || machines.is_empty();
                if !gone || txn.apply.len() >= ops {
                    continue;
                }
                let (out, left): (Vec<String>, Vec<String>) =
                    machines.iter().cloned().partition(|m| core.gone.contains(m));
                forgotten.extend(out);
                let key = store::hire_key(name);
                txn.guards.push(guard(key.clone(), h.version));
                txn.apply.push(if left.is_empty() {
                    wire::Change::Delete { key }
                } else {
                    put(key, &HireRecord { machines: Some(left), ..h.record.clone() }, None)
                });
            }
        }
        if !txn.apply.is_empty() {
            if let Ok(Decided::Applied(_)) = self.txn(&txn).await {
                let mut core = self.core.borrow_mut();
                forgotten.iter().for_each(|m| {
                    core.gone.remove(m);
                });
            }
        }
    }

    /// Drops what finished and cancelled jobs have left behind.
    pub(super) async fn sweep(&self, epoch: &wire::Guard, ops: usize) {
        let mut txn = Txn { guards: vec![epoch.clone()], apply: Vec::new() };
        {
            let mut core = self.core.borrow_mut();
            let core = &mut *core;
            let Some(part) = core.part.as_mut() else { return };
            for id in part.stopped_jobs() {
                tracing::info!(job = %id, "job ended");
            }
            let mut add = |key: String, version: u64| {
                if txn.apply.len() < ops {
                    txn.guards.push(guard(key.clone(), version));
                    txn.apply.push(wire::Change::Delete { key });
                }
            };
            for (id, v) in core.mirror.stopping.iter().filter(|(id, _)| !part.has_job(id)) {
                add(store::stopping_key(id), v.version);
            }
            for ((id, chunk), v) in &core.mirror.done {
                if !core.mirror.live.contains_key(id) && !core.mirror.stopping.contains_key(id) {
                    add(store::done_key(id, *chunk), v.version);
                }
            }
        }
        if !txn.apply.is_empty() {
            let _ = self.txn(&txn).await;
        }
    }
}
