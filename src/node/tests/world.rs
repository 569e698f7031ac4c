//! A scripted world under a fake clock: a state service with leader leases, watches, refusals and late transactions; workers with
//! leases, sessions, tokens and images; a cloud; users. The controllers in it are the service's own `ControllerState`s; this module
//! only carries out what they ask for, as the loops of `node` do, and checks the rules after each step.

use crate::config::Settings;
use crate::leader::Term;
use crate::leader::{Authority, Event as LeadEvent, Role};
use crate::node::controller::{Clock, ControllerState, Pass};
use crate::node::WorkerAnswer;
use crate::protocol::{
    split_task, Change, Command, Event, ExitReason, Guard, JobSpec, Kind, MachineType, Report, ReportReply, TaskReport,
    TaskState, Txn,
};
use crate::scheduler::{Append, Direct, Hardware, MachineState, Origin};
use crate::store::{self, guard, Decided, LiveRecord, Mirror, OverRecord, RentalRecord, StoreError, Versioned};
use ciborium::Value;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// One step of the clock.
const STEP: u64 = 50;
/// How long a watch waits; as in `node`.
const WATCH: u64 = 4000;
const ZONES: [&str; 2] = ["a", "b"];

/// The state service.
#[derive(Default)]
pub struct Service {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    events: Vec<Event>,
    pub revision: u64,
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    pub down: bool,
    refused: BTreeSet<usize>,
    /// Share of transactions that get no answer and are carried out later, and their number as they come.
    pub late_share: f64,
}

impl Service {
    fn reach(&self, node: usize) -> Result<(), StoreError> {
        if self.down || self.refused.contains(&node) {
            return Err(StoreError::Refused);
        }
        Ok(())
    }

    pub fn decide(&mut self, txn: &Txn) -> Decided {
        let version = |g: &&Guard| self.keys.get(&g.key).map_or(0, |k| k.1) != g.version;
        let failed: Vec<String> = txn.guards.iter().filter(version).map(|g| g.key.clone()).collect();
        if !failed.is_empty() {
            return Decided::Failed(failed);
        }
        let leases = &self.leases;
        let lost = |c: &Change| matches!(c, Change::Put { lease: Some(h), .. } if !leases.contains_key(h));
        if txn.apply.iter().any(lost) {
            return Decided::Failed(vec!["hold".into()]);
        }
        if !txn.apply.is_empty() {
            self.revision += 1;
        }
        for change in &txn.apply {
            match change {
                Change::Put { put, value, lease } => {
                    self.keys.insert(put.clone(), (value.clone(), self.revision, *lease));
                    self.events.push(Event::Put { put: put.clone(), value: value.clone(), version: self.revision });
                }
                Change::Delete { key } => self.remove(key.clone()),
            }
        }
        Decided::Applied(self.revision)
    }

