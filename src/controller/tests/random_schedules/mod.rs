//! Random schedules of faults, submissions and cancellations. The safety invariants are checked after each step, and in the
//! end all jobs have to settle.
//!
//! A schedule is determined by its seed and by the order of the calls of the random number generator. If that order or the
//! type of a random value changes, the seeds named in documents and commits no longer reproduce what they are named for.

mod scheduled_fault;
mod workload;

use super::simulation::Simulation;
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

/// Runs a random schedule. Faults that do not end by themselves may still be active when it ends.
fn run_schedule(simulation: &mut Simulation) {
    let mut workload = Workload::default();
    for _ in 0..4 {
        workload.submit(simulation);
    }
    let mut active_faults: Vec<ScheduledFault> = Vec::new();
    let end = simulation.now() + SCHEDULE_DURATION;
    while simulation.now() < end {
        simulation.run(ROUND_INTERVAL);
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
    let team_limit = seed.is_multiple_of(2).then_some(30.0);
    let mut simulation = Simulation::with_team_cpu_limit(seed, 6, team_limit);
    run_schedule(&mut simulation);
    simulation.end_all_faults();
    let time_limit = simulation.time_to_settle();
    simulation.settle(time_limit);
    simulation.violations
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
