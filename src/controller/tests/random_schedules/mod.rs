//! Random schedules of faults, drawn from seeds: all rules are checked after each step, and in the end everything settles.
//!
//! The order of draws is part of what a seed means: it must not change, or the seeds named in documents and commits lose their
//! meaning.

mod scheduled_fault;
mod workload;

use super::simulation::Simulation;
use rand::Rng;
use scheduled_fault::ScheduledFault;
use std::time::Duration;
use workload::{cancel_any_job, Workload};

/// Length of a schedule.
const SCHEDULE: Duration = Duration::from_mins(2);

/// Time between two rounds of draws.
const ROUND: Duration = Duration::from_millis(500);

/// Number of seeds that are played unless `WORLD_SEEDS` names another.
const SEEDS: u64 = 40;

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
            simulation.faults.heartbeat_duplicate_probability = 0.2;
            simulation.faults.command_delay_probability = 0.1;
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
    let mut simulation = Simulation::with_team_cpu_limit(seed, 6, team_limit);
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
