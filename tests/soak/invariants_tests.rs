//! Each rule fails on a history that breaks it, and none on a history that keeps them all.

use crate::harness::history::{
    Answer, Attempt, CommandSource, Entry, Millis, Observation, Request,
};
use crate::harness::jobs::{JobDescription, JobRegistry};
use crate::harness::topology::ControllerId;
use crate::invariants::{check, Bounds, TeamLimit, Violation};
use hollowswitch::protocol::{JobKind, JobSpec, JobState, Priority};
use std::time::Duration;

const JOB: &str = "wk-000001";
const FIRST: ControllerId = ControllerId(0);
const SECOND: ControllerId = ControllerId(1);

fn bounds() -> Bounds {
    let limit = |team: &str, cpus, is_tight| TeamLimit {
        team: team.into(),
        cpus,
        is_tight,
    };
    Bounds {
        team_limits: vec![limit("roomy", 10.0, false), limit("tight", 1.0, true)],
        cancel: Duration::from_secs(20),
        answer: Duration::from_secs(75),
        start: Duration::from_secs(90),
    }
}

/// Returns a registry with one job of two tasks of the team.
fn registry(team: &str) -> JobRegistry {
    let registry = JobRegistry::default();
    let spec = JobSpec {
        id: JOB.into(),
        class: "array".into(),
        team: team.into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 2,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "image".into(),
        image_gb: 0.1,
        machine_types: None,
        zone: None,
        single_zone: false,
        spread_zones: false,
        spot: false,
        run_time_estimate_s: 1.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
    };
    registry.upload(JobDescription {
        spec,
        run_time: Duration::from_secs(1),
    });
    registry
}

fn attempt(task: u32, number: u64, machine: &str) -> Attempt {
    Attempt {
        task: format!("{JOB}/{task}"),
        number,
        machine: machine.into(),
    }
}

fn on(at: Millis, attempt: &Attempt) -> Entry {
    entry(at, Observation::TaskOnMachine(attempt.clone()))
}

fn gone(at: Millis, attempt: &Attempt) -> Entry {
    entry(at, Observation::TaskGone(attempt.clone()))
}

fn done(at: Millis, attempt: &Attempt) -> Entry {
    entry(at, Observation::TaskDone(attempt.clone()))
}

fn start(at: Millis, attempt: &Attempt, source: CommandSource) -> Entry {
    let attempt = attempt.clone();
    entry(at, Observation::StartExecuted { attempt, source })
}

fn entry(at: Millis, observation: Observation) -> Entry {
    Entry { at, observation }
}

/// Returns an answer by a controller to a request that was sent 10 ms earlier.
fn answer(at: Millis, controller: ControllerId, request: Request, answer: Answer) -> Entry {
    entry(
        at,
        Observation::Answered {
            job: JOB.into(),
            request,
            controller,
            asked_at: at - 10,
            answer,
        },
    )
}

fn accepted(at: Millis) -> Entry {
    answer(at, FIRST, Request::Submit, Answer::State(JobState::Queued))
}

fn cancelled(at: Millis) -> Entry {
    answer(
        at,
        FIRST,
        Request::Cancel,
        Answer::State(JobState::Cancelled),
    )
}

fn polled(at: Millis, controller: ControllerId, state: JobState) -> Entry {
    answer(at, controller, Request::Poll, Answer::State(state))
}

/// Checks a history of a job of the team with room.
fn check_history(history: &[Entry]) -> Vec<Violation> {
    check(history, &registry("roomy"), &bounds())
}

/// The first task, on a machine all the time.
fn running() -> Attempt {
    attempt(0, 1, "n-1")
}

