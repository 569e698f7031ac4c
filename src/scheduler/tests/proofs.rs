//! What proves that a task is not on a machine any more, and what does not.

use super::*;
use crate::store::Revision;

#[test]
fn a_confirmed_release_proves_a_machine_gone() {
    let mut w = World::new();
    w.known("n-1");
    w.machine("n-9", "a");
    w.job(spec("wk-1", 1), 50);
    w.inherit(&[("n-1", "wk-1/0", 7)]);
    w.tell("n-9", &[]);
    w.scheduler.reconsider();
    assert!(starts(&w.tell("n-9", &[])).is_empty());
    w.scheduler.machine_gone("n-1");
    assert_eq!(starts(&w.tell("n-9", &[])).len(), 1);
}

#[test]
fn a_direct_start_without_answer_may_execute_late() {
    let mut w = World::new();
    w.machine("n-1", "a");
    w.job(spec("wk-1", 1), 101);
    w.tick(2000);
    let sent = w.scheduler.direct_commands(9);
    assert_eq!(starts(&sent[0].orders).len(), 1);
    // A report that left before the order arrived lacks the task: nothing follows from it while the answer is out.
    assert!(starts(&w.tell("n-1", &[])).is_empty());
    w.scheduler.handle_direct_response(&sent[0], None);
    // The token was raised; until the worker has seen it, the order may still execute.
    assert!(starts(&w.tell("n-1", &[])).is_empty());
    w.tick(3000);
    assert!(w.scheduler.direct_commands(9).is_empty());
    let raised = w.token() + 1;
    w.tell_token("n-1", raised, &[]);
    let again = starts(&w.tell_token("n-1", raised, &[]));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].1, starts(&sent[0].orders)[0].1);
}

#[test]
fn an_unanswered_direct_start_counts_on_a_machine_whose_lease_runs_out_only() {
    let mut w = World::new();
    w.machine("n-1", "a");
    w.machine("n-2", "a");
    w.job(spec("wk-1", 1), 101);
    w.tick(2000);
    let sent = w.scheduler.direct_commands(9);
    w.scheduler.handle_direct_response(&sent[0], None);
    let other = if sent[0].machine == "n-1" {
        "n-2"
    } else {
        "n-1"
    };
    w.scheduler.tick(12_500);
    assert!(starts(&w.tell(other, &[])).is_empty());
    w.scheduler.tick(14_000);
    assert_eq!(starts(&w.tell(other, &[])).len(), 1);
}

#[test]
fn a_report_held_back_by_the_network_is_as_old_as_its_tasks() {
    let mut w = World::new();
    w.machine("n-1", "a");
    w.job(spec("wk-1", 1), 101);
    let late = w.report("n-1", w.token(), &[]);
    let got = starts(&w.tell("n-1", &[]));
    assert_eq!(got.len(), 1);
    w.tell("n-1", &[("wk-1/0", got[0].1, TaskState::Running, None)]);
    assert!(w.answer(&late).is_empty());
    assert_eq!(w.scheduler.task_counts("wk-1"), Some(counts(0, 1)));
}

#[test]
fn nothing_starts_without_authority_nor_on_an_unregistered_machine() {
    let mut w = World::new();
    w.machine("n-1", "a");
    w.job(spec("wk-1", 1), 101);
    w.tick(1100);
    let r = w.report("n-1", w.token(), &[]);
    assert_eq!(
        w.scheduler
            .handle_heartbeat(&r, HeartbeatSource::Request { may_start: false }),
        HeartbeatDecision::Reply(ReportReply {
            token: w.token(),
            orders: vec![]
        }),
        "renewing in an outage starts nothing"
    );
    assert_eq!(starts(&w.tell("n-1", &[])).len(), 1);
    let unregistered = w.report("n-77", w.token(), &[]);
    assert_eq!(
        w.scheduler
            .handle_heartbeat(&unregistered, HeartbeatSource::Request { may_start: true }),
        HeartbeatDecision::UnregisteredMachine
    );
}

#[test]
fn a_result_is_forgotten_only_when_durable_and_a_job_is_done_only_when_every_task_is() {
    let mut w = World::new();
    w.machine("n-1", "a");
    w.job(spec("wk-1", 2), 101);
    let got = starts(&w.tell("n-1", &[]));
    let done = |i: usize| {
        (
            got[i].0.as_str(),
            got[i].1,
            TaskState::Exited,
            Some(ExitReason::Done),
        )
    };
    let run = |i: usize| (got[i].0.as_str(), got[i].1, TaskState::Running, None);
    assert!(w.tell("n-1", &[done(0), run(1)]).is_empty());
    assert!(w.scheduler.complete_jobs().is_empty());
    let rows = w.scheduler.unsaved(9);
    assert_eq!(rows.len(), 1);
    w.scheduler.saved(&rows[0]);
    let orders = w.tell("n-1", &[done(0), run(1)]);
    assert!(matches!(orders[..], [Command::Forget { .. }]));
    assert!(w.scheduler.complete_jobs().is_empty());
    w.tell("n-1", &[done(0), done(1)]);
    assert_eq!(
        w.scheduler.complete_jobs(),
        vec![CompleteJob {
            id: "wk-1".to_string(),
            version: Revision::new(101),
            tasks: 2
        }]
    );
}

