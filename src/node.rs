//! A controller: the actor that joins the pure parts to the state service, the cloud, the workers and the users.

use crate::cloud::{CloudClient, Rented, RELEASE_MOST};
use crate::config::Settings;
use crate::fleet::{Fleet, Offer};
use crate::leader::{Leadership, Right, Role, Turn};
use crate::part::{MachineState, Params, Part, Taken};
use crate::peer::{self, View};
use crate::protocol::{
    self as wire, JobSpec, JobState, JobView, Kind, MachineType, RentRequest, Report, ReportReply, Txn,
};
use crate::store::{
    self, guard, put, Decided, HireRecord, LeaderRecord, LiveRecord, Mirror, OverRecord, Seen, StoreClient, StoreError,
};
use crate::worker;
use actix::prelude::*;
use rand::Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, watch, Notify};

/// A user submits a job.
#[derive(Message)]
#[rtype(result = "Answer")]
pub struct Submit(pub JobSpec);
/// A user asks about a job.
#[derive(Message)]
#[rtype(result = "Answer")]
pub struct Poll(pub String);
/// A user cancels a job.
#[derive(Message)]
#[rtype(result = "Answer")]
pub struct Abort(pub String);
/// A health check.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Health;
/// A worker reports.
#[derive(Message)]
#[rtype(result = "WorkerAnswer")]
pub struct WorkerReport(pub Report);
/// Another controller tells its view.
#[derive(Message)]
#[rtype(result = "View")]
pub struct PeerView(pub View);

/// What a user is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A job's state, with the status.
    Job(u16, JobView),
    /// Never accepted.
    Unknown,
    /// Can never run.
    Never(&'static str),
    /// Ask again.
    Later,
}

/// What a worker is told.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerAnswer {
    /// Commands.
    Reply(ReportReply),
    /// Another node is in charge.
    Elsewhere(Option<String>),
    /// Nobody is known to be.
    Later,
}

/// What the loops share; borrowed for short moments only, never across a wait.
struct Core {
    settings: Settings,
    begun: Instant,
    me: LeaderRecord,
    mirror: Mirror,
    lead: Leadership,
    part: Option<Part>,
    fleet: Fleet,
    types: Vec<MachineType>,
    counts: HashMap<String, (u32, u32)>,
    peers_ok: HashMap<String, (u64, bool)>,
    newest_epoch: u64,
    state_ok_at: u64,
    no_campaign_until: u64,
    leads_since: u64,
    released: HashMap<String, u64>,
    gone: HashSet<String>,
    strangers: BTreeMap<String, (String, String, bool)>,
    hires: u64,
    readers: Vec<oneshot::Sender<u64>>,
}