#[test]
fn a_history_that_keeps_every_rule_is_accepted() {
    let (first, second, moved) = (running(), attempt(1, 2, "n-1"), attempt(1, 3, "n-2"));
    let mut history = vec![
        accepted(100),
        start(200, &first, CommandSource::HeartbeatReply(150)),
        on(300, &first),
        on(300, &second),
        gone(400, &second),
        on(400, &moved),
        polled(500, SECOND, JobState::Running),
        done(1000, &first),
        gone(1000, &first),
        done(1100, &moved),
        gone(1100, &moved),
        entry(2000, Observation::TroublesOver),
    ];
    history.extend(ControllerId::all().map(|it| polled(3000, it, JobState::Done)));
    history.push(entry(4000, Observation::RunOver));
    assert_eq!(check_history(&history), []);
}

#[test]
fn a_task_on_two_machines_is_found() {
    let (first, second) = (running(), attempt(0, 2, "n-2"));
    let history = [on(100, &first), on(200, &second), gone(300, &first)];
    assert_eq!(
        check_history(&history),
        [Violation::InTwoPlaces { first, second }]
    );
}

#[test]
fn a_task_that_runs_on_after_its_cancellation_is_found() {
    let task = running();
    let history = |gone_at| {
        [
            accepted(50),
            on(100, &task),
            cancelled(1000),
            gone(gone_at, &task),
        ]
    };
    assert_eq!(check_history(&history(21_000)), []);
    let late = [Violation::RanCancelled(task.clone())];
    assert_eq!(check_history(&history(21_001)), late);
    // A task that never leaves is found as well.
    let history = [
        on(100, &task),
        cancelled(1000),
        entry(30_000, Observation::RunOver),
    ];
    assert_eq!(check_history(&history), late);
}

#[test]
fn a_start_after_a_confirmed_cancellation_is_found() {
    let task = running();
    let history = |source| {
        [
            on(50, &attempt(1, 9, "n-9")),
            cancelled(1000),
            start(3500, &task, source),
            gone(3600, &attempt(1, 9, "n-9")),
        ]
    };
    let found = [Violation::StartedAfterCancellation(task.clone())];
    assert_eq!(
        check_history(&history(CommandSource::HeartbeatReply(1001))),
        found
    );
    assert_eq!(
        check_history(&history(CommandSource::HeartbeatReply(1000))),
        []
    );
    assert_eq!(check_history(&history(CommandSource::Direct(3001))), found);
    assert_eq!(check_history(&history(CommandSource::Direct(3000))), []);
}

#[test]
fn a_repeated_submission_that_runs_again_is_found() {
    let (first, second) = (running(), attempt(1, 2, "n-1"));
    let again = attempt(0, 3, "n-2");
    let history = [
        accepted(50),
        on(100, &first),
        on(100, &second),
        done(200, &first),
        gone(200, &first),
        done(200, &second),
        gone(200, &second),
        polled(300, FIRST, JobState::Done),
        answer(400, SECOND, Request::Submit, Answer::State(JobState::Done)),
        start(600, &again, CommandSource::HeartbeatReply(500)),
    ];
    assert_eq!(
        check_history(&history),
        [Violation::StartedAfterDone(again)]
    );
}

#[test]
fn an_accepted_job_that_is_denied_is_found() {
    let found = [Violation::Forgotten(JOB.into())];
    let task = running();
    let unknown = answer(300, SECOND, Request::Poll, Answer::Unknown);
    assert_eq!(
        check_history(&[on(50, &task), accepted(100), unknown]),
        found
    );
    let rejected = answer(300, SECOND, Request::Submit, Answer::Rejected);
    assert_eq!(
        check_history(&[on(50, &task), accepted(100), rejected]),
        found
    );
    // A question that was sent before the job was accepted may be answered so.
    let concurrent = answer(109, SECOND, Request::Poll, Answer::Unknown);
    assert_eq!(
        check_history(&[on(50, &task), accepted(100), concurrent]),
        []
    );
}