    fn remove(&mut self, key: String) {
        if self.keys.remove(&key).is_some() {
            self.events.push(Event::Delete { key, version: self.revision });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_some() {
            let keys: Vec<String> =
                self.keys.iter().filter(|(_, v)| v.2 == Some(lease)).map(|(k, _)| k.clone()).collect();
            for key in keys {
                self.revision += 1;
                self.remove(key);
            }
        }
    }

    fn tick(&mut self, now: u64) {
        if !self.down {
            let ended: Vec<u64> = self.leases.iter().filter(|(_, (end, _))| now > *end).map(|(h, _)| *h).collect();
            ended.into_iter().for_each(|h| self.end_lease(h));
        }
    }

    /// An outage is over: every leader lease has its full time again.
    fn up(&mut self, now: u64) {
        self.down = false;
        self.leases.values_mut().for_each(|(end, ttl)| *end = now + *ttl);
    }

    fn get<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<Versioned<T>> {
        let (value, version, _) = self.keys.get(key)?;
        Some(Versioned { record: value.deserialized().ok()?, version: *version })
    }

    fn load(&self) -> Mirror {
        let (mut m, mut seen) = (Mirror::default(), Vec::new());
        for (key, (value, version, _)) in self.keys.iter().filter(|(k, _)| !k.contains("/over/")) {
            m.put(key, value, *version, &mut seen);
        }
        (m.revision, m.loaded) = (self.revision, true);
        m
    }
}

/// A write of the start log under way.
struct Writing {
    append: Append,
    term: Term,
    done: Result<Decided, StoreError>,
    at: u64,
}

/// A controller's process and its calls.
pub struct Controller {
    pub controller: Option<ControllerState>,
    back_at: u64,
    pub frozen_until: u64,
    life: u64,
    watch: Option<(u64, bool)>,
    renew_at: u64,
    flush_at: u64,
    cloud_at: u64,
    awaits: Option<(u64, u64, u64, u64)>,
    writing: Option<Writing>,
}

/// A task on a machine.
#[derive(Clone)]
struct OnMachine {
    state: TaskState,
    reason: Option<ExitReason>,
    ready_at: u64,
    ends_at: u64,
}

/// A machine and its worker.
pub struct Worker {
    zone: String,
    token: u64,
    session: u64,
    seq: u64,
    lease_from: u64,
    tasks: BTreeMap<(String, u64), OnMachine>,
    node: usize,
    report_at: u64,
    /// A report is out since.
    waits: Option<u64>,
    pub hung_until: u64,
    pub deaf_until: u64,
    pub mute_until: u64,
    /// The next report is held back this long.
    pub hold_report: u64,
}

enum Message {
    Report {
        node: usize,
        report: Report,
        copy: bool,
    },
    Reply {
        worker: String,
        session: u64,
        sent: u64,
        node: usize,
        answer: WorkerAnswer,
    },
    /// Decided, and sent by a controller that stood still in between.
    Decided {
        node: usize,
        life: u64,
        term: Option<Term>,
        direct: Direct,
    },
    Direct {
        node: usize,
        life: u64,
        term: Option<Term>,
        direct: Direct,
        sent: u64,
    },
    DirectAnswer {
        node: usize,
        life: u64,
        term: Option<Term>,
        direct: Direct,
        report: Option<Report>,
    },
    Late(Txn),
}

/// What is true of a job.
pub struct Truth {
    pub spec: JobSpec,
    pub run_ms: u64,
    /// By how much later each task ends than the one before it.
    pub apart_ms: u64,
    pub done: BTreeSet<u32>,
    /// When its user was told that it is cancelled.
    pub told: Option<u64>,
    asked: bool,
    /// Durable at a revision; the node answers when no start can come any more.
    answering: Option<(usize, u64, u64)>,
    placed_at: u64,
}

pub struct World {
    pub clock: Rc<Cell<u64>>,
    pub rng: StdRng,
    pub service: Service,
    pub nodes: Vec<Controller>,
    pub workers: BTreeMap<String, Worker>,
    pub jobs: BTreeMap<String, Truth>,
    pub broken: Vec<String>,
    pub cloud_down: bool,
    /// No controller reaches another before.
    pub peers_cut_until: u64,
    /// Share of reports of which a copy comes again, and of direct commands that are held up.
    pub copies: f64,
    pub held: f64,
    pub limit: Option<f64>,
    queue: Vec<(u64, Message)>,
    made: u64,
    pub machines_wanted: usize,
    pub starts: u64,
    /// A zone that is cut off with a controller in it, which nothing else reaches.
    pub island: Option<(&'static str, usize)>,
    /// Controllers that reach no worker.
    pub without_workers: BTreeSet<usize>,
    /// Controllers that reach no other controller.
    pub without_peers: BTreeSet<usize>,
    pub fetch_ms: u64,
    /// Commands sent straight to workers that are held up take at least this long.
    pub held_ms: u64,
    /// How long the answer to a write of the start log takes.
    pub write_ms: u64,
    /// The next controller that decides to start something stands still for so long before it sends that.
    pub stands_still_ms: u64,
    /// Watches that were silenced once stay silent, whatever is opened anew.
    pub watches_stuck: bool,
}

fn settings(node: usize, nodes: usize, limit: Option<f64>) -> Settings {
    let mut s = crate::config::tests::settings();
    let name = |n: usize| format!("drover-{n}");
    s.platform.node = name(node);
    let peer = |n| crate::config::Peer { node: name(n), peer_addr: "127.0.0.1:1".parse().unwrap() };
    s.platform.peers = (0..nodes).filter(|n| *n != node).map(peer).collect();
    s.platform.deployment.teams[0].cpus_max = limit.unwrap_or(0.0);
    s
}

fn kind() -> MachineType {
    MachineType {
        name: "m8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 5.0,
        zones: ZONES.map(String::from).to_vec(),
    }
}

impl World {
    /// Three controllers and a number of machines in two zones, up and led.
    pub fn new(seed: u64, machines: usize) -> World {
        World::limited(seed, machines, None)
    }

    pub fn limited(seed: u64, machines: usize, limit: Option<f64>) -> World {
        let mut w = World {
            clock: Rc::new(Cell::new(1000)),
            rng: StdRng::seed_from_u64(seed),
            service: Service::default(),
            nodes: Vec::new(),
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            broken: Vec::new(),
            cloud_down: false,
            peers_cut_until: 0,
            copies: 0.0,
            held: 0.0,
            limit,
            queue: Vec::new(),
            made: 0,
            machines_wanted: machines,
            starts: 0,
            island: None,
            without_workers: BTreeSet::new(),
            without_peers: BTreeSet::new(),
            fetch_ms: 800,
            held_ms: 2000,
            write_ms: STEP,
            stands_still_ms: 0,
            watches_stuck: false,
        };
        for _ in 0..3 {
            w.nodes.push(Controller {
                controller: None,
                back_at: 0,
                frozen_until: 0,
                life: 0,
                watch: None,
                renew_at: 0,
                flush_at: 0,
                cloud_at: 0,
                awaits: None,
                writing: None,
            });
        }
        w.run(12_000);
        assert!(w.leader().is_some() && w.workers.len() == machines);
        w
    }

    pub fn now(&self) -> u64 {
        self.clock.get()
    }

    pub fn run(&mut self, ms: u64) {
        let until = self.now() + ms;
        while self.now() < until {
            self.apply();
        }
    }

    /// The controller with the authority to start.
    pub fn leader(&self) -> Option<usize> {
        let full = |c: &Controller| {
            c.controller.as_ref().is_some_and(|c| c.scheduler.is_some() && c.authority() == Authority::Full)
        };
        self.nodes.iter().position(full)
    }

    // ---- troubles ----

    pub fn refuse(&mut self, node: usize, on: bool) {
        if on {
            self.service.refused.insert(node);
        } else {
            self.service.refused.remove(&node);
        }
    }

    pub fn outage(&mut self, on: bool) {
        if on {
            self.service.down = true;
        } else if self.service.down {
            self.service.up(self.clock.get());
        }
    }

