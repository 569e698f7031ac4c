//! Nothing of a job runs for long after its cancellation was confirmed, and nothing of a job is started after its end.

use super::{millis, Run, Violation};
use crate::harness::history::{Answer, Attempt, CommandSource, Millis, Observation, Request};
use hollowswitch::protocol::JobState;
use std::collections::HashMap;

/// Time for which a direct command may be on its way: the controller's timeout for the call.
const DIRECT_COMMAND_MS: Millis = 2000;

/// When each job was first known to have ended.
#[derive(Default)]
struct Ends<'a> {
    cancelled: HashMap<&'a str, Millis>,
    done: HashMap<&'a str, Millis>,
}

pub(super) fn check(run: &Run, violations: &mut Vec<Violation>) {
    let ends = find_ends(run);
    check_starts(run, &ends, violations);
    check_presence(run, &ends, violations);
}

fn find_ends<'a>(run: &Run<'a>) -> Ends<'a> {
    let mut ends = Ends::default();
    for entry in run.history {
        let Observation::Answered {
            job,
            request,
            answer: Answer::State(state),
            ..
        } = &entry.observation
        else {
            continue;
        };
        match (request, state) {
            // Only the answer to the cancellation confirms it: a question may be answered before the leader knows.
            (Request::Cancel, JobState::Cancelled) => {
                ends.cancelled.entry(job).or_insert(entry.at);
            }
            (_, JobState::Done) => {
                ends.done.entry(job).or_insert(entry.at);
            }
            _ => {}
        }
    }
    ends
}

fn check_starts(run: &Run, ends: &Ends, violations: &mut Vec<Violation>) {
    for entry in run.history {
        let Observation::StartExecuted { attempt, source } = &entry.observation else {
            continue;
        };
        let is_after = |end: Option<&Millis>| {
            end.is_some_and(|end| match source {
                CommandSource::HeartbeatReply(asked_at) => asked_at > end,
                CommandSource::Direct(arrived_at) => *arrived_at > end + DIRECT_COMMAND_MS,
            })
        };
        if is_after(ends.cancelled.get(attempt.job())) {
            violations.push(Violation::StartedAfterCancellation(attempt.clone()));
        }
        if is_after(ends.done.get(attempt.job())) {
            violations.push(Violation::StartedAfterDone(attempt.clone()));
        }
    }
}

/// Checks that the tasks of cancelled jobs leave their machines in time.
fn check_presence(run: &Run, ends: &Ends, violations: &mut Vec<Violation>) {
    let mut on_machine: Vec<&Attempt> = Vec::new();
    let mut check_gone = |attempt: &Attempt, at: Millis| {
        let confirmed_at = ends.cancelled.get(attempt.job());
        let is_late = |confirmed_at: &Millis| at > confirmed_at + millis(run.bounds.cancel);
        if confirmed_at.is_some_and(is_late) {
            violations.push(Violation::RanCancelled(attempt.clone()));
        }
    };
    for entry in run.history {
        match &entry.observation {
            Observation::TaskOnMachine(attempt) => on_machine.push(attempt),
            Observation::TaskGone(attempt) => {
                check_gone(attempt, entry.at);
                on_machine.retain(|other| *other != attempt);
            }
            _ => {}
        }
    }
    let end = run.history.last().map_or(0, |entry| entry.at);
    for attempt in on_machine {
        check_gone(attempt, end);
    }
}