impl Core {
    fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64 + 1000
    }

    fn wall(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
    }

    fn right(&self) -> Right {
        self.lead.right(self.now())
    }

    /// Number, version of the epoch key and hold, while leading.
    fn reign(&self) -> Option<(u64, u64, u64)> {
        match *self.lead.role() {
            Role::Leading { epoch, version, hold } => Some((epoch, version, hold)),
            _ => None,
        }
    }

    fn turn(&mut self, turn: Turn) {
        if self.lead.turn(turn) && self.reign().is_none() {
            self.part = None;
            self.strangers.clear();
            self.gone.clear();
        }
    }

    fn take_types(&mut self, types: &[MachineType]) {
        self.types = types.to_vec();
        if let Some(p) = &mut self.part {
            p.set_types(types);
        }
    }

    fn seen(&mut self, seen: Vec<Seen>, retry: &Notify) {
        let wall = self.wall();
        let now = self.now();
        for s in seen {
            match s {
                Seen::Job(id) => {
                    let (Some(part), Some(v)) = (self.part.as_mut(), self.mirror.live.get(&id)) else { continue };
                    part.at(now);
                    let done = done_rows(&self.mirror, &id);
                    part.add_job(v.record.clone(), v.version, &done, wall, false);
                }
                Seen::JobGone(id) => {
                    self.counts.remove(&id);
                    if let Some(part) = self.part.as_mut() {
                        part.at(now);
                        part.drop_job(&id);
                    }
                }
                Seen::LeaderGone => retry.notify_one(),
                Seen::Catalogue => {
                    if let Some(c) = &self.mirror.catalogue {
                        let types = c.record.clone();
                        self.take_types(&types);
                    }
                }
            }
        }
        let number = self.mirror.epoch.as_ref().map_or(0, |e| e.record.number);
        self.newest_epoch = self.newest_epoch.max(number);
        if self.reign().is_some_and(|(epoch, ..)| self.newest_epoch > epoch) {
            self.turn(Turn::Ended);
        }
    }

    /// Builds the part of a new epoch from the store.
    fn rebuild(&mut self, epoch: u64, version: u64) {
        let (now, wall) = (self.now(), self.wall());
        let mut part = Part::new(Params::new(&self.settings), epoch, version, now);
        part.set_types(&self.types);
        for (name, h) in &self.mirror.hires {
            let h = &h.record;
            for machine in h.machines.iter().flatten() {
                let address = h.up.iter().find(|(m, _)| m == machine).map(|(_, a)| a.as_str());
                part.add_machine(machine, name, (&h.machine_type, &h.zone, h.spot), address);
            }
        }
        for (id, v) in &self.mirror.live {
            part.add_job(v.record.clone(), v.version, &done_rows(&self.mirror, id), wall, false);
        }
        for (id, v) in &self.mirror.stopping {
            part.add_job(v.record.clone(), v.version, &done_rows(&self.mirror, id), wall, true);
        }
        self.leads_since = now;
        tracing::info!(epoch, jobs = self.mirror.live.len(), hires = self.mirror.hires.len(), "epoch begins");
        self.part = Some(part);
    }

    fn view(&self, id: &str) -> Option<JobView> {
        if let Some(over) = self.mirror.over(id) {
            return Some(over_view(id, over));
        }
        let counts = self.part.as_ref().and_then(|p| p.counts(id)).or(self.counts.get(id).copied());
        self.mirror.live.get(id)?;
        let (done, running) = counts.unwrap_or_default();
        let state = if running > 0 { JobState::Running } else { JobState::Queued };
        Some(JobView { id: id.into(), state, done: Some(done), running: Some(running) })
    }

    fn own_view(&self) -> View {
        let counts = self.part.as_ref().filter(|_| self.right() != Right::None).map(|p| p.all_counts());
        View { node: self.me.node.clone(), epoch: self.newest_epoch, state_ok: self.state_ok(), counts }
    }

    fn state_ok(&self) -> bool {
        self.now() < self.state_ok_at + 2500
    }

    fn take_view(&mut self, v: View) {
        let now = self.now();
        if v.epoch > self.newest_epoch {
            self.newest_epoch = v.epoch;
        }
        if self.reign().is_some_and(|(epoch, ..)| self.newest_epoch > epoch) {
            self.turn(Turn::Ended);
        }
        if let Some(counts) = v.counts.filter(|_| self.part.is_none() && v.epoch >= self.newest_epoch) {
            self.counts = counts.into_iter().map(|(id, done, running)| (id, (done, running))).collect();
        }
        self.peers_ok.insert(v.node, (now, v.state_ok));
    }

    /// Whether this node should get users: it is loaded, and if the state service refuses it, then not it alone.
    fn healthy(&self) -> bool {
        let now = self.now();
        let other_ok = self.peers_ok.values().any(|(at, ok)| *ok && now < at + 3000);
        self.mirror.loaded && !self.types.is_empty() && (self.state_ok() || !other_ok)
    }

    fn report(&mut self, r: &Report) -> WorkerAnswer {
        let now = self.now();
        let right = self.right();
        let leader = self.mirror.leader.as_ref().map(|l| l.record.node.clone());
        let elsewhere = |l: Option<String>, me: &str| match l.filter(|l| l != me) {
            Some(l) => WorkerAnswer::Elsewhere(Some(l)),
            None => WorkerAnswer::Later,
        };
        if right == Right::None {
            return elsewhere(leader, &self.me.node);
        }
        let Some(part) = self.part.as_mut() else { return WorkerAnswer::Later };
        part.at(now);
        match part.report(r, true, right == Right::Full) {
            Taken::Reply(reply) => WorkerAnswer::Reply(reply),
            Taken::Superseded => {
                self.turn(Turn::Ended);
                WorkerAnswer::Later
            }
            Taken::Stranger => {
                if !self.released.contains_key(&r.machine) && self.strangers.len() < 1000 {
                    let of = (r.machine_type.clone(), r.zone.clone(), r.spot);
                    self.strangers.insert(r.machine.clone(), of);
                }
                WorkerAnswer::Later
            }
        }
    }

    /// The checks behind a 422.
    fn impossible(&self, s: &JobSpec) -> Option<&'static str> {
        let Some(team) = self.settings.platform.deployment.teams.iter().find(|t| t.name == s.team) else {
            return Some("unknown team");
        };
        let fits = self.types.iter().any(|t| {
            s.types.as_ref().is_none_or(|l| l.contains(&t.name))
                && s.zone.as_ref().is_none_or(|z| t.zones.contains(z))
                && s.cpus <= t.cpus
                && s.gpus <= t.gpus
                && s.memory_gb <= t.memory_gb
        });
        if !fits {
            return Some("no allowed machine type is large enough");
        }
        let at_once = if s.kind == Kind::Array { 1.0 } else { s.tasks as f64 };
        let over = |each: f64, most: f64| most > 0.0 && each * at_once > most + 1e-9;
        (over(s.cpus, team.cpus_max) || over(s.gpus, team.gpus_max)).then_some("more than the team's limit")
    }
}

fn done_rows(mirror: &Mirror, job: &str) -> Vec<(u32, Vec<u8>)> {
    let from = (job.to_string(), 0);
    let rows = mirror.done.range(from..).take_while(|((j, _), _)| j == job);
    rows.map(|((_, chunk), v)| (*chunk, v.record.clone())).collect()
}

fn over_view(id: &str, over: OverRecord) -> JobView {
    let (state, done) = if over.cancelled { (JobState::Cancelled, 0) } else { (JobState::Done, over.tasks) };
    JobView { id: id.into(), state, done: Some(done), running: Some(0) }
}