    pub fn crash(&mut self, node: usize, back_after: u64) {
        let back_at = self.now() + back_after;
        let n = &mut self.nodes[node];
        (n.controller, n.watch, n.awaits, n.writing, n.back_at) = (None, None, None, None, back_at);
        n.life += 1;
    }

    // ---- users ----

    pub fn submit(&mut self, spec: JobSpec, run_ms: u64) {
        let record = LiveRecord { spec: spec.clone(), at_ms: self.now() };
        assert!(matches!(self.service.decide(&store::submit_txn(&spec.id, &record)), Decided::Applied(_)));
        let placed_at = self.now();
        let truth = Truth {
            spec,
            run_ms,
            apart_ms: 0,
            done: BTreeSet::new(),
            told: None,
            asked: false,
            answering: None,
            placed_at,
        };
        self.jobs.insert(truth.spec.id.clone(), truth);
    }

    /// A user calls a job off through a node; false if that cannot take it.
    pub fn cancel(&mut self, node: usize, id: &str) -> bool {
        self.jobs.get_mut(id).unwrap().asked = true;
        let now = self.now();
        if self.service.reach(node).is_err() || now < self.nodes[node].frozen_until {
            return false;
        }
        let Some(controller) = self.nodes[node].controller.as_mut() else { return false };
        let Some(live) = controller.mirror.live.get(id).cloned() else { return false };
        let Decided::Applied(revision) = self.service.decide(&store::abort_txn(id, &live)) else { return false };
        let tasks = live.record.spec.tasks;
        controller.cancelled(id, tasks);
        controller.notices.add(id, tasks, revision);
        self.jobs.get_mut(id).unwrap().answering = Some((node, revision, now));
        true
    }

    /// Whether a user may still call this job off.
    pub fn cancellable(&self, id: &str) -> bool {
        let j = &self.jobs[id];
        !j.asked && self.service.keys.contains_key(&store::live_key(id))
    }

    pub fn over(&self, id: &str) -> Option<OverRecord> {
        self.service.get::<OverRecord>(&store::over_key(id)).map(|v| v.record)
    }

    /// Tasks of a job that run.
    pub fn running(&self, id: &str) -> usize {
        self.on_machines().filter(|(_, task, _)| split_task(task).is_some_and(|(j, _)| j == id)).count()
    }

    /// Machines on which a job runs.
    pub fn machines_of(&self, id: &str) -> Vec<String> {
        let of = |t: &str| split_task(t).is_some_and(|(j, _)| j == id);
        let mut out: Vec<String> = self.on_machines().filter(|(_, t, _)| of(t)).map(|(m, ..)| m.to_string()).collect();
        out.dedup();
        out
    }

    fn on_machines(&self) -> impl Iterator<Item = (&str, &str, &str)> {
        let live = |s: TaskState| matches!(s, TaskState::Running | TaskState::Saving);
        self.workers.iter().flat_map(move |(name, w)| {
            let tasks = w.tasks.iter().filter(move |(_, t)| live(t.state));
            tasks.map(move |((task, _), _)| (name.as_str(), task.as_str(), w.zone.as_str()))
        })
    }

    fn breaks(&mut self, what: String) {
        let at = self.now();
        self.broken.push(format!("{at}: {what}"));
    }

    // ---- the clock ----

    pub fn apply(&mut self) {
        self.clock.set(self.now() + STEP);
        if self.now().is_multiple_of(500) {
            tracing::info!(at = self.now());
        }
        let now = self.now();
        self.service.tick(now);
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.queue).into_iter().partition(|(at, _)| *at <= now);
        self.queue = rest;
        due.into_iter().for_each(|(_, m)| self.deliver(m));
        (0..self.nodes.len()).for_each(|n| self.drive(n));
        self.peers();
        self.answer_users();
        let names: Vec<String> = self.workers.keys().cloned().collect();
        names.iter().for_each(|n| self.work(n));
        self.check();
    }

    /// Whether a zone's machines and a controller reach each other.
    fn joined(&self, zone: &str, node: usize) -> bool {
        !self.without_workers.contains(&node) && self.island.is_none_or(|(z, n)| (z == zone) == (n == node))
    }

    fn send(&mut self, delay: u64, message: Message) {
        let at = self.now() + delay;
        self.queue.push((at, message));
    }

    fn txn(&mut self, node: usize, txn: &Txn) -> Result<Decided, StoreError> {
        self.service.reach(node)?;
        if self.service.late_share > 0.0 && self.rng.gen_bool(self.service.late_share) {
            let delay = self.rng.gen_range(2000..12_000);
            self.send(delay, Message::Late(txn.clone()));
            return Err(StoreError::Unknown);
        }
        Ok(self.decide(txn))
    }

    /// The service decides; what users were told must stay true.
    fn decide(&mut self, txn: &Txn) -> Decided {
        let before = self.service.keys.clone();
        let decided = self.service.decide(txn);
        if let Decided::Applied(_) = decided {
            for change in &txn.apply {
                let Change::Put { put, value, .. } = change else { continue };
                let Some(id) = put.split_once("/over/").map(|(_, id)| id.to_string()) else { continue };
                let over: OverRecord = value.deserialized().unwrap();
                if before.contains_key(put) {
                    self.breaks(format!("went_back: {id}"));
                }
                let truth = &self.jobs[&id];
                if over.cancelled != truth.asked && over.cancelled {
                    self.breaks(format!("went_back: {id} cancelled by nobody"));
                }
                if !over.cancelled && self.jobs[&id].done.len() < self.jobs[&id].spec.tasks as usize {
                    self.breaks(format!("not_done: {id}"));
                }
            }
        }
        decided
    }

