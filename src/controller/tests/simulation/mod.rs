//! A deterministic simulation of whole controllers: a discrete-event simulator under a fake clock.
//!
//! The controllers are the real [`ControllerState`]s. The simulation plays everything around them, carries out what they ask
//! for as the controller's loops do, and checks the safety rules after each step. All randomness comes from one seeded
//! generator, so that a seed always gives the same run.
//!
//! | module | simulates |
//! | --- | --- |
//! | [`cluster`] | the controllers' processes: restarts, watches, leadership, durable writes, scheduling rounds |
//! | [`store`] | the consensus-backed key-value store with its leases and refusals |
//! | [`network`] | messages under way, and which processes reach each other |
//! | [`delivery`] | what a message does when it arrives |
//! | [`workers`] | the workers: heartbeats, leases, agent incarnations, tasks |
//! | [`cloud`] | the machines that are rented and released |
//! | [`users`] | submissions, cancellations, and the truth about each job |
//! | [`faults`] | what is broken at present |
//! | [`invariants`] | the safety rules, checked after each step |
//! | [`settling`] | liveness: everything is served once all faults are over |

mod cloud;
mod cluster;
mod delivery;
pub(super) mod faults;
mod invariants;
mod network;
mod settling;
mod store;
mod users;
mod workers;

pub(super) use cluster::node_name;
pub(super) use invariants::CANCELLATION_DEADLINE;
pub(super) use workers::WORKER_LEASE;

use crate::controller::state::ControllerState;
use crate::coordination::leadership::Authority;
use crate::time::Timestamp;
use cloud::Cloud;
use cluster::Node;
use faults::Faults;
use network::Network;
use rand::{rngs::StdRng, SeedableRng};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use store::SimulatedStore;
use users::SubmittedJob;
use workers::Worker;

/// Length of a step of the clock.
const STEP: Duration = Duration::from_millis(50);

/// A unit of time.
pub(super) const SECOND: Duration = Duration::from_secs(1);
/// A unit of time.
pub(super) const MILLISECOND: Duration = Duration::from_millis(1);

/// Number of controllers.
pub(super) const NODES: usize = 3;

/// Time in which the machines boot and a first leader is elected.
const STARTUP_TIME: Duration = Duration::from_secs(12);

/// Three controllers with everything around them.
pub(super) struct Simulation {
    clock: Rc<Cell<u64>>,
    /// The only source of randomness.
    pub rng: StdRng,
    /// The key-value store.
    pub store: SimulatedStore,
    /// The controllers' processes.
    pub nodes: Vec<Node>,
    /// The workers by machine.
    pub workers: BTreeMap<String, Worker>,
    /// The jobs that users submitted, by id.
    pub jobs: BTreeMap<String, SubmittedJob>,
    /// What is broken at present.
    pub faults: Faults,
    /// The rules that were violated, each with its time.
    pub violations: Vec<String>,
    /// Time from a start of a task to its first run: its image is fetched.
    pub image_fetch_time: Duration,
    /// How long the answer to a write of the start log takes.
    pub start_log_write_latency: Duration,
    cloud: Cloud,
    network: Network,
    /// The limit of the only team in CPUs.
    team_cpu_limit: Option<f64>,
}

impl Simulation {
    /// A cluster with that many machines in two zones, up and led.
    pub(super) fn new(seed: u64, machines: u32) -> Simulation {
        Simulation::with_team_cpu_limit(seed, machines, None)
    }

    /// A cluster whose only team may use so many CPUs.
    pub(super) fn with_team_cpu_limit(seed: u64, machines: u32, limit: Option<f64>) -> Simulation {
        let mut simulation = Simulation {
            clock: Rc::new(Cell::new(1000)),
            rng: StdRng::seed_from_u64(seed),
            store: SimulatedStore::default(),
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            faults: Faults::default(),
            violations: Vec::new(),
            image_fetch_time: 800 * MILLISECOND,
            start_log_write_latency: STEP,
            cloud: Cloud::new(machines),
            network: Network::default(),
            team_cpu_limit: limit,
        };
        simulation.run(STARTUP_TIME);
        assert!(simulation.leader().is_some() && simulation.workers.len() == machines as usize);
        simulation
    }

    /// The time of the clock.
    pub(super) fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.clock.get())
    }

    /// Lets time pass.
    pub(super) fn run(&mut self, duration: Duration) {
        let until = self.now() + duration;
        while self.now() < until {
            self.step();
        }
    }

    /// One step of the clock. The order is part of what a seed means.
    fn step(&mut self) {
        let now = self.now() + STEP;
        self.clock.set(now.as_millis());
        if now.as_millis().is_multiple_of(500) {
            tracing::info!(at = now.as_millis());
        }
        self.store.expire_leases(now);
        for message in self.network.take_due(now) {
            self.deliver(message);
        }
        for node in 0..self.nodes.len() {
            self.step_node(node);
        }
        self.exchange_peer_messages();
        self.confirm_cancellations();
        let machines: Vec<String> = self.workers.keys().cloned().collect();
        for machine in &machines {
            self.step_worker(machine);
        }
        self.check_invariants();
    }

    /// The controller that has the authority to start tasks.
    pub(super) fn leader(&self) -> Option<usize> {
        let leads = |controller: &ControllerState| {
            controller.is_scheduling() && controller.authority() == Authority::Full
        };
        self.nodes
            .iter()
            .position(|node| node.controller.as_ref().is_some_and(leads))
    }
}