/// The handles that the loops share.
#[derive(Clone)]
struct Shared {
    core: Rc<RefCell<Core>>,
    store: StoreClient,
    cloud: CloudClient,
    http: awc::Client,
    revision: Rc<watch::Sender<u64>>,
    campaign: Rc<Notify>,
    reading: Rc<Notify>,
    /// Something may have to be placed or sent at once.
    urgent: Rc<Notify>,
}

fn pause(ms: u64) -> tokio::time::Sleep {
    tokio::time::sleep(Duration::from_millis(ms))
}

impl Shared {
    /// Notes whether the state service answers.
    fn noted<T>(&self, r: Result<T, StoreError>) -> Result<T, StoreError> {
        if matches!(r, Ok(_) | Err(StoreError::Gone | StoreError::Busy)) {
            let mut core = self.core.borrow_mut();
            core.state_ok_at = core.now();
        }
        r
    }

    /// Runs a transaction; over the rate, tries again for a moment.
    async fn txn(&self, txn: &Txn) -> Result<Decided, StoreError> {
        let mut tries = 0;
        loop {
            let r = self.noted(self.store.txn(txn).await);
            if r != Err(StoreError::Busy) || tries == 6 {
                return r;
            }
            tries += 1;
            pause(rand::thread_rng().gen_range(40..160)).await;
        }
    }

    // ---- the mirror ----

    async fn sync(self) {
        let (rps, nodes) = {
            let c = self.core.borrow();
            (c.settings.platform.deployment.state.rps, c.settings.platform.peers.len() + 1)
        };
        // A quarter of the request budget goes to watches, shared among the nodes.
        let pace = ((4000.0 * nodes as f64 / rps) as u64).clamp(20, 1000);
        let mut loaded = false;
        loop {
            if !loaded {
                match self.noted(self.store.load().await) {
                    Ok(fresh) => {
                        let revision = fresh.revision;
                        {
                            let mut core = self.core.borrow_mut();
                            let seen = core.mirror.replace(fresh);
                            core.seen(seen, &self.campaign);
                        }
                        self.revision.send_replace(revision);
                        loaded = true;
                        self.campaign.notify_one();
                    }
                    Err(_) => {
                        pause(300).await;
                        continue;
                    }
                }
            }
            let after = self.core.borrow().mirror.revision;
            match self.noted(self.store.watch(after, 4000).await) {
                Ok(w) => {
                    let quiet = w.events.is_empty();
                    {
                        let mut core = self.core.borrow_mut();
                        let seen = core.mirror.apply(w.revision, &w.events);
                        core.seen(seen, &self.campaign);
                    }
                    self.revision.send_replace(w.revision);
                    self.urgent.notify_one();
                    if !quiet {
                        pause(pace).await;
                    }
                }
                Err(StoreError::Gone) => {
                    tracing::info!("watch too old, reading everything again");
                    loaded = false;
                }
                Err(_) => pause(250).await,
            }
        }
    }

    /// Answers readers: one compare-only transaction gives the revision that their answers must have reached.
    async fn read_barrier(self) {
        loop {
            self.reading.notified().await;
            pause(40).await;
            let (readers, txn) = {
                let mut core = self.core.borrow_mut();
                let version = core.mirror.epoch.as_ref().map_or(0, |e| e.version);
                let txn = Txn { guards: vec![guard(store::epoch_key(), version)], apply: Vec::new() };
                (std::mem::take(&mut core.readers), txn)
            };
            if readers.is_empty() {
                continue;
            }
            let http = self.clone();
            actix::spawn(async move {
                if let Ok(revision) = http.noted(http.store.barrier(&txn).await) {
                    readers.into_iter().for_each(|r| {
                        let _ = r.send(revision);
                    });
                }
            });
            pause(60).await;
        }
    }

    /// Waits until the mirror is at least as new as this moment.
    async fn current(&self) -> bool {
        let (tx, rx) = oneshot::channel();
        self.core.borrow_mut().readers.push(tx);
        self.reading.notify_one();
        let wait = async {
            let revision = rx.await.ok()?;
            let mut seen = self.revision.subscribe();
            seen.wait_for(|r| *r >= revision).await.ok()?;
            Some(())
        };
        matches!(tokio::time::timeout(Duration::from_millis(1500), wait).await, Ok(Some(())))
    }

    // ---- users ----

    /// A final state read from the store; `Gone` if there is none.
    async fn read_over(&self, id: &str) -> Result<OverRecord, StoreError> {
        if let Some(r) = self.core.borrow().mirror.over(id) {
            return Ok(r);
        }
        let read = self.noted(self.store.get::<OverRecord>(&store::over_key(id)).await)?;
        self.core.borrow_mut().mirror.remember_over(id, read.record);
        Ok(read.record)
    }

    async fn poll(self, id: String) -> Answer {
        if let Some(over) = self.core.borrow().mirror.over(&id) {
            return Answer::Job(200, over_view(&id, over));
        }
        if !self.current().await {
            return Answer::Later;
        }
        if let Some(view) = self.core.borrow().view(&id) {
            return Answer::Job(200, view);
        }
        match self.read_over(&id).await {
            Ok(over) => Answer::Job(200, over_view(&id, over)),
            Err(StoreError::Gone) => Answer::Unknown,
            Err(_) => Answer::Later,
        }
    }