#[test]
fn an_answer_older_than_an_earlier_one_is_found() {
    let history = |later_at| {
        [
            on(50, &running()),
            accepted(100),
            cancelled(1000),
            gone(1005, &running()),
            polled(later_at, SECOND, JobState::Running),
        ]
    };
    assert_eq!(
        check_history(&history(1011)),
        [Violation::WentBack(JOB.into())]
    );
    assert_eq!(check_history(&history(1010)), []);
}

#[test]
fn a_job_that_nobody_cancelled_and_one_that_nobody_submitted_are_found() {
    let task = running();
    let cancelled = polled(300, FIRST, JobState::Cancelled);
    assert_eq!(
        check_history(&[on(50, &task), accepted(100), cancelled]),
        [Violation::NeverCancelled(JOB.into())]
    );
    let history = [on(50, &task), polled(300, FIRST, JobState::Queued)];
    assert_eq!(
        check(&history, &JobRegistry::default(), &bounds()),
        [Violation::Invented(JOB.into())]
    );
}

#[test]
fn a_job_that_is_called_done_too_early_is_found() {
    let (first, second) = (running(), attempt(1, 2, "n-1"));
    let history = |done_at| {
        [
            on(50, &first),
            on(50, &second),
            done(100, &first),
            gone(100, &first),
            done(done_at, &second),
            gone(done_at, &second),
            polled(300, FIRST, JobState::Done),
        ]
    };
    assert_eq!(check_history(&history(300)), []);
    assert_eq!(
        check_history(&history(301)),
        [Violation::NotDone(JOB.into())]
    );
}

#[test]
fn a_token_that_goes_back_is_found() {
    let token = |at, token| {
        let machine = "n-1".into();
        entry(at, Observation::TokenAccepted { machine, token })
    };
    let history = [on(50, &running()), token(100, 7), token(200, 6)];
    assert_eq!(
        check_history(&history),
        [Violation::TokenWentBack("n-1".into())]
    );
}

#[test]
fn a_team_beyond_its_limit_is_found() {
    let history = [on(100, &running()), on(200, &attempt(1, 2, "n-2"))];
    assert_eq!(
        check(&history, &registry("tight"), &bounds()),
        [Violation::OverQuota("tight".into())]
    );
}

#[test]
fn a_controller_that_does_not_answer_in_time_is_found() {
    let history = |last_answer_at| {
        let mut history = vec![
            on(50, &running()),
            accepted(100),
            entry(1000, Observation::TroublesOver),
            polled(2000, FIRST, JobState::Running),
            polled(2000, SECOND, JobState::Running),
            answer(3000, ControllerId(2), Request::Poll, Answer::ComeBack(429)),
        ];
        history.push(polled(last_answer_at, ControllerId(2), JobState::Running));
        history
    };
    assert_eq!(check_history(&history(76_000)), []);
    assert_eq!(
        check_history(&history(76_001)),
        [Violation::Unanswered(JOB.into(), ControllerId(2))]
    );
}

#[test]
fn a_job_that_does_not_begin_in_time_is_found() {
    let history = |over_at| {
        let mut history = vec![
            accepted(100),
            entry(1000, Observation::TroublesOver),
            entry(over_at, Observation::RunOver),
        ];
        let answers = ControllerId::all().map(|it| polled(2000, it, JobState::Queued));
        history.splice(2..2, answers);
        history
    };
    let never_began = Violation::NeverBegan(JOB.into());
    let found = check_history(&history(91_000));
    assert_eq!(found, [never_began.clone(), Violation::NothingRan]);
    // The jobs of a team at its limit wait their turn.
    let found = check(&history(91_000), &registry("tight"), &bounds());
    assert_eq!(found, [Violation::NothingRan]);
}

#[test]
fn a_process_that_ends_by_itself_is_found() {
    let ended = Observation::ProcessEnded {
        controller: FIRST,
        status: "signal: 6".into(),
    };
    let history = [on(50, &running()), entry(100, ended)];
    assert_eq!(
        check_history(&history),
        [Violation::ProcessEnded(FIRST, "signal: 6".into())]
    );
}
