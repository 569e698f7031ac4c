//! Once the troubles are over, every accepted job is answered, and begins while there is room.

use super::{millis, Run, Violation};
use crate::harness::history::{Answer, ControllerAnswer, Millis, Observation, Request};
use crate::harness::topology::ControllerId;
use hollowswitch::protocol::JobState;
use std::collections::{BTreeMap, BTreeSet};

pub(super) fn check(run: &Run, violations: &mut Vec<Violation>) {
    let time_of = |wanted: &Observation| {
        let entry = run.history.iter().find(|it| it.observation == *wanted);
        entry.map(|entry| entry.at)
    };
    let Some(quiet_at) = time_of(&Observation::TroublesOver) else {
        return;
    };
    let over_at = time_of(&Observation::RunOver).unwrap_or(Millis::MAX);
    let accepted = accepted_jobs(run);
    check_answers(run, &accepted, quiet_at, violations);
    check_begins(run, &accepted, quiet_at, over_at, violations);
}

/// Returns the jobs that users were told are accepted, with the time of the first such answer.
fn accepted_jobs<'a>(run: &Run<'a>) -> BTreeMap<&'a str, Millis> {
    let mut accepted = BTreeMap::new();
    for entry in run.history {
        let Some((job, answer)) = ControllerAnswer::of(entry) else {
            continue;
        };
        if answer.request == Request::Submit && matches!(answer.answer, Answer::State(_)) {
            accepted.entry(job).or_insert(entry.at);
        }
    }
    accepted
}

/// Checks that a question about each job was answered in time by every controller.
fn check_answers(
    run: &Run,
    accepted: &BTreeMap<&str, Millis>,
    quiet_at: Millis,
    violations: &mut Vec<Violation>,
) {
    let deadline = quiet_at + millis(run.bounds.answer);
    let mut answered = BTreeSet::new();
    for entry in run.history {
        let Some((job, answer)) = ControllerAnswer::of(entry) else {
            continue;
        };
        let is_in_time = answer.received_at >= quiet_at && answer.received_at <= deadline;
        if is_in_time && matches!(answer.answer, Answer::State(_)) {
            answered.insert((job, answer.controller));
        }
    }
    for (job, accepted_at) in accepted {
        // A job that was accepted later got its answer then.
        if *accepted_at >= quiet_at {
            continue;
        }
        for controller in ControllerId::all() {
            if !answered.contains(&(*job, controller)) {
                violations.push(Violation::Unanswered((*job).to_string(), controller));
            }
        }
    }
}

/// Checks that a task of each job that shall run was on a machine, or that its team was at its limit, when the time was over.
fn check_begins(
    run: &Run,
    accepted: &BTreeMap<&str, Millis>,
    quiet_at: Millis,
    over_at: Millis,
    violations: &mut Vec<Violation>,
) {
    // A run ends when everything has settled, or when the time is over.
    if over_at < quiet_at + millis(run.bounds.start) {
        return;
    }
    let mut begun = BTreeSet::new();
    let mut ended = BTreeSet::new();
    for entry in run.history {
        if let Observation::TaskOnMachine(attempt) = &entry.observation {
            begun.insert(attempt.job());
        }
        if let Some((job, answer)) = ControllerAnswer::of(entry) {
            let is_cancel = answer.request == Request::Cancel;
            if is_cancel || answer.answer == Answer::State(JobState::Cancelled) {
                ended.insert(job);
            }
        }
    }
    for job in accepted.keys() {
        let may_wait = run.registry.job(job).is_some_and(|description| {
            let limits = &run.bounds.team_limits;
            let limit = limits.iter().find(|it| it.team == description.spec.team);
            limit.is_some_and(|limit| limit.is_tight)
        });
        if !begun.contains(job) && !ended.contains(job) && !may_wait {
            violations.push(Violation::NeverBegan((*job).to_string()));
        }
    }
}