    async fn submit(self, spec: JobSpec) -> Answer {
        let id = spec.id.clone();
        if let Some(over) = self.core.borrow().mirror.over(&id) {
            return Answer::Job(200, over_view(&id, over));
        }
        let (known, ready, never, at_ms) = {
            let core = self.core.borrow();
            let ready = core.mirror.loaded && !core.types.is_empty();
            (core.mirror.live.contains_key(&id), ready, core.impossible(&spec), core.wall())
        };
        if !known {
            if !ready {
                return Answer::Later;
            }
            if let Some(why) = never {
                // A job accepted once stays accepted, whatever the machine types are now.
                return match self.clone().poll(id).await {
                    Answer::Unknown => Answer::Never(why),
                    other => other,
                };
            }
        }
        let txn = store::submit_txn(&id, &LiveRecord { spec, at_ms });
        let queued = JobView { id: id.clone(), state: JobState::Queued, done: Some(0), running: Some(0) };
        match self.txn(&txn).await {
            Ok(Decided::Applied(_)) => Answer::Job(201, queued),
            Ok(Decided::Failed(keys)) if keys.contains(&store::over_key(&id)) => match self.read_over(&id).await {
                Ok(over) => Answer::Job(200, over_view(&id, over)),
                Err(_) => Answer::Later,
            },
            Ok(Decided::Failed(_)) => {
                let core = self.core.borrow();
                match core.mirror.live.contains_key(&id) {
                    true => Answer::Job(200, core.view(&id).unwrap_or(queued)),
                    false => Answer::Job(200, queued),
                }
            }
            // Read back what an unanswered transaction did.
            Err(StoreError::Unknown) => match self.noted(self.store.get::<LiveRecord>(&store::live_key(&id)).await) {
                Ok(_) => Answer::Job(200, queued),
                Err(_) => Answer::Later,
            },
            Err(_) => Answer::Later,
        }
    }

    async fn abort(self, id: String) -> Answer {
        for _ in 0..3 {
            if let Some(over) = self.core.borrow().mirror.over(&id) {
                return Answer::Job(200, over_view(&id, over));
            }
            let live = self.core.borrow().mirror.live.get(&id).cloned();
            let Some(live) = live else {
                match self.clone().poll(id.clone()).await {
                    Answer::Job(..) if self.core.borrow().mirror.live.contains_key(&id) => continue,
                    other => return other,
                }
            };
            let over = OverRecord { cancelled: true, tasks: live.record.spec.tasks };
            let txn = store::abort_txn(&id, &live);
            match self.txn(&txn).await {
                Ok(Decided::Applied(_)) => {
                    self.core.borrow_mut().mirror.remember_over(&id, over);
                    return Answer::Job(200, over_view(&id, over));
                }
                Ok(Decided::Failed(_)) | Err(StoreError::Unknown) => match self.read_over(&id).await {
                    Ok(over) => return Answer::Job(200, over_view(&id, over)),
                    Err(StoreError::Gone) => pause(100).await,
                    Err(_) => return Answer::Later,
                },
                Err(_) => return Answer::Later,
            }
        }
        Answer::Later
    }

    // ---- leadership ----

    async fn leadership(self) {
        let ttl = (self.core.borrow().settings.operator.hold_s * 1000.0) as u64;
        loop {
            let step = (ttl / 5).min(500);
            let _ = tokio::time::timeout(Duration::from_millis(step), self.campaign.notified()).await;
            let (reign, sent, free) = {
                let core = self.core.borrow();
                let now = core.now();
                let free = core.mirror.loaded && core.mirror.leader.is_none() && now >= core.no_campaign_until;
                (core.reign(), now, free)
            };
            if let Some((_, _, hold)) = reign {
                let within = Duration::from_millis((ttl / 2).min(1000));
                let renewed = self.noted(self.store.renew(hold, within).await);
                let mut core = self.core.borrow_mut();
                match renewed {
                    Ok(()) => core.turn(Turn::Renewed(sent)),
                    Err(StoreError::Gone) => core.turn(Turn::Ended),
                    Err(_) if core.right() == Right::None => core.turn(Turn::Ended),
                    Err(_) => {}
                }
            } else if free {
                pause(rand::thread_rng().gen_range(0..60)).await;
                if self.core.borrow().mirror.leader.is_none() {
                    self.run_for_leader(ttl).await;
                }
            }
        }
    }

    async fn run_for_leader(&self, ttl: u64) {
        let sent = {
            let mut core = self.core.borrow_mut();
            core.turn(Turn::Campaign);
            core.now()
        };
        let won = match self.noted(self.store.open_hold(ttl).await) {
            Ok(hold) => self.claim(hold, sent).await,
            Err(_) => None,
        };
        let Some((epoch, version, hold)) = won else {
            self.core.borrow_mut().turn(Turn::Lost);
            pause(100).await;
            return;
        };
        self.core.borrow_mut().turn(Turn::Won { epoch, version, hold, sent });
        // The mirror must have reached the epoch before anything is built on it.
        let mut seen = self.revision.subscribe();
        let wait = tokio::time::timeout(Duration::from_millis(ttl * 3 / 4), seen.wait_for(|r| *r >= version)).await;
        let mut core = self.core.borrow_mut();
        match wait {
            Ok(Ok(_)) if core.reign().is_some() => core.rebuild(epoch, version),
            _ => core.turn(Turn::Ended),
        }
    }

