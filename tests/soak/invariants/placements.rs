//! No task is in two places, and no team uses more than its limit.

use super::{Run, Violation};
use crate::harness::history::{Attempt, Observation};
use std::collections::HashMap;

/// CPUs beyond a limit by less than this are a rounding error.
const CPU_TOLERANCE: f64 = 1e-6;

pub(super) fn check(run: &Run, violations: &mut Vec<Violation>) {
    let mut on_machine: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    let mut used: HashMap<String, f64> = HashMap::new();
    for entry in run.history {
        match &entry.observation {
            Observation::TaskOnMachine(attempt) => {
                let places = on_machine.entry(&attempt.task).or_default();
                if let Some(first) = places.first() {
                    violations.push(Violation::InTwoPlaces {
                        first: (*first).clone(),
                        second: attempt.clone(),
                    });
                }
                places.push(attempt);
                add_usage(run, &mut used, attempt, 1.0);
                check_quota(run, &used, attempt, violations);
            }
            Observation::TaskGone(attempt) => {
                let places = on_machine.entry(&attempt.task).or_default();
                places.retain(|place| *place != attempt);
                add_usage(run, &mut used, attempt, -1.0);
            }
            _ => {}
        }
    }
}

fn add_usage(run: &Run, used: &mut HashMap<String, f64>, attempt: &Attempt, sign: f64) {
    if let Some(job) = run.registry.job(attempt.job()) {
        *used.entry(job.spec.team).or_default() += sign * job.spec.cpus;
    }
}

fn check_quota(
    run: &Run,
    used: &HashMap<String, f64>,
    attempt: &Attempt,
    violations: &mut Vec<Violation>,
) {
    let Some(job) = run.registry.job(attempt.job()) else {
        return;
    };
    let team = job.spec.team;
    let used = used.get(&team).copied().unwrap_or_default();
    let limit = run
        .bounds
        .team_limits
        .iter()
        .find(|limit| limit.team == team);
    if limit.is_some_and(|limit| used > limit.cpus + CPU_TOLERANCE) {
        violations.push(Violation::OverQuota(team));
    }
}