#[test]
fn a_direct_answer_says_nothing_of_a_start_in_a_response_under_way() {
    let mut w = World::new();
    w.machine("n-1", "a");
    w.machine("n-2", "a");
    w.job(spec("wk-1", 1), 101);
    // The start leaves in the response to a report. Before the worker has received it, it answers a direct order: it
    // does not have the task yet, but will.
    let got = starts(&w.tell("n-1", &[]));
    assert_eq!(got.len(), 1);
    let sent = DirectCommands {
        machine: "n-1".into(),
        address: String::new(),
        token: w.token(),
        session: 1,
        orders: vec![Command::Stop {
            task: got[0].0.clone(),
            attempt: got[0].1,
            grace_s: 0.0,
        }],
    };
    let answer = w.report("n-1", w.token(), &[]);
    w.scheduler.handle_direct_response(&sent, Some(&answer));
    assert_eq!(w.scheduler.jobs().map(Job::pending).sum::<u32>(), 0);
    // Its next report is the truth.
    assert_eq!(
        starts(&w.tell("n-1", &[])).len() + starts(&w.tell("n-2", &[])).len(),
        1
    );
}

#[test]
fn a_session_that_ends_though_it_was_answered_raises_the_token() {
    let mut w = World::new();
    w.machine("n-1", "a");
    w.job(spec("wk-1", 1), 101);
    let got = starts(&w.tell("n-1", &[]));
    w.tell(
        "n-1",
        &[(got[0].0.as_str(), got[0].1, TaskState::Running, None)],
    );
    let mut r = w.report("n-1", w.token(), &[]);
    r.session = 2;
    // Its tasks are gone, but until it shows that it hears us it gets no others.
    assert!(w.answer(&r).is_empty());
    assert_eq!(w.scheduler.jobs().map(Job::pending).sum::<u32>(), 1);
    let mut r = w.report("n-1", w.token(), &[]);
    r.session = 2;
    assert!(w.answer(&r).is_empty());
    let mut r = w.report("n-1", w.token() + 1, &[]);
    r.session = 2;
    w.answer(&r);
    let mut r = w.report("n-1", w.token() + 1, &[]);
    r.session = 2;
    assert_eq!(starts(&w.answer(&r)).len(), 1);
}

#[test]
fn late_copies_of_reports_change_nothing() {
    let mut w = World::new();
    w.machine("n-1", "a");
    w.job(spec("wk-1", 1), 101);
    let empty = w.report("n-1", w.token(), &[]);
    let got = starts(&w.tell("n-1", &[]));
    let line = (got[0].0.as_str(), got[0].1, TaskState::Running, None);
    let running = w.report("n-1", w.token(), &[line]);
    w.answer(&running);
    let exited = w.report(
        "n-1",
        w.token(),
        &[(
            got[0].0.as_str(),
            got[0].1,
            TaskState::Exited,
            Some(ExitReason::Done),
        )],
    );
    w.scheduler.at(5000);
    w.answer(&exited);
    assert_eq!(w.scheduler.complete_jobs().len(), 1);
    // Copies in any order, from before the start, of the run, of the end: no task comes back, ends or ends again.
    w.scheduler.at(9000);
    for copy in [&empty, &running, &exited, &running] {
        assert!(w.answer(copy).is_empty());
    }
    assert_eq!(w.scheduler.task_counts("wk-1"), Some(counts(1, 0)));
    // Nor does a copy renew what is assumed of the lease or pass for a sign of life.
    let m = w.scheduler.machines().next().unwrap().1;
    assert_eq!(
        (m.lease.answered_at(), m.contact.heard_at()),
        (at(5000), at(5000))
    );
}

#[test]
fn what_makes_a_worker_forget_a_direct_start_also_voids_its_copies() {
    let mut w = World::new();
    w.machine("n-1", "a");
    w.job(
        JobSpec {
            kind: Kind::Service,
            ..spec("wk-1", 1)
        },
        101,
    );
    w.tick(2000);
    let sent = w.scheduler.direct_commands(9);
    let got = starts(&sent[0].orders);
    let line = |state, reason| [(got[0].0.as_str(), got[0].1, state, reason)];
    let r = w.report("n-1", w.token(), &line(TaskState::Running, None));
    w.scheduler.handle_direct_response(&sent[0], Some(&r));
    w.scheduler.drop_job("wk-1");
    let r = w.report(
        "n-1",
        w.token(),
        &line(TaskState::Exited, Some(ExitReason::Stopped)),
    );
    match w
        .scheduler
        .handle_heartbeat(&r, HeartbeatSource::Request { may_start: true })
    {
        // A copy of the direct order carries the old token.
        HeartbeatDecision::Reply(reply) => {
            assert_eq!(reply.token, w.token() + 1);
            assert!(matches!(reply.orders[..], [Command::Forget { .. }]));
        }
        other => panic!("{other:?}"),
    }
    // The machine goes on taking work.
    w.job(spec("wk-2", 1), 102);
    w.tick(2100);
    assert_eq!(w.scheduler.direct_commands(9)[0].token, w.token() + 1);
}

