//! No answer is older than one that was given before, at any controller, and none is untrue.

use super::{Run, Violation};
use crate::harness::history::{Answer, ControllerAnswer, Millis, Observation, Request};
use hollowswitch::protocol::JobState;
use std::collections::{BTreeMap, HashMap, HashSet};

pub(super) fn check(run: &Run, violations: &mut Vec<Violation>) {
    let mut answers: BTreeMap<&str, Vec<ControllerAnswer>> = BTreeMap::new();
    for entry in run.history {
        if let Some((job, answer)) = ControllerAnswer::of(entry) {
            answers.entry(job).or_default().push(answer);
        }
    }
    let done_tasks = DoneTasks::of(run);
    for (job, answers) in answers {
        check_job(run, job, &answers, &done_tasks, violations);
    }
}

/// When the tasks of each job were done, in the order of time.
struct DoneTasks<'a>(HashMap<&'a str, Vec<Millis>>);

impl<'a> DoneTasks<'a> {
    fn of(run: &Run<'a>) -> DoneTasks<'a> {
        let mut times: HashMap<&str, Vec<Millis>> = HashMap::new();
        let mut seen: HashSet<&str> = HashSet::new();
        for entry in run.history {
            if let Observation::TaskDone(attempt) = &entry.observation {
                if seen.insert(&attempt.task) {
                    times.entry(attempt.job()).or_default().push(entry.at);
                }
            }
        }
        DoneTasks(times)
    }

    /// Returns the number of tasks of a job that were done at a time.
    fn count(&self, job: &str, at: Millis) -> usize {
        let times = self.0.get(job);
        times.map_or(0, |times| times.iter().filter(|done| **done <= at).count())
    }
}

fn check_job(
    run: &Run,
    job: &str,
    answers: &[ControllerAnswer],
    done_tasks: &DoneTasks,
    violations: &mut Vec<Violation>,
) {
    let job_name = || job.to_string();
    let asked_to_cancel = answers
        .iter()
        .filter(|answer| answer.request == Request::Cancel)
        .map(|answer| answer.asked_at)
        .min();
    let description = run.registry.job(job);
    for (index, answer) in answers.iter().enumerate() {
        // Answers that had arrived when this request was sent.
        let earlier = answers[..index]
            .iter()
            .filter(|earlier| earlier.received_at < answer.asked_at);
        for earlier in earlier {
            if forgets(earlier.answer, answer.answer) {
                violations.push(Violation::Forgotten(job_name()));
            }
            if goes_back(earlier.answer, answer.answer) {
                violations.push(Violation::WentBack(job_name()));
            }
        }
        let Answer::State(state) = answer.answer else {
            continue;
        };
        let Some(description) = &description else {
            violations.push(Violation::Invented(job_name()));
            continue;
        };
        let is_asked = asked_to_cancel.is_some_and(|at| at <= answer.received_at);
        if state == JobState::Cancelled && !is_asked {
            violations.push(Violation::NeverCancelled(job_name()));
        }
        let tasks = description.spec.tasks as usize;
        if state == JobState::Done && done_tasks.count(job, answer.received_at) < tasks {
            violations.push(Violation::NotDone(job_name()));
        }
    }
}

/// Reports whether a later answer denies a job that an earlier one has confirmed.
fn forgets(earlier: Answer, later: Answer) -> bool {
    matches!(earlier, Answer::State(_)) && matches!(later, Answer::Unknown | Answer::Rejected)
}

/// Reports whether a later answer contradicts the final state in an earlier one.
fn goes_back(earlier: Answer, later: Answer) -> bool {
    let is_final = |state| matches!(state, JobState::Done | JobState::Cancelled);
    match (earlier, later) {
        (Answer::State(earlier), Answer::State(later)) => is_final(earlier) && earlier != later,
        _ => false,
    }
}