    fn drive(&mut self, n: usize) {
        let now = self.now();
        if self.nodes[n].controller.is_none() {
            if now < self.nodes[n].back_at || self.service.reach(n).is_err() {
                return;
            }
            let mut controller = ControllerState::new(
                settings(n, self.nodes.len(), self.limit),
                now + 1,
                Clock::Scripted(self.clock.clone()),
            );
            controller.take_types(&[kind()]);
            controller.loaded(self.service.load());
            self.nodes[n].controller = Some(controller);
        }
        if now < self.nodes[n].frozen_until {
            return;
        }
        self.watch(n);
        self.lead(n);
        self.write_log(n);
        self.persist(n);
        self.pass(n);
        self.cloud(n);
    }

    /// A watch that was open when the service did not answer waits silently until its time is over.
    fn watch(&mut self, n: usize) {
        let now = self.now();
        let (reach, stuck) = (self.service.reach(n).is_ok(), self.watches_stuck);
        let Controller { controller: Some(controller), watch, .. } = &mut self.nodes[n] else { return };
        if let Some((opened, silent)) = watch {
            *silent |= !reach;
            let left_behind = now >= *opened + 500 && controller.lead.behind(now - 500);
            if (now > *opened + WATCH || (left_behind && reach)) && !(stuck && *silent) {
                *watch = None;
            }
        }
        if watch.is_none() && reach {
            *watch = Some((now, false));
        }
        if watch.is_some_and(|(_, silent)| !silent) && self.service.revision > controller.mirror.revision {
            let from = controller.mirror.revision;
            let newer = |e: &&Event| match e {
                Event::Put { version, .. } | Event::Delete { version, .. } => *version > from,
            };
            let events: Vec<Event> = self.service.events.iter().filter(newer).cloned().collect();
            controller.watched(self.service.revision, &events);
            *watch = Some((now, false));
        }
    }

    fn lead(&mut self, n: usize) {
        let now = self.now();
        let reach = self.service.reach(n);
        let revision = self.service.revision;
        let awaits = self.nodes[n].awaits;
        let controller = self.nodes[n].controller.as_mut().unwrap();
        if let Some((epoch, version, sent, until)) = awaits {
            if controller.mirror.revision >= version && controller.term().is_some() {
                controller.lead_event(LeadEvent::Read { sent, revision: version });
                controller.rebuild(epoch);
                self.nodes[n].awaits = None;
            } else if now > until {
                controller.lead_event(LeadEvent::Ended);
                self.nodes[n].awaits = None;
            }
            return;
        }
        if let Some(Term { lease, .. }) = controller.term() {
            if now < self.nodes[n].renew_at {
                return;
            }
            self.nodes[n].renew_at = now + 500;
            let controller = self.nodes[n].controller.as_mut().unwrap();
            match (reach, self.service.leases.get_mut(&lease)) {
                (Ok(()), Some((end, ttl))) => {
                    *end = now + *ttl;
                    controller.lead_event(LeadEvent::Read { sent: now, revision });
                    controller.lead_event(LeadEvent::Renewed(now));
                    if controller.scheduler.is_some() && controller.authority() == Authority::None {
                        self.give_up(n);
                    }
                }
                (Ok(()), None) => controller.lead_event(LeadEvent::Ended),
                _ if controller.authority() == Authority::None => controller.lead_event(LeadEvent::Ended),
                _ => {}
            }
            return;
        }
        if reach.is_err()
            || !controller.mirror.loaded
            || !controller.free_to_claim()
            || now < controller.no_campaign_until
        {
            return;
        }
        let ttl = (controller.settings.operator.hold_s * 1000.0) as u64;
        controller.lead_event(LeadEvent::Campaign);
        let lease = self.service.next_lease + 1;
        self.service.next_lease = lease;
        self.service.leases.insert(lease, (now + ttl, ttl));
        let controller = self.nodes[n].controller.as_mut().unwrap();
        let claim = controller.claim(lease);
        let won = claim.and_then(|(txn, record)| match self.txn(n, &txn) {
            Ok(Decided::Applied(version)) => Some((record.number, version)),
            _ => None,
        });
        let controller = self.nodes[n].controller.as_mut().unwrap();
        match won {
            Some((epoch, version)) => {
                controller.lead_event(LeadEvent::Won { term: Term { epoch, version, lease }, sent: now });
                self.nodes[n].awaits = Some((epoch, version, now, now + ttl * 3 / 4));
            }
            None => {
                controller.lead_event(LeadEvent::Lost);
                controller.no_campaign_until = now + 200;
                self.service.end_lease(lease);
            }
        }
    }

    fn give_up(&mut self, n: usize) {
        let now = self.now();
        let controller = self.nodes[n].controller.as_mut().unwrap();
        let lease = controller.term().map(|term| term.lease);
        controller.no_campaign_until = now + 10_000;
        controller.lead_event(LeadEvent::Ended);
        if self.service.reach(n).is_ok() {
            lease.into_iter().for_each(|h| self.service.end_lease(h));
        }
    }