#[test]
fn a_refused_start_does_not_hide_that_another_attempt_runs() {
    let mut w = World::new();
    w.machine("n-1", "a");
    w.machine("n-2", "a");
    w.job(spec("wk-1", 1), 101);
    w.tick(2000);
    let sent = w.scheduler.direct_commands(9);
    let host = sent[0].machine.clone();
    let got = starts(&sent[0].orders);
    let lines = [
        ("wk-1/0", 3, TaskState::Running, None),
        (
            got[0].0.as_str(),
            got[0].1,
            TaskState::Exited,
            Some(ExitReason::Busy),
        ),
    ];
    let r = w.report(&host, w.token(), &lines);
    w.scheduler.handle_direct_response(&sent[0], Some(&r));
    assert_eq!(w.scheduler.jobs().map(Job::pending).sum::<u32>(), 0);
}

#[test]
fn a_report_overtaken_by_a_direct_answer_still_renews_the_lease() {
    let mut w = World::new();
    w.machine("n-1", "a");
    w.machine("n-2", "a");
    w.job(
        JobSpec {
            cpus: 8.0,
            ..spec("wk-1", 2)
        },
        101,
    );
    w.tick(2000);
    let sent = w.scheduler.direct_commands(9);
    let d = sent.iter().find(|d| d.machine == "n-1").unwrap().clone();
    let got = starts(&d.orders);
    let line = [(got[0].0.as_str(), got[0].1, TaskState::Running, None)];
    let r = w.report("n-1", w.token(), &line);
    w.scheduler.handle_direct_response(&d, Some(&r));
    // Every report is overtaken by the answer to a probe. It is as old as its tasks, but its worker waits for the answer
    // and counts its lease from it: taken for run out, the task was once started a second time.
    for s in 1..10u64 {
        let overtaken = w.report("n-1", w.token(), &line);
        let answer = w.report("n-1", w.token(), &line);
        w.scheduler.at(2000 + s * 1500);
        w.scheduler.handle_direct_response(
            &DirectCommands {
                orders: vec![],
                ..d.clone()
            },
            Some(&answer),
        );
        w.answer(&overtaken);
        w.scheduler.tick(2000 + s * 1500);
    }
    assert_eq!(
        w.scheduler
            .machines()
            .find(|(_, m)| m.name() == "n-1")
            .map(|(_, m)| m.load.tasks().len()),
        Some(1)
    );
}

#[test]
fn another_attempt_than_the_one_sent_is_taken_for_what_is_there() {
    let mut w = World::new();
    w.known("n-1");
    w.machine("n-2", "a");
    w.job(spec("wk-1", 1), 50);
    w.inherit(&[("n-1", "wk-1/0", 9)]);
    w.tell("n-1", &[("wk-1/0", 7, TaskState::Running, None)]);
    assert!(starts(&w.tell("n-2", &[])).is_empty());
    assert_eq!(w.scheduler.task_counts("wk-1"), Some(counts(0, 1)));
}

#[test]
fn a_session_that_begins_unanswered_has_its_full_lease() {
    let mut w = World::new();
    w.machine("n-1", "a");
    w.tell("n-1", &[]);
    // From now on it reaches no controller; direct orders and their answers get through. It begins its second session
    // without an answer, which a probe tells shortly before the first one's lease would be over here.
    w.pass_to(1000 + LEASE / 2 - 1000);
    let at = w.scheduler.now().as_millis();
    let mut r = w.report("n-1", w.token(), &[]);
    r.session = 2;
    w.scheduler
        .handle_heartbeat(&r, HeartbeatSource::DirectResponse);
    let token = w.token() + 1;
    let mut r = w.report("n-1", token, &[]);
    r.session = 2;
    w.scheduler
        .handle_heartbeat(&r, HeartbeatSource::DirectResponse);
    w.job(spec("wk-1", 1), 101);
    w.scheduler.reconsider();
    w.scheduler.place();
    w.log();
    let sent = w.scheduler.direct_commands(9);
    let started = starts(&sent[0].orders);
    let mut r = w.report(
        "n-1",
        token,
        &[(&started[0].0, started[0].1, TaskState::Running, None)],
    );
    r.session = 2;
    w.scheduler.handle_direct_response(&sent[0], Some(&r));
    // The task is there until the lease of the second session has surely run out.
    w.pass_to(at + LEASE);
    let first = MachineIndex::from_position(0);
    assert_eq!(w.scheduler.machine(first).load.tasks().len(), 1);
    w.pass_to(at + LEASE + 1000);
    assert!(w.scheduler.machine(first).load.tasks().is_empty());
}
