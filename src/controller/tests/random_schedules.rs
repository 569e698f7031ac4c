//! Random schedules of faults, drawn from seeds: all rules are checked after each step, and in the end everything settles.

use super::simulation::faults::IsolatedZone;
use super::simulation::{Simulation, NODES};
use crate::protocol::{Kind, Priority};
use crate::scheduler::tests::spec;
use crate::time::{whole_millis, Timestamp};
use rand::Rng;
use std::time::Duration;

/// Length of a schedule.
const SCHEDULE: Duration = Duration::from_mins(2);

/// Time between two rounds of draws.
const ROUND: Duration = Duration::from_millis(500);

/// Number of seeds that are played unless `WORLD_SEEDS` names another.
const SEEDS: u64 = 40;

/// Most services, so that they leave room for the rest.
const SERVICES: u32 = 2;

/// A fault that a schedule may begin. Its index in [`FaultKind::ALL`] is what is drawn.
#[derive(Debug, Clone, Copy)]
enum FaultKind {
    StoreRefusal,
    StoreOutage,
    Crash,
    ProcessPause,
    HungWorker,
    DeafWorker,
    MuteWorker,
    CutPeers,
    CloudOutage,
    LateWrites,
    IsolatedZone,
    CrashOfAll,
    DelayedHeartbeat,
    CutFromWorkers,
    CutFromPeers,
    CutFromNetwork,
    PauseBeforeSending,
}

impl FaultKind {
    const ALL: [FaultKind; 17] = [
        FaultKind::StoreRefusal,
        FaultKind::StoreOutage,
        FaultKind::Crash,
        FaultKind::ProcessPause,
        FaultKind::HungWorker,
        FaultKind::DeafWorker,
        FaultKind::MuteWorker,
        FaultKind::CutPeers,
        FaultKind::CloudOutage,
        FaultKind::LateWrites,
        FaultKind::IsolatedZone,
        FaultKind::CrashOfAll,
        FaultKind::DelayedHeartbeat,
        FaultKind::CutFromWorkers,
        FaultKind::CutFromPeers,
        FaultKind::CutFromNetwork,
        FaultKind::PauseBeforeSending,
    ];
}

/// A fault of a schedule.
struct ScheduledFault {
    kind: FaultKind,
    node: usize,
    machine: String,
    duration: Duration,
    ends_at: Timestamp,
}

impl ScheduledFault {
    /// Draws a fault: of the leader more often than of another controller.
    fn draw(simulation: &mut Simulation) -> ScheduledFault {
        let leader = simulation.leader();
        let leader = leader.filter(|_| simulation.rng.gen_bool(0.6));
        // Drawn in any case: the order of draws is part of what a seed means.
        let any_node = simulation.rng.gen_range(0..NODES);
        let machine = simulation.rng.gen_range(0..simulation.workers.len());
        let duration = Duration::from_millis(simulation.rng.gen_range(300..20_000));
        let kind: u8 = simulation.rng.gen_range(0..17);
        ScheduledFault {
            kind: FaultKind::ALL[usize::from(kind)],
            node: leader.unwrap_or(any_node),
            machine: simulation.nth_machine(machine),
            duration,
            ends_at: simulation.now() + duration,
        }
    }

    fn begin(&self, simulation: &mut Simulation) {
        let (node, machine, duration) = (self.node, &self.machine, self.duration);
        self.log(simulation);
        match self.kind {
            FaultKind::StoreRefusal => simulation.store.refuse(node),
            FaultKind::StoreOutage => simulation.begin_store_outage(),
            FaultKind::Crash => simulation.crash(node, duration / 3),
            FaultKind::ProcessPause => simulation.pause(node, duration / 2),
            FaultKind::HungWorker => simulation.hang_worker(machine, duration),
            FaultKind::DeafWorker => simulation.deafen_worker(machine, duration),
            FaultKind::MuteWorker => simulation.mute_worker(machine, duration),
            FaultKind::CutPeers => simulation.cut_peers(duration),
            FaultKind::CloudOutage => simulation.faults.cloud_down = true,
            FaultKind::LateWrites => simulation.faults.late_writes = 0.3,
            FaultKind::IsolatedZone => self.isolate_zone(simulation),
            FaultKind::CrashOfAll => self.crash_all(simulation),
            FaultKind::DelayedHeartbeat => {
                simulation.worker_mut(machine).delay_next_heartbeat = duration;
            }
            FaultKind::CutFromWorkers => {
                simulation.faults.cut_from_workers.insert(node);
            }
            FaultKind::CutFromPeers => {
                simulation.faults.cut_from_peers.insert(node);
            }
            FaultKind::CutFromNetwork => simulation.disconnect(node),
            FaultKind::PauseBeforeSending => {
                simulation.faults.pause_before_send = duration;
            }
        }
    }

    fn log(&self, simulation: &Simulation) {
        let (now, kind, duration_ms) = (
            simulation.now().as_millis(),
            self.kind,
            whole_millis(self.duration),
        );
        let (node, machine) = (self.node, self.machine.as_str());
        tracing::info!(now, ?kind, node, machine, duration_ms, "fault begins");
    }

    fn isolate_zone(&self, simulation: &mut Simulation) {
        simulation.faults.isolated_zone = Some(IsolatedZone {
            zone: ["a", "b"][self.node % 2],
            node: self.node,
        });
        simulation.store.refuse(self.node);
    }