    fn write_log(&mut self, n: usize) {
        let now = self.now();
        if self.nodes[n].writing.as_ref().is_some_and(|w| now < w.at) {
            return;
        }
        if let Some(w) = self.nodes[n].writing.take() {
            let key = store::starts_key(w.append.slot);
            let demand = !matches!(w.done, Ok(Decided::Applied(_)) | Err(StoreError::Busy | StoreError::Refused));
            let found = if demand && self.service.reach(n).is_ok() { self.service.get::<String>(&key) } else { None };
            self.nodes[n].controller.as_mut().unwrap().logged(w.term, w.append, w.done, found);
        }
        let Some((append, term, txn)) = self.nodes[n].controller.as_mut().unwrap().next_append() else { return };
        let done = self.txn(n, &txn);
        let unanswered = done == Err(StoreError::Unknown);
        self.nodes[n].writing =
            Some(Writing { append, term, done, at: now + if unanswered { 1500 } else { self.write_ms } });
    }

    fn persist(&mut self, n: usize) {
        let now = self.now();
        if now < self.nodes[n].flush_at {
            return;
        }
        self.nodes[n].flush_at = now + 500;
        let Some(epoch) = self.nodes[n].controller.as_ref().unwrap().write_guard() else { return };
        for (id, tasks, txn) in self.nodes[n].controller.as_ref().unwrap().completions(&epoch) {
            if let Ok(Decided::Applied(_)) = self.txn(n, &txn) {
                self.nodes[n].controller.as_mut().unwrap().completed(&id, tasks);
            }
        }
        if let Some((rows, txn)) = self.nodes[n].controller.as_ref().unwrap().ranges(&epoch) {
            if let Ok(Decided::Applied(_)) = self.txn(n, &txn) {
                self.nodes[n].controller.as_mut().unwrap().stored(&epoch, &rows);
            }
        }
        if let Some((gone, txn)) = self.nodes[n].controller.as_ref().unwrap().forgettable(&epoch) {
            if let Ok(Decided::Applied(_)) = self.txn(n, &txn) {
                gone.iter().for_each(|m| {
                    self.nodes[n].controller.as_mut().unwrap().gone.remove(m);
                });
            }
        }
        if let Some(txn) = self.nodes[n].controller.as_mut().unwrap().sweep(&epoch) {
            let _ = self.txn(n, &txn);
        }
    }

    fn pass(&mut self, n: usize) {
        let pass = self.nodes[n].controller.as_mut().unwrap().pass(16, 8);
        let sends = match pass {
            Pass::Sends(sends) => sends,
            Pass::Nothing => return,
            Pass::GiveUp => return self.give_up(n),
        };
        let (life, term) = (self.nodes[n].life, self.nodes[n].controller.as_ref().unwrap().term());
        let starts = |d: &Direct| d.orders.iter().any(|o| matches!(o, Command::Start { .. }));
        if self.stands_still_ms > 0 && sends.iter().any(starts) {
            let pause = std::mem::take(&mut self.stands_still_ms);
            self.nodes[n].frozen_until = self.now() + pause;
            for direct in sends {
                self.send(pause, Message::Decided { node: n, life, term, direct });
            }
            return;
        }
        self.send_direct(n, life, term, sends);
    }

    fn send_direct(&mut self, n: usize, life: u64, term: Option<Term>, sends: Vec<Direct>) {
        for direct in sends {
            self.sent(&direct.orders);
            let held_up = self.held > 0.0 && self.rng.gen_bool(self.held);
            let delay = if held_up { self.rng.gen_range(self.held_ms..20_000) } else { STEP };
            let sent = self.now();
            if delay >= 2000 {
                let lost = Message::DirectAnswer { node: n, life, term, direct: direct.clone(), report: None };
                self.send(2000, lost);
            }
            self.send(delay, Message::Direct { node: n, life, term, direct, sent });
        }
    }

    /// Orders leave a controller: none may start a task of a job whose user was told that it is cancelled.
    fn sent(&mut self, orders: &[Command]) {
        let now = self.now();
        for o in orders {
            let Command::Start { task, .. } = o else { continue };
            self.starts += 1;
            let id = split_task(task).unwrap().0;
            let job = self.jobs.get_mut(id).unwrap();
            job.placed_at = now;
            if job.told.is_some_and(|t| t < now) {
                self.breaks(format!("start of {task} sent after its confirmed cancellation"));
            }
        }
    }

    fn cloud(&mut self, n: usize) {
        let now = self.now();
        if now < self.nodes[n].cloud_at || self.cloud_down {
            return;
        }
        self.nodes[n].cloud_at = now + 400;
        let Some(epoch) = self.nodes[n].controller.as_ref().unwrap().write_guard() else { return };
        let controller = self.nodes[n].controller.as_mut().unwrap();
        let w = controller.settings.platform.deployment.workers.clone();
        let scheduler = controller.scheduler.as_mut().unwrap();
        let silent_ms = ((2.0 * w.report_s + 2.0).max(0.4 * w.lease_s) * 1000.0) as u64;
        for i in scheduler.silent(silent_ms, (4000.0 * w.lease_s) as u64) {
            scheduler.enter(i, MachineState::Releasing, "silent");
        }
        for name in scheduler.leaving(100) {
            scheduler.machine_gone(&name);
            controller.gone.insert(name.clone());
            controller.released.insert(name.clone(), now);
            self.workers.remove(&name);
        }
        if self.workers.len() < self.machines_wanted {
            self.made += 1;
            let in_a = self.workers.values().filter(|w| w.zone == ZONES[0]).count();
            let (name, zone) = (format!("n-{:04}", self.made), ZONES[(in_a * 2 > self.workers.len()) as usize]);
            let of =
                RentalRecord { machine_type: "m8".into(), zone: zone.into(), spot: false, count: 1, machines: None };
            let record = RentalRecord { machines: Some(vec![name.clone()]), ..of };
            let txn = store::rental_txn(&epoch, &format!("r-{}", self.made), 0, &record);
            if let Ok(Decided::Applied(_)) = self.txn(n, &txn) {
                let controller = self.nodes[n].controller.as_mut().unwrap();
                let of = Hardware { machine_type: "m8", zone, spot: false };
                controller.scheduler.as_mut().unwrap().add_machine(&name, of, Origin::Rented);
                self.boot(name, zone);
            }
        }
    }

