//! Random schedules of faults, submissions and cancellations. The safety invariants are checked after each step, and in the
//! end all jobs have to settle.
//!
//! A schedule is determined by its seed and by the order of the calls of the random number generator. If that order or the
//! type of a random value changes, the seeds named in documents and commits no longer reproduce what they are named for.

mod scheduled_fault;
mod workload;

use super::simulation::{Deployment, Simulation, SizeLimits};
use crate::config::NextStateLimits;
use rand::Rng;
use scheduled_fault::ScheduledFault;
use std::time::Duration;
use workload::{cancel_random_job, Workload};

/// Duration of a schedule.
const SCHEDULE_DURATION: Duration = Duration::from_mins(2);

/// Time between two rounds, in each of which a job may be submitted, a job cancelled, and a fault injected.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Number of seeds that are run unless `WORLD_SEEDS` sets another number.
const DEFAULT_SEEDS: u64 = 40;

/// Number of seeds that are run with lowered limits of the store unless `WORLD_SEEDS` sets another number.
const DEFAULT_SEEDS_WITH_LOWERED_LIMITS: u64 = 20;

/// Number of machines.
const MACHINES: u32 = 6;

/// Number of machines of the schedules with lowered limits, whose starts take more than one slot after the change.
const MACHINES_WITH_LOWERED_LIMITS: u32 = 16;

/// Maximum CPUs of the team with even seeds in the schedules without lowered limits.
const TEAM_CPU_LIMIT: f64 = 30.0;

/// Limits of the store after it has lowered them: a slot of the start log no longer holds the starts of all machines.
const LOWERED_LIMITS: SizeLimits = SizeLimits {
    value_bytes: 512,
    changes: 3,
};

/// Runs a random schedule. Faults that do not end by themselves may still be active when it ends.
fn run_schedule(simulation: &mut Simulation) {
    run_schedule_with(simulation, |_| {});
}

/// Runs a random schedule like [`run_schedule`] and calls a function in each of its rounds.
fn run_schedule_with(simulation: &mut Simulation, mut in_round: impl FnMut(&mut Simulation)) {
    let mut workload = Workload::default();
    for _ in 0..4 {
        workload.submit(simulation);
    }
    let mut active_faults: Vec<ScheduledFault> = Vec::new();
    let end = simulation.now() + SCHEDULE_DURATION;
    while simulation.now() < end {
        simulation.run(ROUND_INTERVAL);
        in_round(simulation);
        if simulation.rng.gen_bool(0.10) {
            workload.submit(simulation);
        }
        if simulation.rng.gen_bool(0.08) {
            cancel_random_job(simulation);
        }
        if simulation.rng.gen_bool(0.12) {
            let fault = ScheduledFault::draw(simulation);
            fault.begin(simulation);
            active_faults.push(fault);
            // From the first fault on, heartbeats may also be duplicated and direct commands delayed.
            simulation.faults.heartbeat_duplicate_probability = 0.2;
            simulation.faults.command_delay_probability = 0.1;
        }
        let now = simulation.now();
        let (ended, remaining): (Vec<ScheduledFault>, Vec<ScheduledFault>) = active_faults
            .into_iter()
            .partition(|fault| fault.ends_at <= now);
        active_faults = remaining;
        for fault in &ended {
            fault.end(simulation);
        }
    }
}

/// Runs the schedule of a seed, ends all faults, waits for the jobs to settle, and returns the violations. With even seeds,
/// the team has a CPU limit.
fn violations_of(seed: u64) -> Vec<String> {
    let team_limit = seed.is_multiple_of(2).then_some(TEAM_CPU_LIMIT);
    let mut simulation = Simulation::with_team_cpu_limit(seed, MACHINES, team_limit);
    run_schedule(&mut simulation);
    settle(simulation).violations
}

/// Ends all faults and waits for the jobs to settle.
fn settle(mut simulation: Simulation) -> Simulation {
    simulation.end_all_faults();
    let time_limit = simulation.time_to_settle();
    simulation.settle(time_limit);
    simulation
}

/// Runs the schedule of a seed like [`violations_of`], in the first half of which the store lowers its limits. With odd seeds, the
/// settings announce that.
fn run_with_lowered_limits(seed: u64) -> Simulation {
    let is_announced = !seed.is_multiple_of(2);
    let deployment = Deployment {
        team_cpu_limit: None,
        next_limits: is_announced.then_some(NextStateLimits {
            value_kb: Some(LOWERED_LIMITS.value_bytes as f64 / 1024.0),
            txn_ops: Some(LOWERED_LIMITS.changes),
            ..NextStateLimits::default()
        }),
    };
    let mut simulation =
        Simulation::with_deployment(seed, MACHINES_WITH_LOWERED_LIMITS, deployment);
    let lowered_at = simulation.now() + SCHEDULE_DURATION * (seed % 10) as u32 / 20;
    run_schedule_with(&mut simulation, |simulation| {
        if simulation.now() >= lowered_at {
            simulation.store.limits = LOWERED_LIMITS;
        }
    });
    settle(simulation)
}

/// Returns the number in an environment variable, or `default` if it is unset or not a number.
fn number_from_env(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// `WORLD_FROM` sets the first seed and `WORLD_SEEDS` the number of seeds; `WORLD_LOG` enables logging. See the README.
#[test]
fn random_schedules_of_faults_violate_no_invariant() {
    if std::env::var_os("WORLD_LOG").is_some() {
        tracing_subscriber::fmt()
            .without_time()
            .with_target(false)
            .with_ansi(false)
            .init();
    }
    let first_seed = number_from_env("WORLD_FROM", 0);
    for seed in first_seed..first_seed + number_from_env("WORLD_SEEDS", DEFAULT_SEEDS) {
        let violations = violations_of(seed);
        assert!(
            violations.is_empty(),
            "seed {seed}: {:#?}",
            &violations[..violations.len().min(5)]
        );
    }
}

/// Faults that meet a change of the limits. Not a single write may exceed announced limits, whatever else happens.
#[test]
fn random_schedules_with_lowered_limits_violate_no_invariant() {
    let first_seed = number_from_env("WORLD_FROM", 0);
    let seeds = number_from_env("WORLD_SEEDS", DEFAULT_SEEDS_WITH_LOWERED_LIMITS);
    let mut unannounced_refusals = 0;
    for seed in first_seed..first_seed + seeds {
        let simulation = run_with_lowered_limits(seed);
        let violations = &simulation.violations;
        assert!(
            violations.is_empty(),
            "seed {seed}: {:#?}",
            &violations[..violations.len().min(5)]
        );
        let refusals = simulation.store.refused_for_size;
        if seed.is_multiple_of(2) {
            unannounced_refusals += refusals;
        } else {
            assert_eq!(refusals, 0, "seed {seed}");
        }
    }
    assert!(
        unannounced_refusals > 0 || seeds < 2,
        "no write was refused, so that nothing was tested"
    );
}