    fn crash_all(&self, simulation: &mut Simulation) {
        for (node, divisor) in (0..NODES).zip(1..) {
            simulation.crash(node, self.duration / divisor);
        }
    }

    /// Ends a fault that does not end by itself.
    fn end(&self, simulation: &mut Simulation) {
        let node = self.node;
        match self.kind {
            FaultKind::StoreRefusal => simulation.store.accept(node),
            FaultKind::StoreOutage => simulation.end_store_outage(),
            FaultKind::CloudOutage => simulation.faults.cloud_down = false,
            FaultKind::LateWrites => simulation.faults.late_writes = 0.0,
            FaultKind::IsolatedZone => {
                simulation.faults.isolated_zone = None;
                simulation.store.accept(node);
            }
            FaultKind::CutFromWorkers => {
                simulation.faults.cut_from_workers.remove(&node);
            }
            FaultKind::CutFromPeers => {
                simulation.faults.cut_from_peers.remove(&node);
            }
            FaultKind::CutFromNetwork => simulation.reconnect(node),
            FaultKind::Crash
            | FaultKind::ProcessPause
            | FaultKind::HungWorker
            | FaultKind::DeafWorker
            | FaultKind::MuteWorker
            | FaultKind::CutPeers
            | FaultKind::CrashOfAll
            | FaultKind::DelayedHeartbeat
            | FaultKind::PauseBeforeSending => {}
        }
    }
}

/// What the users of a schedule have submitted.
#[derive(Default)]
struct Workload {
    jobs: u32,
    services: u32,
}

impl Workload {
    /// Submits a job of a random kind.
    fn submit(&mut self, simulation: &mut Simulation) {
        self.jobs += 1;
        let rng = &mut simulation.rng;
        let tasks = rng.gen_range(1..9);
        let mut job = spec(&format!("wk-{}", self.jobs), tasks);
        match rng.gen_range(0..6) {
            0 if self.services < SERVICES => {
                self.services += 1;
                job.kind = Kind::Service;
                job.scatter = rng.gen_bool(0.5);
                job.tasks = tasks.min(3);
            }
            1 => job.zone = Some("a".into()),
            2 => job.together = true,
            _ => {}
        }
        let run_time = Duration::from_millis(rng.gen_range(500..30_000));
        job.priority = [
            Priority::Low,
            Priority::Normal,
            Priority::High,
            Priority::Production,
        ][rng.gen_range(0..4)];
        let stagger = Duration::from_millis(rng.gen_range(0..4) * 2500);
        let id = job.id.clone();
        simulation.submit(job, run_time);
        simulation.job_mut(&id).stagger = stagger;
    }
}

/// A user cancels a random job through a random controller.
fn cancel_any_job(simulation: &mut Simulation) {
    let cancellable: Vec<String> = simulation
        .jobs
        .keys()
        .filter(|id| simulation.is_cancellable(id))
        .cloned()
        .collect();
    if cancellable.is_empty() {
        return;
    }
    let job = simulation.rng.gen_range(0..cancellable.len());
    let node = simulation.rng.gen_range(0..NODES);
    simulation.cancel(node, &cancellable[job]);
}

/// Plays a random schedule of faults.
fn play_faults(simulation: &mut Simulation) {
    let mut workload = Workload::default();
    for _ in 0..4 {
        workload.submit(simulation);
    }
    let mut under_way: Vec<ScheduledFault> = Vec::new();
    let end = simulation.now() + SCHEDULE;
    while simulation.now() < end {
        simulation.run(ROUND);
        if simulation.rng.gen_bool(0.10) {
            workload.submit(simulation);
        }
        if simulation.rng.gen_bool(0.08) {
            cancel_any_job(simulation);
        }
        if simulation.rng.gen_bool(0.12) {
            let fault = ScheduledFault::draw(simulation);
            fault.begin(simulation);
            under_way.push(fault);
            simulation.faults.duplicated_heartbeats = 0.2;
            simulation.faults.delayed_orders = 0.1;
        }
        let now = simulation.now();
        let (over, rest): (Vec<ScheduledFault>, Vec<ScheduledFault>) = under_way
            .into_iter()
            .partition(|fault| fault.ends_at <= now);
        under_way = rest;
        for fault in &over {
            fault.end(simulation);
        }
    }
}

/// Plays the schedule of a seed to its end; returns the rules that were violated.
fn violations_of(seed: u64) -> Vec<String> {
    let team_limit = seed.is_multiple_of(2).then_some(30.0);
    let mut simulation = Simulation::with_team_limit(seed, 6, team_limit);
    play_faults(&mut simulation);
    simulation.end_all_faults();
    let within = simulation.time_to_settle();
    simulation.settle(within);
    simulation.violations
}

/// A number of the environment.
fn environment_number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// More seeds, or the log of one, on demand: see the README.
#[test]
fn no_rule_is_violated_in_random_schedules_of_faults() {
    if std::env::var_os("WORLD_LOG").is_some() {
        tracing_subscriber::fmt()
            .without_time()
            .with_target(false)
            .with_ansi(false)
            .init();
    }
    let from = environment_number("WORLD_FROM", 0);
    for seed in from..from + environment_number("WORLD_SEEDS", SEEDS) {
        let violations = violations_of(seed);
        assert!(
            violations.is_empty(),
            "seed {seed}: {:#?}",
            &violations[..violations.len().min(5)]
        );
    }
}
