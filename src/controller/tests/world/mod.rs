//! A scripted world under a fake clock: a state service with leader leases, watches, refusals and late transactions; workers with
//! leases, sessions, tokens and images; a cloud; users. The controllers in it are the service's own `ControllerState`s; this module
//! only carries out what they ask for, as the loops of `node` do, and checks the rules after each step.

mod controllers;
mod rules;
mod service;
mod workers;

use service::Service;

use crate::config::Settings;
use crate::controller::clock::Clock;
use crate::controller::state::{ControllerState, RoundOutcome, SendLimits, StartLogWrite};
use crate::controller::HeartbeatOutcome;
use crate::coordination::cancellations::Notice;
use crate::coordination::leadership::Term;
use crate::coordination::leadership::{Authority, LeadershipEvent, Role};
use crate::coordination::peers::CancelledJob;
use crate::protocol::{
    split_task, Change, Command, Event, ExitReason, FencingToken, Guard, JobSpec, Kind,
    MachineType, Report, ReportReply, TaskReport, TaskState, Txn,
};
use crate::scheduler::{Append, Direct, Hardware, MachineState, Origin};
use crate::store::{
    self, guard, Decided, LiveRecord, Mirror, OverRecord, RentalRecord, StoreError, Versioned,
};
use ciborium::Value;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// One step of the clock.
const STEP: u64 = 50;

/// How long a watch waits; as in `node`.
const WATCH: u64 = 4000;

const ZONES: [&str; 2] = ["a", "b"];

/// A write of the start log under way.
struct Writing {
    append: Append,
    term: Term,
    done: Result<Decided, StoreError>,
    at: u64,
}

/// A controller's process and its calls.
pub(super) struct Controller {
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
pub(super) struct Worker {
    zone: String,
    token: FencingToken,
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
        answer: HeartbeatOutcome,
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
pub(super) struct Truth {
    pub spec: JobSpec,
    pub run_ms: u64,
    /// By how much later each task ends than the one before it.
    pub apart_ms: u64,
    pub done: BTreeSet<u32>,
    /// When its user was told that it is cancelled.
    pub told: Option<u64>,
    asked: bool,
    /// Durable at a revision; the node answers when no start can come any more.
    answering: Option<(usize, Notice, u64)>,
    placed_at: u64,
}

pub(super) struct World {
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
    /// Pairs of controllers of which the first does not reach the second.
    pub paths_cut: BTreeSet<(usize, usize)>,
    pub fetch_ms: u64,
    /// Commands sent straight to workers that are held up take at least this long.
    pub held_ms: u64,
    /// How long the answer to a write of the start log takes.
    pub write_ms: u64,
    /// How long a connection to a worker takes to open.
    pub slow_connections_ms: u64,
    /// The next controller that decides to start something stands still for so long before it sends that.
    pub stands_still_ms: u64,
    /// Watches that were silenced once stay silent, whatever is opened anew.
    pub watches_stuck: bool,
}

fn settings(node: usize, nodes: usize, limit: Option<f64>) -> Settings {
    let mut s = crate::config::tests::settings();
    let name = |n: usize| format!("drover-{n}");
    s.platform.node = name(node);
    let peer = |n| crate::config::Peer {
        node: name(n),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
    };
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
    pub(super) fn new(seed: u64, machines: usize) -> World {
        World::limited(seed, machines, None)
    }

    pub(super) fn limited(seed: u64, machines: usize, limit: Option<f64>) -> World {
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
            paths_cut: BTreeSet::new(),
            fetch_ms: 800,
            held_ms: 2000,
            write_ms: STEP,
            stands_still_ms: 0,
            slow_connections_ms: 0,
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

    pub(super) fn now(&self) -> u64 {
        self.clock.get()
    }

    pub(super) fn run(&mut self, ms: u64) {
        let until = self.now() + ms;
        while self.now() < until {
            self.step();
        }
    }

    /// The controller with the authority to start.
    pub(super) fn leader(&self) -> Option<usize> {
        let full = |c: &Controller| {
            c.controller
                .as_ref()
                .is_some_and(|c| c.scheduler.is_some() && c.authority() == Authority::Full)
        };
        self.nodes.iter().position(full)
    }

    pub(super) fn refuse(&mut self, node: usize, on: bool) {
        if on {
            self.service.refused.insert(node);
        } else {
            self.service.refused.remove(&node);
        }
    }

    pub(super) fn outage(&mut self, on: bool) {
        if on {
            self.service.down = true;
        } else if self.service.down {
            self.service.up(self.clock.get());
        }
    }

    pub(super) fn crash(&mut self, node: usize, back_after: u64) {
        let back_at = self.now() + back_after;
        let n = &mut self.nodes[node];
        (n.controller, n.watch, n.awaits, n.writing, n.back_at) = (None, None, None, None, back_at);
        n.life += 1;
    }

    pub(super) fn submit(&mut self, spec: JobSpec, run_ms: u64) {
        let record = LiveRecord {
            spec: spec.clone(),
            at_ms: self.now(),
        };
        assert!(matches!(
            self.service.decide(&store::submit_txn(&spec.id, &record)),
            Decided::Applied(_)
        ));
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
    pub(super) fn cancel(&mut self, node: usize, id: &str) -> bool {
        self.jobs.get_mut(id).unwrap().asked = true;
        let now = self.now();
        if self.service.reach(node).is_err() || now < self.nodes[node].frozen_until {
            return false;
        }
        let Some(controller) = self.nodes[node].controller.as_mut() else {
            return false;
        };
        let Some(live) = controller.replica.live.get(id).cloned() else {
            return false;
        };
        let Decided::Applied(revision) = self.service.decide(&store::abort_txn(id, &live)) else {
            return false;
        };
        let tasks = live.record.spec.tasks;
        let notice = controller.record_cancellation(CancelledJob {
            job: id.into(),
            tasks,
            revision,
        });
        self.jobs.get_mut(id).unwrap().answering = Some((node, notice, now));
        true
    }

    /// Whether a user may still call this job off.
    pub(super) fn cancellable(&self, id: &str) -> bool {
        let j = &self.jobs[id];
        !j.asked && self.service.keys.contains_key(&store::live_key(id))
    }

    pub(super) fn over(&self, id: &str) -> Option<OverRecord> {
        self.service
            .get::<OverRecord>(&store::over_key(id))
            .map(|v| v.record)
    }

    pub(super) fn step(&mut self) {
        self.clock.set(self.now() + STEP);
        if self.now().is_multiple_of(500) {
            tracing::info!(at = self.now());
        }
        let now = self.now();
        self.service.tick(now);
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.queue = rest;
        due.into_iter().for_each(|(_, m)| self.deliver(m));
        (0..self.nodes.len()).for_each(|n| self.drive(n));
        self.peers();
        self.answer_users();
        let names: Vec<String> = self.workers.keys().cloned().collect();
        names.iter().for_each(|n| self.work(n));
        self.check();
    }

    /// The epoch's number.
    pub(super) fn epoch(&self) -> u64 {
        self.service
            .get::<store::EpochRecord>(&store::epoch_key())
            .map_or(0, |e| e.record.number)
    }

    /// A late write as a test wants it.
    pub(super) fn later(&mut self, delay: u64, txn: Txn) {
        self.send(delay, Message::Late(txn));
    }

    /// The guard of the current epoch.
    pub(super) fn epoch_guard(&self) -> Guard {
        guard(store::epoch_key(), self.service.keys[&store::epoch_key()].1)
    }
}