    fn boot(&mut self, name: String, zone: &str) {
        let now = self.now();
        let worker = Worker {
            zone: zone.into(),
            token: 0,
            session: 1,
            seq: 0,
            lease_from: now + 3000,
            tasks: BTreeMap::new(),
            node: self.rng.gen_range(0..self.nodes.len()),
            report_at: now + 3000,
            waits: None,
            hung_until: 0,
            deaf_until: 0,
            mute_until: 0,
            hold_report: 0,
        };
        self.workers.insert(name, worker);
    }

    fn peers(&mut self) {
        let now = self.now();
        if now < self.peers_cut_until {
            return;
        }
        for (a, b) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
            let apart = self.island.is_some_and(|(_, n)| n == a || n == b)
                || self.without_peers.contains(&a)
                || self.without_peers.contains(&b);
            if apart || now < self.nodes[a].frozen_until.max(self.nodes[b].frozen_until) {
                continue;
            }
            let name = format!("drover-{b}");
            let Some(hint) = self.nodes[a].controller.as_ref().map(|c| c.notices.unknown_to(&name)) else { continue };
            let Some(other) = self.nodes[b].controller.as_mut() else { continue };
            if let Some((jobs, revision)) = hint {
                let mirrored = other.take_cancelled(&crate::peer::Cancelled { jobs });
                self.nodes[a].controller.as_mut().unwrap().notices.acknowledged(&name, revision.max(mirrored));
            }
            if now % 900 < STEP {
                let view = self.nodes[b].controller.as_ref().unwrap().own_view();
                self.nodes[a].controller.as_mut().unwrap().take_view(view);
            }
        }
    }

    fn answer_users(&mut self) {
        let now = self.now();
        for job in self.jobs.values_mut() {
            let Some((node, revision, since)) = job.answering else { continue };
            let most = 2500 * 1001 / 1000;
            let known = match self.nodes[node].controller.as_ref() {
                Some(c) => c.stops_known(revision) || now > since + most,
                // Its user hears nothing from it and asks another, to which the job is cancelled.
                None => now > since + 5000,
            };
            if known {
                (job.answering, job.told) = (None, Some(now));
            }
        }
    }

    // ---- workers ----

    fn report_of(&mut self, name: &str) -> Report {
        let w = self.workers.get_mut(name).unwrap();
        w.seq += 1;
        let line = |((task, attempt), t): (&(String, u64), &OnMachine)| TaskReport {
            task: task.clone(),
            attempt: *attempt,
            state: t.state,
            reason: t.reason,
            saved: None,
        };
        Report {
            machine: name.into(),
            address: "1.2.3.4:9".into(),
            machine_type: "m8".into(),
            zone: w.zone.clone(),
            spot: false,
            session: w.session,
            seq: w.seq,
            token: w.token,
            notice_s: None,
            tasks: w.tasks.iter().map(line).collect(),
        }
    }

    fn work(&mut self, name: &str) {
        let now = self.now();
        let nodes = self.nodes.len();
        let jitter = self.rng.gen_range(1100..1900);
        let w = self.workers.get_mut(name).unwrap();
        if now > w.lease_from + 12_000 {
            // Also while it hangs: it goes on within its lease only.
            tracing::info!(now, name, session = w.session, tasks = w.tasks.len(), "worker's lease is over");
            w.tasks.clear();
            w.session += 1;
            (w.lease_from, w.waits) = (now, None);
        }
        if now < w.hung_until {
            w.tasks.values_mut().for_each(|t| (t.ready_at, t.ends_at) = (t.ready_at + STEP, t.ends_at + STEP));
            return;
        }
        let mut began = Vec::new();
        for ((task, _), t) in w.tasks.iter_mut() {
            if t.state == TaskState::Fetching && now >= t.ready_at {
                t.state = TaskState::Running;
                began.push(task.clone());
            }
            if t.state == TaskState::Running && now >= t.ends_at {
                (t.state, t.reason) = (TaskState::Exited, Some(ExitReason::Done));
                let (job, number) = split_task(task).unwrap();
                let job = self.jobs.get_mut(job).unwrap();
                job.done.insert(number);
                w.report_at = w.report_at.min(now + 100);
            }
        }
        let w = self.workers.get_mut(name).unwrap();
        if w.waits.is_some_and(|sent| now > sent + 4000) {
            w.waits = None;
            w.node = (w.node + 1) % nodes;
            w.report_at = now + 1000;
        }
        if w.waits.is_none() && now >= w.report_at {
            w.report_at = now + jitter;
            w.waits = Some(now);
            let (node, zone, mute) = (w.node, w.zone.clone(), now < w.mute_until);
            let mute = mute || !self.joined(&zone, node);
            let held_up = std::mem::take(&mut self.workers.get_mut(name).unwrap().hold_report);
            let report = self.report_of(name);
            if !mute {
                if self.copies > 0.0 && self.rng.gen_bool(self.copies) {
                    let (delay, node) = (self.rng.gen_range(2000..20_000), self.rng.gen_range(0..nodes));
                    self.send(delay, Message::Report { node, report: report.clone(), copy: true });
                }
                self.send(STEP + held_up, Message::Report { node, report, copy: held_up > 4000 });
            }
        }
        began.iter().for_each(|task| self.began(name, task));
    }

