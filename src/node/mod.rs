//! A controller: the actor that joins the pure parts to the state service, the cloud, the workers and the users.

mod leading;
mod renting;
mod users;

use crate::cloud::{CloudClient, Rented, RELEASE_MOST};
use crate::config::Settings;
use crate::fleet::{Fleet, Offer};
use crate::leader::{Event, Leadership, Right, Role};
use crate::pacer::Pacer;
use crate::part::{Direct, MachineState, Params, Part, Taken};
use crate::peer::{self, Cancelled, Hints, Others, View};
use crate::protocol::{
    self as wire, JobSpec, JobState, JobView, Kind, MachineType, RentRequest, Report, ReportReply, Txn,
};
use crate::store::{
    self, guard, put, Decided, HireRecord, LeaderRecord, LiveRecord, Mirror, OverRecord, Seen, StoreClient, StoreError,
};
use crate::worker;
use actix::prelude::*;
use futures_util::future::{select, Either};
use rand::Rng;
use std::cell::{Cell, RefCell};
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
/// Another controller tells of cancellations that are durable.
#[derive(Message)]
#[rtype(result = "u64")]
pub struct PeerCancelled(pub Cancelled);

/// What a user is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A job's state, with the status.
    Job(u16, JobView),
    /// Never accepted.
    Unknown,
    /// Can never run.
    Never(&'static str),
    /// Ask again, in so many seconds.
    Later(u32),
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

/// Most machines in no hire that are looked at at a time.
const STRANGERS: usize = 1000;

/// A connection that fails sooner was refused.
const REFUSED_MS: u128 = 500;

/// A machine in no hire.
struct Stranger {
    machine_type: String,
    zone: String,
    spot: bool,
    /// Its worker's address and session, if it is known by a report only: that may be a late copy, long after the
    /// machine was released, so that the worker is asked first.
    ask: Option<(String, u64)>,
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
    others: Others,
    hints: Hints,
    newest_epoch: u64,
    state_ok_at: u64,
    no_campaign_until: u64,
    leads_since: u64,
    /// The epoch before this node's own kept no start log.
    unlogged: bool,
    released: HashMap<String, u64>,
    gone: HashSet<String>,
    strangers: BTreeMap<String, Stranger>,
    hires: u64,
    readers: Vec<oneshot::Sender<u64>>,
    pacer: Pacer,
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
    fn term(&self) -> Option<(u64, u64, u64)> {
        match *self.lead.role() {
            Role::Leading { epoch, version, hold } => Some((epoch, version, hold)),
            _ => None,
        }
    }

    fn free_to_claim(&self) -> bool {
        self.mirror.free_to_claim(&self.me)
    }

    fn lead_event(&mut self, event: Event) {
        if self.lead.apply(event) && self.term().is_none() {
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
                    // Another's word of its cancellation may be here before the mirror has seen it come and go.
                    if self.mirror.over(&id).is_some() {
                        continue;
                    }
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
        if self.term().is_some_and(|(epoch, ..)| self.newest_epoch > epoch) {
            self.lead_event(Event::Ended);
        }
    }

    /// Builds the part of a new epoch from the store.
    fn rebuild(&mut self, epoch: u64) {
        let (now, wall) = (self.now(), self.wall());
        let mut part = Part::new(Params::new(&self.settings), epoch, now);
        part.set_types(&self.types);
        for h in self.mirror.hires.values() {
            let h = &h.record;
            for machine in h.machines.iter().flatten() {
                part.add_machine(machine, (&h.machine_type, &h.zone, h.spot), false);
            }
        }
        for (id, v) in &self.mirror.live {
            let ended = self.mirror.over(id).is_some();
            part.add_job(v.record.clone(), v.version, &done_rows(&self.mirror, id), wall, ended);
        }
        for (id, v) in &self.mirror.stopping {
            part.add_job(v.record.clone(), v.version, &done_rows(&self.mirror, id), wall, true);
        }
        part.inherit(self.mirror.starts.iter().map(|(slot, v)| (*slot, v.version, v.record.as_str())));
        if self.unlogged {
            part.outwait();
        }
        self.leads_since = now;
        let (jobs, hires) = (self.mirror.live.len(), self.mirror.hires.len());
        tracing::info!(epoch, jobs, hires, unsettled = part.unsettled(), "epoch begins");
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
        let (node, revision) = (self.me.node.clone(), self.mirror.revision);
        View { node, epoch: self.newest_epoch, revision, state_ok: self.state_ok(), counts }
    }

    fn state_ok(&self) -> bool {
        self.now() < self.state_ok_at + 2500
    }

    fn take_view(&mut self, v: View) {
        let now = self.now();
        if v.epoch > self.newest_epoch {
            self.newest_epoch = v.epoch;
        }
        if self.term().is_some_and(|(epoch, ..)| self.newest_epoch > epoch) {
            self.lead_event(Event::Ended);
        }
        if let Some(counts) = v.counts.filter(|_| self.part.is_none() && v.epoch >= self.newest_epoch) {
            self.counts = counts.into_iter().map(|(id, done, running)| (id, (done, running))).collect();
        }
        self.hints.acknowledged(&v.node, v.revision);
        self.others.told(v.node, v.state_ok, now);
    }

    /// A cancellation is known to be durable, perhaps sooner than the mirror shows it: what runs of the job is stopped,
    /// nothing of it is started or believed to be done any more.
    fn cancelled(&mut self, id: &str, tasks: u32) {
        let now = self.now();
        self.mirror.remember_over(id, OverRecord { cancelled: true, tasks });
        if let Some(part) = self.part.as_mut() {
            part.at(now);
            part.drop_job(id);
        }
    }

    /// Another node's word of cancellations; tells how far this one's mirror is.
    fn take_cancelled(&mut self, told: &Cancelled) -> u64 {
        for (id, tasks) in told.jobs.iter().filter(|(id, _)| wire::job_id(id)) {
            self.cancelled(id, *tasks);
        }
        self.mirror.revision
    }

    /// Whether no leader can start anything any more of a job whose cancellation is durable at a revision: the leader of
    /// then has been told, or its hold has ended. A later one has read the store since.
    fn stops_known(&self, revision: u64) -> bool {
        let Some(leader) = self.mirror.leader.as_ref() else { return self.mirror.revision >= revision };
        self.mirror.revision >= revision
            && (leader.record == self.me
                || leader.version > revision
                || self.hints.known_by(&leader.record.node) >= revision)
    }

    /// Whether this node should get users: it is loaded, and if the state service does not answer it, then not it alone.
    /// A node that had lost the service and the others kept its users, and with its few connections was given more.
    fn healthy(&self) -> bool {
        let alone = !self.settings.platform.peers.is_empty() && self.others.alone(self.now());
        self.mirror.loaded && !self.types.is_empty() && (self.state_ok() || !alone)
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
                self.lead_event(Event::Ended);
                WorkerAnswer::Later
            }
            Taken::Stranger => {
                if !self.released.contains_key(&r.machine) && self.strangers.len() < STRANGERS {
                    let (machine_type, zone) = (r.machine_type.clone(), r.zone.clone());
                    let ask = Some((r.address.clone(), r.session));
                    self.strangers.insert(r.machine.clone(), Stranger { machine_type, zone, spot: r.spot, ask });
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
    /// Others have to be told of a cancellation.
    cancelled: Rc<Notify>,
    /// Something may have to be placed or sent at once.
    urgent: Rc<Notify>,
    /// Starts may wait for their lines in the log.
    logging: Rc<Notify>,
}

/// Time between looks at what time alone brings.
const TICK_MS: u64 = 100;
/// Least time between two rounds of placing and sending.
const PASS_MS: u64 = 20;
/// How long a watch waits for a change.
const WATCH_MS: u64 = 4000;
/// How long the mirror may lag behind a read before its watch is opened anew; doubled while that does not help.
const PATIENCE_MS: u64 = 500;
/// Time between rounds of durable writes of the leader.
const FLUSH_MS: u64 = 500;

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

    async fn sync(self) {
        let (rps, nodes) = {
            let c = self.core.borrow();
            (c.settings.platform.deployment.state.rps, c.settings.platform.peers.len() + 1)
        };
        // A quarter of the request budget goes to watches, shared among the nodes.
        let pace = ((4000.0 * nodes as f64 / rps) as u64).clamp(20, 1000);
        let (mut loaded, mut patience) = (false, PATIENCE_MS);
        loop {
            if !loaded {
                match self.noted(self.store.load().await) {
                    Ok(fresh) => {
                        let revision = fresh.revision;
                        {
                            let mut core = self.core.borrow_mut();
                            let seen = core.mirror.replace(fresh);
                            core.seen(seen, &self.campaign);
                            core.lead_event(Event::Mirrored(revision));
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
            let watch = Box::pin(self.store.watch(after, WATCH_MS));
            let watched = match select(watch, Box::pin(self.left_behind(patience))).await {
                Either::Left((watched, _)) => watched,
                Either::Right(_) => {
                    tracing::info!(after, "watch waits silently, opened anew");
                    patience = (patience * 2).min(WATCH_MS);
                    continue;
                }
            };
            match self.noted(watched) {
                Ok(w) => {
                    patience = PATIENCE_MS;
                    let quiet = w.events.is_empty();
                    {
                        let mut core = self.core.borrow_mut();
                        let seen = core.mirror.apply(w.revision, &w.events);
                        core.seen(seen, &self.campaign);
                        let revision = core.mirror.revision;
                        core.lead_event(Event::Mirrored(revision));
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

    /// Returns when a read that was sent a while ago has told of changes that the mirror still lacks. A watch that was open
    /// when the state service refused this node, or was down, may wait on silently after it.
    async fn left_behind(&self, patience: u64) {
        loop {
            pause(patience).await;
            let core = self.core.borrow();
            if core.lead.behind(core.now().saturating_sub(patience)) {
                return;
            }
        }
    }

    /// Answers readers: one compare-only transaction gives the revision that their answers must have reached.
    async fn read_barrier(self) {
        loop {
            self.reading.notified().await;
            pause(40).await;
            let (readers, txn, leads, sent) = {
                let mut core = self.core.borrow_mut();
                let (leads, sent) = (core.term().is_some(), core.now());
                let version = core.mirror.epoch.as_ref().map_or(0, |e| e.version);
                let txn = Txn { guards: vec![guard(store::epoch_key(), version)], apply: Vec::new() };
                (std::mem::take(&mut core.readers), txn, leads, sent)
            };
            if readers.is_empty() && !leads {
                continue;
            }
            let http = self.clone();
            actix::spawn(async move {
                if let Ok(revision) = http.noted(http.store.barrier(&txn).await) {
                    http.core.borrow_mut().lead_event(Event::Read { sent, revision });
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

    /// Tells the others of cancellations, again until they know.
    async fn tell_cancelled(self) {
        let peers = self.core.borrow().settings.platform.peers.clone();
        loop {
            let _ = tokio::time::timeout(Duration::from_millis(500), self.cancelled.notified()).await;
            for p in &peers {
                let (told, revision) = {
                    let core = self.core.borrow();
                    let Some((jobs, revision)) = core.hints.unknown_to(&p.node) else { continue };
                    (Cancelled { jobs }, revision)
                };
                let (me, node, addr) = (self.clone(), p.node.clone(), p.peer_addr);
                actix::spawn(async move {
                    if let Some(mirrored) = peer::tell_cancelled(&me.http, addr, &told).await {
                        me.core.borrow_mut().hints.acknowledged(&node, revision.max(mirrored));
                    }
                });
            }
            // What is called off at the same moment goes together.
            pause(PASS_MS).await;
        }
    }

    async fn peers(self) {
        let peers = self.core.borrow().settings.platform.peers.clone();
        loop {
            pause(900).await;
            for p in &peers {
                let me = self.clone();
                let (addr, own) = (p.peer_addr, View { counts: None, ..self.core.borrow().own_view() });
                actix::spawn(async move {
                    let from = Instant::now();
                    let answer = peer::ask(&me.http, addr, &own).await;
                    let mut core = me.core.borrow_mut();
                    let now = core.now();
                    match answer {
                        Some(v) => core.take_view(v),
                        None if from.elapsed().as_millis() < REFUSED_MS => core.others.refused(now),
                        None => {}
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
        let state = &settings.platform.deployment.state;
        // Users get at most two thirds of the changes; the rest is for the leader's books.
        let user_changes = state.write_rps * 2.0 / 3.0 / (settings.platform.peers.len() + 1) as f64;
        let core = Core {
            lead: Leadership::new(ttl, settings.grace_ms()),
            settings,
            begun: Instant::now(),
            me,
            mirror: Mirror::default(),
            part: None,
            fleet: Fleet::default(),
            types: Vec::new(),
            counts: HashMap::new(),
            others: Others::default(),
            hints: Hints::default(),
            newest_epoch: 0,
            state_ok_at: 0,
            no_campaign_until: 0,
            leads_since: 0,
            unlogged: false,
            released: HashMap::new(),
            gone: HashSet::new(),
            strangers: BTreeMap::new(),
            hires: 0,
            readers: Vec::new(),
            pacer: Pacer::new(user_changes),
        };
        let shared = Shared {
            core: Rc::new(RefCell::new(core)),
            store: StoreClient::new(http.clone(), external.state),
            cloud: CloudClient::new(http.clone(), external.cloud),
            http,
            revision: Rc::new(watch::channel(0).0),
            campaign: Rc::new(Notify::new()),
            reading: Rc::new(Notify::new()),
            cancelled: Rc::new(Notify::new()),
            urgent: Rc::new(Notify::new()),
            logging: Rc::new(Notify::new()),
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
        actix::spawn(s.clone().start_log());
        actix::spawn(s.clone().flush());
        actix::spawn(s.clone().fleet());
        actix::spawn(s.clone().peers());
        actix::spawn(s.clone().tell_cancelled());
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

impl Handler<PeerCancelled> for Node {
    type Result = MessageResult<PeerCancelled>;
    fn handle(&mut self, m: PeerCancelled, _: &mut Self::Context) -> Self::Result {
        self.shared.urgent.notify_one();
        MessageResult(self.shared.core.borrow_mut().take_cancelled(&m.0))
    }
}

/// Runs a controller until its process ends.
pub fn run(settings: Settings) -> std::io::Result<()> {
    let platform = settings.platform.clone();
    // The rest is for calls to the store, the cloud, peers and workers, and for what is being closed.
    let connections = (platform.deployment.machine_limits.max_connections * 17 / 20).max(8);
    actix::System::new().block_on(async move {
        let node = Node::new(settings).start();
        crate::api::serve(node, platform.api_addr, platform.internal_addr, connections).await
    })
}
