//! A deterministic simulator of a cluster with a simulated clock that advances in fixed steps.
//!
//! The controllers are real [`ControllerState`]s. The simulator replaces everything around them, executes their requests as the
//! controller's loops do, and checks the safety invariants after each step. All randomness comes from one seeded generator, so a
//! seed always produces the same run.
//!
//! | module | contents |
//! | --- | --- |
//! | [`cluster`] | the controllers' processes: restarts, watches, leadership, durable writes, scheduling rounds |
//! | [`store`] | the consensus-backed key-value store with its leases, outages and refusals |
//! | [`network`] | messages in flight |
//! | [`delivery`] | the effect of each message when it arrives |
//! | [`workers`] | the workers: heartbeats, leases, sessions, tasks |
//! | [`cloud`] | the rental, boot and release of machines |
//! | [`users`] | submissions and cancellations, and the actual progress of each job |
//! | [`faults`] | the faults in effect, including which processes reach each other |
//! | [`invariants`] | the safety invariants |
//! | [`settling`] | the liveness check: every job settles once all faults have ended |

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
pub(super) use store::SizeLimits;
pub(super) use workers::WORKER_LEASE;

use crate::config::NextStateLimits;
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

/// Time by which the clock advances in a step.
const STEP: Duration = Duration::from_millis(50);

/// One second.
pub(super) const SECOND: Duration = Duration::from_secs(1);
/// One millisecond.
pub(super) const MILLISECOND: Duration = Duration::from_millis(1);

/// Number of controllers, which are numbered from 0.
pub(super) const NODES: usize = 3;

/// Time for the machines to boot and a first leader to be elected.
const STARTUP_TIME: Duration = Duration::from_secs(12);

/// A cluster of [`NODES`] controllers, with its store, network, workers, cloud and users.
pub(super) struct Simulation {
    clock: Rc<Cell<u64>>,
    /// The only source of randomness of a run.
    pub rng: StdRng,
    /// The key-value store.
    pub store: SimulatedStore,
    /// The controllers' processes.
    pub nodes: Vec<Node>,
    /// The workers, by name of their machine.
    pub workers: BTreeMap<String, Worker>,
    /// The jobs that users have submitted, by id.
    pub jobs: BTreeMap<String, SubmittedJob>,
    /// The faults in effect.
    pub faults: Faults,
    /// Descriptions of the violations so far, each with its time in milliseconds.
    pub violations: Vec<String>,
    /// Time that a worker takes to fetch the image of a task before the task runs.
    pub image_fetch_time: Duration,
    /// Time until the response to a write of the start log arrives.
    pub start_log_write_latency: Duration,
    cloud: Cloud,
    network: Network,
    /// Settings of the controllers that differ between tests.
    deployment: Deployment,
}

/// Settings of the controllers that differ between tests.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Deployment {
    /// Maximum CPUs of the only team; unlimited if absent.
    pub team_cpu_limit: Option<f64>,
    /// Limits of the store that the settings announce.
    pub next_limits: Option<NextStateLimits>,
}

impl Simulation {
    /// Creates a cluster with machines in two zones and lets it run until the machines are up and a controller leads.
    pub(super) fn new(seed: u64, machines: u32) -> Simulation {
        Simulation::with_team_cpu_limit(seed, machines, None)
    }

    /// Creates a cluster like [`Simulation::new`] whose only team may use at most `limit` CPUs.
    pub(super) fn with_team_cpu_limit(seed: u64, machines: u32, limit: Option<f64>) -> Simulation {
        let deployment = Deployment {
            team_cpu_limit: limit,
            ..Deployment::default()
        };
        Simulation::with_deployment(seed, machines, deployment)
    }

    /// Creates a cluster like [`Simulation::new`] with these settings.
    pub(super) fn with_deployment(seed: u64, machines: u32, deployment: Deployment) -> Simulation {
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
            deployment,
        };
        simulation.run(STARTUP_TIME);
        assert!(simulation.leader().is_some() && simulation.workers.len() == machines as usize);
        simulation
    }

    /// Returns the time of the simulated clock.
    pub(super) fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.clock.get())
    }

    /// Runs the simulation for a time, rounded up to whole steps.
    pub(super) fn run(&mut self, duration: Duration) {
        let until = self.now() + duration;
        while self.now() < until {
            self.step();
        }
    }

    /// Advances the clock by one step. Another order of the calls would change the run that a seed produces.
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

    /// Returns the controller that has the authority to start tasks, if any.
    pub(super) fn leader(&self) -> Option<usize> {
        let leads = |controller: &ControllerState| {
            controller.is_scheduling() && controller.authority() == Authority::Full
        };
        self.nodes
            .iter()
            .position(|node| node.controller.as_ref().is_some_and(leads))
    }
}