    /// A task starts on a machine.
    fn began(&mut self, name: &str, task: &str) {
        let elsewhere: Vec<String> =
            self.on_machines().filter(|(m, t, _)| *t == task && *m != name).map(|(m, ..)| m.to_string()).collect();
        if !elsewhere.is_empty() {
            self.breaks(format!("ran_twice: {task} starts on {name}, is on {elsewhere:?}"));
        }
        let (id, _) = split_task(task).unwrap();
        let job = &self.jobs[id];
        if job.spec.zone.as_ref().is_some_and(|z| *z != self.workers[name].zone) {
            self.breaks(format!("wrong_place: {task} on {name}"));
        }
        if self.jobs[id].spec.scatter || self.jobs[id].spec.together {
            let zones = self.on_machines().filter(|(_, t, _)| split_task(t).is_some_and(|(j, _)| j == id));
            let mut by_zone: HashMap<String, u32> = HashMap::new();
            zones.for_each(|(_, _, z)| *by_zone.entry(z.into()).or_default() += 1);
            let spec = &self.jobs[id].spec;
            let scattered = !spec.scatter || by_zone.values().all(|n| *n <= spec.tasks.div_ceil(2));
            if !scattered || (spec.together && by_zone.len() > 1) {
                self.breaks(format!("wrong_place: {task}, {by_zone:?}"));
            }
        }
    }