    /// Claims leadership under a hold: the epoch's number and version.
    async fn claim(&self, hold: u64, _sent: u64) -> Option<(u64, u64, u64)> {
        let (me, number, version) = {
            let core = self.core.borrow();
            let epoch = core.mirror.epoch.as_ref();
            (core.me.clone(), epoch.map_or(0, |e| e.record.number) + 1, epoch.map_or(0, |e| e.version))
        };
        let record = store::EpochRecord { number, leader: me.clone(), members: vec![me.clone()] };
        let txn = Txn {
            guards: vec![guard(store::leader_key(), 0), guard(store::epoch_key(), version)],
            apply: vec![put(store::leader_key(), &me, Some(hold)), put(store::epoch_key(), &record, None)],
        };
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

    // ---- the leader's work ----

    async fn ticks(self) {
        loop {
            let _ = tokio::time::timeout(Duration::from_millis(100), self.urgent.notified()).await;
            let sends = {
                let mut core = self.core.borrow_mut();
                let now = core.now();
                let right = core.right();
                let direct = core.settings.operator.direct_starts;
                let Some(part) = core.part.as_mut() else { continue };
                part.tick(now);
                if right != Right::Full {
                    continue;
                }
                part.place();
                let mut sends = part.probes(12);
                if direct {
                    sends.extend(part.direct(12));
                }
                sends
            };
            for d in sends {
                let me = self.clone();
                let epoch = self.core.borrow().reign();
                actix::spawn(async move {
                    let answer = worker::send_direct(&me.http, &d).await;
                    let mut core = me.core.borrow_mut();
                    // An answer for an earlier epoch means nothing to this one.
                    if core.reign() == epoch {
                        let now = core.now();
                        if let Some(part) = core.part.as_mut() {
                            part.at(now);
                            part.direct_answer(&d, answer.as_ref());
                            me.urgent.notify_one();
                        }
                    }
                });
            }
        }
    }

    /// Makes results durable and clears up, in batches.
    async fn flush(self) {
        loop {
            pause(250).await;
            let (version, ops) = {
                let core = self.core.borrow();
                match core.reign() {
                    Some((_, version, _)) if core.right() == Right::Full && core.part.is_some() => {
                        (version, core.settings.platform.deployment.state.txn_ops)
                    }
                    _ => continue,
                }
            };
            let epoch = guard(store::epoch_key(), version);
            self.flush_machines(&epoch, ops).await;
            self.flush_complete(&epoch).await;
            self.flush_ranges(&epoch, ops).await;
            self.sweep(&epoch, ops).await;
        }
    }

    async fn flush_complete(&self, epoch: &wire::Guard) {
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

    async fn flush_ranges(&self, epoch: &wire::Guard, ops: usize) {
        let rows = self.core.borrow().part.as_ref().map(|p| p.unsaved(ops.min(16))).unwrap_or_default();
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

    /// Records machines that have come up, and forgets those that are gone.
    async fn flush_machines(&self, epoch: &wire::Guard, ops: usize) {
        let (mut txn, mut up) = (Txn { guards: vec![epoch.clone()], apply: Vec::new() }, Vec::new());
        {
            let core = self.core.borrow();
            let Some(part) = core.part.as_ref() else { return };
            let fresh = part.unrecorded();
            for (name, h) in &core.mirror.hires {
                let Some(machines) = &h.record.machines else { continue };
                let gone = machines.iter().any(|m| core.gone.contains(m)) || machines.is_empty();
                let new: Vec<_> = fresh.iter().filter(|(m, hire, _)| hire == name && machines.contains(m)).collect();
                if (!gone && new.is_empty()) || txn.apply.len() >= ops {
                    continue;
                }
                let mut record = h.record.clone();
                let left: Vec<String> = machines.iter().filter(|m| !core.gone.contains(*m)).cloned().collect();
                for (m, _, address) in new {
                    record.up.retain(|(known, _)| known != m);
                    record.up.push((m.clone(), address.clone()));
                    up.push(m.clone());
                }
                record.up.retain(|(m, _)| left.contains(m));
                let key = store::hire_key(name);
                txn.guards.push(guard(key.clone(), h.version));
                txn.apply.push(if left.is_empty() {
                    wire::Change::Delete { key }
                } else {
                    record.machines = Some(left);
                    put(key, &record, None)
                });
            }
        }
        if txn.apply.is_empty() {
            return;
        }
        if let Ok(Decided::Applied(_)) = self.txn(&txn).await {
            let mut core = self.core.borrow_mut();
            if let Some(p) = core.part.as_mut() {
                up.iter().for_each(|m| p.recorded(m));
            }
        }
    }

    /// Drops what finished and cancelled jobs have left behind.
    async fn sweep(&self, epoch: &wire::Guard, ops: usize) {
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

    // ---- the fleet ----

    async fn fleet(self) {
        let (gap, list_ms) = {
            let c = &self.core.borrow().settings.platform.deployment.cloud;
            ((1000.0 / c.rps) as u64 + 50, ((c.list_lag_s * 500.0) as u64).max(4000))
        };
        let (mut types_at, mut list_at) = (None::<u64>, 0);
        loop {
            pause(200).await;
            let now = self.core.borrow().now();
            let (leads, typeless) = {
                let core = self.core.borrow();
                (core.reign().is_some() && core.right() == Right::Full && core.part.is_some(), core.types.is_empty())
            };
            if (leads || typeless) && types_at.is_none_or(|t| now > t + if typeless { 1000 } else { 20_000 }) {
                types_at = Some(now);
                if let Some(types) = self.cloud.catalogue().await {
                    self.core.borrow_mut().take_types(&types);
                    self.store_types(types).await;
                }
                pause(gap).await;
            }
            if !leads {
                continue;
            }
            self.adopt().await;
            if self.release().await {
                pause(gap).await;
            }
            if now > list_at + list_ms {
                list_at = now;
                self.list(gap).await;
            }
            let open = self.settle_hires(gap).await;
            for (offer, count) in self.decide() {
                // While the answer to a request is unknown, its machines may be on their way.
                if !open && self.hire(offer, count).await {
                    pause(gap).await;
                } else {
                    break;
                }
            }
        }
    }

    /// Keeps the machine types in the store, so that a node that starts while the cloud is down knows them.
    async fn store_types(&self, types: Vec<MachineType>) {
        let (guards, same) = {
            let core = self.core.borrow();
            let Some((_, epoch, _)) = core.reign() else { return };
            let old = core.mirror.catalogue.as_ref();
            let shape = |l: &[MachineType]| {
                l.iter().map(|t| (t.name.clone(), t.cpus as u64, t.zones.clone())).collect::<Vec<_>>()
            };
            let same = old.is_some_and(|c| shape(&c.record) == shape(&types));
            let version = old.map_or(0, |c| c.version);
            (vec![guard(store::epoch_key(), epoch), guard(store::catalogue_key(), version)], same)
        };
        if !same {
            let _ = self.txn(&Txn { guards, apply: vec![put(store::catalogue_key(), &types, None)] }).await;
        }
    }

    /// What to rent and what to return.
    fn decide(&self) -> Vec<(Offer, u32)> {
        let mut core = self.core.borrow_mut();
        // The calls before this one may have taken seconds: a leader cut off meanwhile once gave up machines that its
        // heir was using.
        if core.right() != Right::Full {
            return Vec::new();
        }
        let core = &mut *core;
        let now = core.begun.elapsed().as_millis() as u64 + 1000;
        let w = &core.settings.platform.deployment.workers;
        // Long enough for two probes; a machine silent for longer rarely comes back within its lease.
        let silent_ms = ((2.0 * w.report_s + 2.0).max(0.4 * w.lease_s) * 1000.0) as u64;
        let idle_ms = (core.settings.operator.idle_return_s * 1000.0) as u64;
        let Some(part) = core.part.as_mut() else { return Vec::new() };
        part.at(now);
        let (silent, all) = part.silent(silent_ms);
        // When most are silent at once, it is more likely this node that cannot hear.
        if silent.len() * 2 <= all || all <= 2 {
            for i in silent {
                part.enter(i, MachineState::Releasing, "silent");
            }
        } else if silent.len() == all && !core.settings.platform.peers.is_empty() {
            tracing::info!(all, "hears no worker, gives leadership up");
            if let Some((_, _, hold)) = core.reign() {
                let store = self.store.clone();
                actix::spawn(async move { store.close_hold(hold).await });
            }
            core.no_campaign_until = now + 15_000;
            core.turn(Turn::Ended);
            return Vec::new();
        }
        let needs = part.look_ahead(true);
        let wanted: u32 = needs.iter().map(|n| n.tasks).sum();
        let pending: u32 = part.jobs().map(|j| j.pending()).sum();
        let used: u64 = part.loads().iter().map(|l| l.used).sum();
        let cpus: u64 = part.loads().iter().map(|l| l.cpus).sum();
        tracing::debug!(pending, wanted, used, cpus, "look ahead");
        let boot_s = part.types().iter().map(|t| t.boot_s).fold(f64::INFINITY, f64::min).min(600.0);
        core.fleet.surplus(part, &needs, idle_ms + (boot_s * 1000.0) as u64, now);
        core.fleet.returns(part, idle_ms, now);
        core.fleet.wishes(part, &needs, now).into_iter().map(|w| (w.offer, w.count)).collect()
    }

    async fn release(&self) -> bool {
        let names: Vec<String> = {
            let core = self.core.borrow();
            if core.right() != Right::Full {
                return false;
            }
            let Some(part) = core.part.as_ref() else { return false };
            let leaving = part.machines().filter(|(_, m)| m.state == MachineState::Releasing);
            leaving.map(|(_, m)| m.name.clone()).take(RELEASE_MOST).collect()
        };
        if names.is_empty() {
            return false;
        }
        let ok = self.cloud.release(&names).await;
        let mut core = self.core.borrow_mut();
        if ok {
            tracing::info!(machines = ?names, "released");
            let now = core.now();
            core.released.retain(|_, at| now < *at + 600_000);
            for n in names {
                core.released.insert(n.clone(), now);
                if let Some(part) = core.part.as_mut() {
                    part.machine_gone(&n);
                }
                core.gone.insert(n);
            }
        } else {
            tracing::info!(machines = ?names, "release not confirmed");
        }
        true
    }

    /// Takes machines that nobody expected into the store, so that they are used or returned.
    async fn adopt(&self) {
        let (strangers, epoch) = {
            let mut core = self.core.borrow_mut();
            let Some((_, version, _)) = core.reign() else { return };
            (std::mem::take(&mut core.strangers), version)
        };
        for (machine, (machine_type, zone, spot)) in strangers {
            let known = {
                let core = self.core.borrow();
                let open = core.mirror.hires.values().any(|h| {
                    h.record.machines.is_none() && h.record.machine_type == machine_type && h.record.zone == zone
                });
                open || core.part.as_ref().is_none_or(|p| p.knows(&machine))
            };
            if known {
                continue;
            }
            let name = format!("found-{machine}");
            let record = HireRecord {
                machine_type,
                zone,
                spot,
                count: 1,
                machines: Some(vec![machine.clone()]),
                up: Vec::new(),
            };
            let txn = store::hire_txn(&guard(store::epoch_key(), epoch), &name, 0, &record);
            if let Ok(Decided::Applied(_)) = self.txn(&txn).await {
                tracing::info!(%machine, "unexpected machine taken in");
                self.add_machines(&name, &record);
            }
        }
    }

    fn add_machines(&self, hire: &str, r: &HireRecord) {
        let mut core = self.core.borrow_mut();
        let now = core.now();
        let Some(part) = core.part.as_mut() else { return };
        part.at(now);
        for m in r.machines.iter().flatten() {
            part.add_machine(m, hire, (&r.machine_type, &r.zone, r.spot), None);
        }
    }

    async fn list(&self, gap: u64) {
        let mut after = String::new();
        for _ in 0..50 {
            let Some((machines, more)) = self.cloud.list(&after).await else { return };
            pause(gap).await;
            let mut core = self.core.borrow_mut();
            let core = &mut *core;
            // The list may still show what an earlier leader has released: an heir once took such machines in and counted
            // on them for a minute. Workers that report are taken in at once.
            let lag_ms = (core.settings.platform.deployment.cloud.list_lag_s * 2000.0) as u64 + 2000;
            let settled = core.begun.elapsed().as_millis() as u64 > core.leads_since + lag_ms;
            let Some(part) = core.part.as_mut() else { return };
            after = machines.last().map(|m| m.id.clone()).unwrap_or_default();
            let known: HashMap<String, usize> = part.machines().map(|(i, m)| (m.name.clone(), i)).collect();
            for m in machines {
                match known.get(&m.id) {
                    Some(i) if m.state == "failed" => part.enter(*i, MachineState::Releasing, "failed"),
                    Some(_) => {}
                    None if !settled || core.released.contains_key(&m.id) || core.strangers.len() > 1000 => {}
                    None => {
                        core.strangers.insert(m.id, (m.machine_type, m.zone, m.spot));
                    }
                }
            }
            if !more || after.is_empty() {
                return;
            }
        }
    }

    /// Repeats rental requests whose answer is not known; true while some remain.
    async fn settle_hires(&self, gap: u64) -> bool {
        let open: Vec<(String, HireRecord, u64)> = {
            let core = self.core.borrow();
            let unknown = core.mirror.hires.iter().filter(|(_, h)| h.record.machines.is_none());
            unknown.map(|(n, h)| (n.clone(), h.record.clone(), h.version)).collect()
        };
        let mut left = false;
        for (name, record, version) in open {
            left |= !self.call_hire(&name, record, version).await;
            pause(gap).await;
        }
        left
    }

    /// Rents: the request's name is stored before the call.
    async fn hire(&self, offer: Offer, count: u32) -> bool {
        let (name, record, epoch) = {
            let mut core = self.core.borrow_mut();
            core.hires += 1;
            let Some((_, epoch, _)) = core.reign() else { return false };
            let Some(part) = core.part.as_ref() else { return false };
            let record = HireRecord {
                machine_type: part.types()[offer.0].name.clone(),
                zone: part.zone_name(offer.1).to_string(),
                spot: offer.2,
                count,
                machines: None,
                up: Vec::new(),
            };
            (format!("{}-{:x}-{}", core.me.node, core.me.incarnation, core.hires), record, epoch)
        };
        match self.txn(&store::hire_txn(&guard(store::epoch_key(), epoch), &name, 0, &record)).await {
            Ok(Decided::Applied(version)) => self.call_hire(&name, record, version).await,
            _ => false,
        }
    }

    /// Calls the cloud for a stored request. True if its fate is known and stored.
    async fn call_hire(&self, name: &str, mut record: HireRecord, version: u64) -> bool {
        let Some((_, epoch, _)) = self.core.borrow().reign() else { return false };
        if self.core.borrow().right() != Right::Full {
            return false;
        }
        let request = RentRequest {
            request: name.to_string(),
            machine_type: record.machine_type.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            count: record.count,
        };
        let rented = self.cloud.rent(&request).await;
        tracing::info!(hire = name, kind = %record.machine_type, zone = %record.zone, spot = record.spot, count = record.count, ?rented, "rental");
        let got = match rented {
            Rented::Machines(m) => m,
            Rented::NoCapacity => Vec::new(),
            Rented::Refused | Rented::Unknown => return false,
        };
        self.note_offer(&record, got.len());
        record.machines = Some(got);
        match self.txn(&store::hire_txn(&guard(store::epoch_key(), epoch), name, version, &record)).await {
            Ok(Decided::Applied(_)) => {
                self.add_machines(name, &record);
                true
            }
            _ => false,
        }
    }

    fn note_offer(&self, r: &HireRecord, got: usize) {
        let mut core = self.core.borrow_mut();
        let now = core.now();
        let core = &mut *core;
        let Some(part) = core.part.as_ref() else { return };
        let kind = part.types().iter().position(|t| t.name == r.machine_type);
        let (Some(kind), Some(zone)) = (kind, part.zone_index(&r.zone)) else { return };
        let offer = (kind, zone, r.spot);
        if got < r.count as usize {
            core.fleet.refused(offer, now);
        } else {
            core.fleet.filled(offer);
        }
    }

    // ---- peers ----

    async fn peers(self) {
        let peers = self.core.borrow().settings.platform.peers.clone();
        loop {
            pause(900).await;
            for p in &peers {
                let me = self.clone();
                let (addr, own) = (p.peer_addr, View { counts: None, ..self.core.borrow().own_view() });
                actix::spawn(async move {
                    if let Some(v) = peer::ask(&me.http, addr, &own).await {
                        me.core.borrow_mut().take_view(v);
                    }
                });
            }
        }
    }
}

/// The actor.
pub struct Node {
    shared: Shared,
}

impl Node {
    /// A node that has yet to be started.
    fn new(settings: Settings) -> Node {
        let connections = (settings.platform.deployment.machine_limits.max_connections / 8).clamp(8, 100);
        let http = worker::http_client(connections);
        let me =
            LeaderRecord { node: settings.platform.node.clone(), incarnation: rand::thread_rng().gen::<u64>() >> 1 };
        let ttl = (settings.operator.hold_s * 1000.0) as u64;
        let external = settings.platform.external.clone();
        let core = Core {
            lead: Leadership::new(ttl, settings.ride_ms()),
            settings,
            begun: Instant::now(),
            me,
            mirror: Mirror::default(),
            part: None,
            fleet: Fleet::default(),
            types: Vec::new(),
            counts: HashMap::new(),
            peers_ok: HashMap::new(),
            newest_epoch: 0,
            state_ok_at: 0,
            no_campaign_until: 0,
            leads_since: 0,
            released: HashMap::new(),
            gone: HashSet::new(),
            strangers: BTreeMap::new(),
            hires: 0,
            readers: Vec::new(),
        };
        let shared = Shared {
            core: Rc::new(RefCell::new(core)),
            store: StoreClient::new(http.clone(), external.state),
            cloud: CloudClient::new(http.clone(), external.cloud),
            http,
            revision: Rc::new(watch::channel(0).0),
            campaign: Rc::new(Notify::new()),
            reading: Rc::new(Notify::new()),
            urgent: Rc::new(Notify::new()),
        };
        Node { shared }
    }
}

impl Actor for Node {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        let s = &self.shared;
        actix::spawn(s.clone().sync());
        actix::spawn(s.clone().read_barrier());
        actix::spawn(s.clone().leadership());
        actix::spawn(s.clone().ticks());
        actix::spawn(s.clone().flush());
        actix::spawn(s.clone().fleet());
        actix::spawn(s.clone().peers());
    }
}

impl Handler<Submit> for Node {
    type Result = ResponseFuture<Answer>;
    fn handle(&mut self, m: Submit, _: &mut Self::Context) -> Self::Result {
        Box::pin(self.shared.clone().submit(m.0))
    }
}

impl Handler<Poll> for Node {
    type Result = ResponseFuture<Answer>;
    fn handle(&mut self, m: Poll, _: &mut Self::Context) -> Self::Result {
        Box::pin(self.shared.clone().poll(m.0))
    }
}

impl Handler<Abort> for Node {
    type Result = ResponseFuture<Answer>;
    fn handle(&mut self, m: Abort, _: &mut Self::Context) -> Self::Result {
        Box::pin(self.shared.clone().abort(m.0))
    }
}

impl Handler<Health> for Node {
    type Result = bool;
    fn handle(&mut self, _: Health, _: &mut Self::Context) -> bool {
        self.shared.core.borrow().healthy()
    }
}

impl Handler<WorkerReport> for Node {
    type Result = MessageResult<WorkerReport>;
    fn handle(&mut self, m: WorkerReport, _: &mut Self::Context) -> Self::Result {
        self.shared.urgent.notify_one();
        MessageResult(self.shared.core.borrow_mut().report(&m.0))
    }
}

impl Handler<PeerView> for Node {
    type Result = MessageResult<PeerView>;
    fn handle(&mut self, m: PeerView, _: &mut Self::Context) -> Self::Result {
        let mut core = self.shared.core.borrow_mut();
        core.take_view(m.0);
        MessageResult(core.own_view())
    }
}

/// Runs a controller until its process ends.
pub fn run(settings: Settings) -> std::io::Result<()> {
    let platform = settings.platform.clone();
    let connections = (platform.deployment.machine_limits.max_connections * 7 / 10).max(8);
    actix::System::new().block_on(async move {
        let node = Node::new(settings).start();
        crate::api::serve(node, platform.api_addr, platform.internal_addr, connections).await
    })
}
