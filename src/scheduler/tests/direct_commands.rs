//! What the answers to direct commands prove, and their absence does not.

use super::*;

#[test]
fn a_direct_start_without_answer_may_execute_late() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    cluster.run_round(2000);
    let sent = cluster.scheduler.direct_commands(9);
    assert_eq!(starts(&sent[0].commands).len(), 1);
    // A report that left before the order arrived lacks the task: nothing follows from it while the answer is out.
    assert!(starts(&cluster.heartbeat("n-1", &[])).is_empty());
    cluster.scheduler.handle_direct_response(&sent[0], None);
    // The token was raised; until the worker has seen it, the order may still execute.
    assert!(starts(&cluster.heartbeat("n-1", &[])).is_empty());
    cluster.run_round(3000);
    assert!(cluster.scheduler.direct_commands(9).is_empty());
    let raised = first_token(EPOCH) + 1;
    cluster.heartbeat_with_token("n-1", raised, &[]);
    let again = starts(&cluster.heartbeat_with_token("n-1", raised, &[]));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].1, starts(&sent[0].commands)[0].1);
}

#[test]
fn an_unanswered_direct_start_counts_on_a_machine_whose_lease_runs_out_only() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.add_machine("n-2", "a");
    cluster.submit(spec("wk-1", 1), 101);
    cluster.run_round(2000);
    let sent = cluster.scheduler.direct_commands(9);
    cluster.scheduler.handle_direct_response(&sent[0], None);
    let other = if sent[0].machine == "n-1" {
        "n-2"
    } else {
        "n-1"
    };
    cluster.scheduler.tick(12_500);
    assert!(starts(&cluster.heartbeat(other, &[])).is_empty());
    cluster.scheduler.tick(14_000);
    assert_eq!(starts(&cluster.heartbeat(other, &[])).len(), 1);
}

#[test]
fn a_direct_answer_says_nothing_of_a_start_in_a_response_under_way() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.add_machine("n-2", "a");
    cluster.submit(spec("wk-1", 1), 101);
    // The start leaves in the response to a report. Before the worker has received it, it answers a direct command: it
    // does not have the task yet, but will.
    let got = starts(&cluster.heartbeat("n-1", &[]));
    assert_eq!(got.len(), 1);
    let sent = DirectCommands {
        machine: "n-1".into(),
        address: String::new(),
        token: first_token(EPOCH),
        session: 1,
        commands: vec![Command::Stop {
            task: got[0].0.clone(),
            attempt: got[0].1,
            grace_s: 0.0,
        }],
    };
    let answer = cluster.next_status("n-1", first_token(EPOCH), &[]);
    cluster
        .scheduler
        .handle_direct_response(&sent, Some(&answer));
    assert_eq!(cluster.scheduler.jobs().map(Job::pending).sum::<u32>(), 0);
    // Its next report is the truth.
    assert_eq!(
        starts(&cluster.heartbeat("n-1", &[])).len() + starts(&cluster.heartbeat("n-2", &[])).len(),
        1
    );
}

#[test]
fn what_makes_a_worker_forget_a_direct_start_also_voids_its_copies() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(
        JobSpec {
            kind: JobKind::Service,
            ..spec("wk-1", 1)
        },
        101,
    );
    cluster.run_round(2000);
    let sent = cluster.scheduler.direct_commands(9);
    let got = starts(&sent[0].commands);
    let line = |state, reason| [(got[0].0.as_str(), got[0].1, state, reason)];
    cluster.respond(&sent[0], &line(TaskState::Running, None));
    cluster.scheduler.stop_job("wk-1");
    let r = cluster.next_status(
        "n-1",
        first_token(EPOCH),
        &line(TaskState::Exited, Some(ExitReason::Stopped)),
    );
    match cluster
        .scheduler
        .handle_heartbeat(&r, HeartbeatSource::Request { may_start: true })
    {
        // A copy of the direct command carries the old token.
        HeartbeatDecision::Reply(reply) => {
            assert_eq!(reply.token, first_token(EPOCH) + 1);
            assert!(matches!(reply.commands[..], [Command::Forget { .. }]));
        }
        other => panic!("{other:?}"),
    }
    // The machine goes on taking work.
    cluster.submit(spec("wk-2", 1), 102);
    cluster.run_round(2100);
    assert_eq!(
        cluster.scheduler.direct_commands(9)[0].token,
        first_token(EPOCH) + 1
    );
}

#[test]
fn a_refused_start_does_not_hide_that_another_attempt_runs() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.add_machine("n-2", "a");
    cluster.submit(spec("wk-1", 1), 101);
    cluster.run_round(2000);
    let sent = cluster.scheduler.direct_commands(9);
    let got = starts(&sent[0].commands);
    let lines = [
        ("wk-1/0", 3, TaskState::Running, None),
        (
            got[0].0.as_str(),
            got[0].1,
            TaskState::Exited,
            Some(ExitReason::ConflictingAttempt),
        ),
    ];
    cluster.respond(&sent[0], &lines);
    assert_eq!(cluster.scheduler.jobs().map(Job::pending).sum::<u32>(), 0);
}

#[test]
fn a_report_overtaken_by_a_direct_answer_still_renews_the_lease() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.add_machine("n-2", "a");
    cluster.submit(
        JobSpec {
            cpus: 8.0,
            ..spec("wk-1", 2)
        },
        101,
    );
    cluster.run_round(2000);
    let sent = cluster.scheduler.direct_commands(9);
    let d = sent.iter().find(|d| d.machine == "n-1").unwrap().clone();
    let got = starts(&d.commands);
    let line = as_running(&got[..1]);
    cluster.respond(&d, &line);
    // Every report is overtaken by the answer to a probe. It is as old as its tasks, but its worker waits for the answer
    // and counts its lease from it: taken for run out, the task was once started a second time.
    for s in 1..10u64 {
        let overtaken = cluster.next_status("n-1", first_token(EPOCH), &line);
        let answer = cluster.next_status("n-1", first_token(EPOCH), &line);
        cluster.scheduler.advance_clock(2000 + s * 1500);
        cluster.scheduler.handle_direct_response(
            &DirectCommands {
                commands: vec![],
                ..d.clone()
            },
            Some(&answer),
        );
        cluster.handle_after_pass(&overtaken);
        cluster.scheduler.tick(2000 + s * 1500);
    }
    assert_eq!(
        cluster
            .scheduler
            .machines()
            .find(|(_, m)| m.name() == "n-1")
            .map(|(_, m)| m.load.tasks().len()),
        Some(1)
    );
}