    fn execute(&mut self, name: &str, orders: &[Command]) {
        let now = self.now();
        if !orders.is_empty() {
            tracing::info!(now, name, ?orders, "executes");
        }
        let fetch_ms = self.fetch_ms;
        for o in orders {
            let w = self.workers.get_mut(name).unwrap();
            match o {
                Command::Start { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if w.tasks.contains_key(&key) {
                        continue;
                    }
                    let (id, number) = split_task(task).unwrap();
                    let job = &self.jobs[id];
                    let busy = w.tasks.iter().any(|((t, _), s)| t == task && s.state != TaskState::Exited);
                    let cpus = w.tasks.values().filter(|s| s.state != TaskState::Exited).count() as f64 * 2.0;
                    let (state, reason) = match () {
                        _ if busy => (TaskState::Exited, Some(ExitReason::Busy)),
                        _ if cpus + 2.0 > 8.0 => (TaskState::Exited, Some(ExitReason::NoRoom)),
                        _ => (TaskState::Fetching, None),
                    };
                    let ready_at = now + fetch_ms;
                    let run = job.run_ms + job.apart_ms * number as u64;
                    let run = if job.done.contains(&number) { 0 } else { run };
                    let ends_at = if job.spec.kind == Kind::Service { u64::MAX / 2 } else { ready_at + run };
                    w.tasks.insert(key, OnMachine { state, reason, ready_at, ends_at });
                }
                Command::Stop { task, attempt, .. } => {
                    if let Some(t) = w.tasks.get_mut(&(task.clone(), *attempt)) {
                        if t.state != TaskState::Exited {
                            (t.state, t.reason) = (TaskState::Exited, Some(ExitReason::Stopped));
                        }
                    }
                }
                Command::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if w.tasks.get(&key).is_some_and(|t| t.state == TaskState::Exited) {
                        w.tasks.remove(&key);
                    }
                }
            }
            w.report_at = w.report_at.min(now + 500);
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::Late(txn) if self.service.down => self.send(1000, Message::Late(txn)),
            Message::Late(txn) => {
                self.decide(&txn);
            }
            Message::Report { node, report, copy } => {
                let (name, session, seq) = (report.machine.clone(), report.session, report.seq);
                let frozen = self.nodes[node].frozen_until;
                if now < frozen {
                    return self.send(frozen - now, Message::Report { node, report, copy });
                }
                let Some(controller) = self.nodes[node].controller.as_mut() else { return };
                let answer = controller.report(&report);
                if let WorkerAnswer::Reply(ReportReply { orders, .. }) = &answer {
                    let orders = orders.clone();
                    if !copy {
                        self.sent(&orders);
                    }
                }
                let Some(w) = self.workers.get(&name) else { return };
                if copy || w.session != session || w.seq < seq || now < w.deaf_until || !self.joined(&w.zone, node) {
                    return;
                }
                let sent = w.waits.unwrap_or(0);
                self.send(STEP, Message::Reply { worker: name, session, sent, node, answer });
            }
            Message::Reply { worker, session, sent, node, answer } => {
                let Some(w) = self.workers.get_mut(&worker) else { return };
                if now < w.hung_until || w.waits != Some(sent) || w.session != session || now > sent + 4000 {
                    return;
                }
                w.waits = None;
                match answer {
                    WorkerAnswer::Reply(r) if r.token >= w.token => {
                        if r.token > w.token {
                            w.report_at = w.report_at.min(now + 500);
                        }
                        (w.token, w.lease_from, w.node) = (r.token, sent, node);
                        self.execute(&worker, &r.orders);
                    }
                    // Dropped.
                    WorkerAnswer::Reply(_) => {}
                    WorkerAnswer::Elsewhere(to) => {
                        let to = to.and_then(|t| t.strip_prefix("drover-")?.parse::<usize>().ok());
                        w.node = to.unwrap_or((node + 1) % 3);
                        w.report_at = now + if to.is_some() { 300 } else { 1000 };
                    }
                    WorkerAnswer::Later => {
                        w.node = (node + 1) % 3;
                        w.report_at = now + 1000;
                    }
                }
            }
            Message::Decided { node, life, term, direct } => {
                if self.nodes[node].life != life {
                    return;
                }
                let Some(controller) = self.nodes[node].controller.as_mut() else { return };
                if controller.may_send(term) {
                    self.send_direct(node, life, term, vec![direct]);
                } else {
                    controller.direct_answer(term, &direct, None);
                }
            }
            Message::Direct { node, life, term, direct, sent } => {
                let name = direct.machine.clone();
                let lost = |report| Message::DirectAnswer { node, life, term, direct: direct.clone(), report };
                let joined = self.workers.get(&name).is_some_and(|w| self.joined(&w.zone, node));
                let Some(w) = self.workers.get_mut(&name) else { return self.send(2000, lost(None)) };
                if now < w.deaf_until || !joined {
                    // Lost on its way.
                    return self.send(2000, lost(None));
                }
                if now < w.hung_until {
                    // Executed when the machine goes on, though nobody waits for the answer any more.
                    let rest = w.hung_until - now + STEP;
                    if now < sent + 2000 {
                        let none = lost(None);
                        self.send((sent + 2000) - now, none);
                    }
                    return self.send(rest, Message::Direct { node, life, term, direct, sent: 0 });
                }
                if direct.token >= w.token && direct.session == w.session {
                    w.token = direct.token;
                    self.execute(&name, &direct.orders);
                }
                let report = self.report_of(&name);
                if now < sent + 2000 {
                    self.send(STEP, Message::DirectAnswer { node, life, term, direct, report: Some(report) });
                }
            }
            Message::DirectAnswer { node, life, term, direct, report } => {
                let n = &mut self.nodes[node];
                if n.life == life {
                    if let Some(controller) = n.controller.as_mut() {
                        controller.direct_answer(term, &direct, report.as_ref());
                    }
                }
            }
        }
    }

    // ---- rules ----

    fn check(&mut self) {
        let now = self.now();
        let mut use_of = 0.0;
        let mut late = Vec::new();
        for (machine, task, _) in self.on_machines() {
            let job = &self.jobs[split_task(task).unwrap().0];
            use_of += job.spec.cpus;
            if job.told.is_some_and(|t| now > t + 42_000) {
                late.push(format!("ran_cancelled: {task} on {machine}"));
            }
        }
        late.into_iter().for_each(|l| self.breaks(l));
        if self.limit.is_some_and(|l| use_of > l + 1e-9) {
            self.breaks(format!("quota: {use_of}"));
        }
    }

    /// Once all troubles are over: everything is done, runs, or was called off, and is known.
    pub fn settles(&mut self, within: u64) {
        let until = self.now() + within;
        loop {
            let open: Vec<String> = self.unsettled();
            if open.is_empty() {
                return;
            }
            if self.now() > until {
                let roles: Vec<Option<Role>> =
                    self.nodes.iter().map(|n| n.controller.as_ref().map(|c| c.lead.role().clone())).collect();
                let machines: Vec<String> = self
                    .workers
                    .iter()
                    .map(|(n, w)| {
                        let tasks: Vec<_> =
                            w.tasks.iter().map(|(k, t)| (k.0.as_str(), k.1, t.state, t.reason)).collect();
                        format!("{n} {} session {} token {:x} node {} {tasks:?}", w.zone, w.session, w.token, w.node)
                    })
                    .collect();
                self.breaks(format!("not settled: {open:?}, {roles:?}, {machines:#?}"));
                if let Some(c) = self.leader().and_then(|l| self.nodes[l].controller.as_ref()) {
                    eprintln!("{}", c.scheduler.as_ref().unwrap().describe());
                }
                return;
            }
            self.apply();
        }
    }

    fn unsettled(&self) -> Vec<String> {
        let open = |(id, j): (&String, &Truth)| {
            let live = self.service.keys.contains_key(&store::live_key(id));
            let settled = match (self.over(id), j.spec.kind) {
                (Some(over), _) => !over.cancelled || self.running(id) == 0,
                (None, Kind::Service) => live && self.running(id) as u32 == j.spec.tasks,
                _ => false,
            };
            (!settled).then(|| format!("{id} live={live} running={} done={}", self.running(id), j.done.len()))
        };
        self.jobs.iter().filter_map(open).collect()
    }

    /// The epoch's number.
    pub fn epoch(&self) -> u64 {
        self.service.get::<store::EpochRecord>(&store::epoch_key()).map_or(0, |e| e.record.number)
    }

    /// A late write as a test wants it.
    pub fn later(&mut self, delay: u64, txn: Txn) {
        self.send(delay, Message::Late(txn));
    }

    /// The guard of the current epoch.
    pub fn epoch_guard(&self) -> Guard {
        guard(store::epoch_key(), self.service.keys[&store::epoch_key()].1)
    }
}
