//! Direct commands: conclusions from a response, and from the absence of one.

use super::*;

#[test]
fn a_direct_start_without_a_response_may_execute_late() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    cluster.run_round(2000);
    let sent = cluster.scheduler.direct_commands(9);
    assert_eq!(starts(&sent[0].commands).len(), 1);
    // A heartbeat that was sent before the start arrived does not list the task. Nothing is concluded from it while the response
    // is pending.
    assert!(starts(&cluster.heartbeat("n-1", &[])).is_empty());
    cluster.scheduler.handle_direct_response(&sent[0], None);
    // The token was advanced. Until the worker has seen the new one, the start may still execute.
    assert!(starts(&cluster.heartbeat("n-1", &[])).is_empty());
    cluster.run_round(3000);
    assert!(cluster.scheduler.direct_commands(9).is_empty());
    let new_token = first_token(EPOCH) + 1;
    cluster.heartbeat_with_token("n-1", new_token, &[]);
    let restarted = starts(&cluster.heartbeat_with_token("n-1", new_token, &[]));
    assert_eq!(restarted.len(), 1);
    assert_ne!(restarted[0].1, starts(&sent[0].commands)[0].1);
}

#[test]
fn a_direct_start_without_a_response_blocks_its_task_until_the_lease_expires() {
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
fn a_direct_response_proves_nothing_about_a_start_in_a_reply_in_transit() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.add_machine("n-2", "a");
    cluster.submit(spec("wk-1", 1), 101);
    // The start is sent in the reply to a heartbeat. Before the worker receives that reply, it responds to a direct command:
    // it does not list the task yet, but will run it.
    let started = starts(&cluster.heartbeat("n-1", &[]));
    assert_eq!(started.len(), 1);
    let sent = DirectCommands {
        machine: "n-1".into(),
        address: String::new(),
        token: first_token(EPOCH),
        session: 1,
        commands: vec![Command::Stop {
            task: started[0].0.clone(),
            attempt: started[0].1,
            grace_s: 0.0,
        }],
    };
    let response = cluster.next_status("n-1", first_token(EPOCH), &[]);
    cluster
        .scheduler
        .handle_direct_response(&sent, Some(&response));
    assert_eq!(cluster.scheduler.jobs().map(Job::pending).sum::<u32>(), 0);
    // The worker's next heartbeat request is authoritative: it does not list the task, which is therefore started again.
    assert_eq!(
        starts(&cluster.heartbeat("n-1", &[])).len() + starts(&cluster.heartbeat("n-2", &[])).len(),
        1
    );
}

#[test]
fn a_reply_that_forgets_a_direct_start_also_voids_its_duplicates() {
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
    let started = starts(&sent[0].commands);
    let reported = |state, reason| [(started[0].0.as_str(), started[0].1, state, reason)];
    cluster.respond(&sent[0], &reported(TaskState::Running, None));
    cluster.scheduler.stop_job("wk-1");
    let status = cluster.next_status(
        "n-1",
        first_token(EPOCH),
        &reported(TaskState::Exited, Some(ExitReason::Stopped)),
    );
    match cluster
        .scheduler
        .handle_heartbeat(&status, HeartbeatSource::Request { may_start: true })
    {
        // The new token voids duplicates of the direct command, which carry the old one.
        HeartbeatDecision::Reply(reply) => {
            assert_eq!(reply.token, first_token(EPOCH) + 1);
            assert!(matches!(reply.commands[..], [Command::Forget { .. }]));
        }
        other => panic!("{other:?}"),
    }
    // The machine still gets new tasks, under the new token.
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
    let started = starts(&sent[0].commands);
    let reported = [
        ("wk-1/0", 3, TaskState::Running, None),
        (
            started[0].0.as_str(),
            started[0].1,
            TaskState::Exited,
            Some(ExitReason::ConflictingAttempt),
        ),
    ];
    cluster.respond(&sent[0], &reported);
    assert_eq!(cluster.scheduler.jobs().map(Job::pending).sum::<u32>(), 0);
}

#[test]
fn a_heartbeat_overtaken_by_a_direct_response_still_renews_the_lease() {
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
    let direct = sent
        .iter()
        .find(|direct| direct.machine == "n-1")
        .unwrap()
        .clone();
    let started = starts(&direct.commands);
    let running = as_running(&started[..1]);
    cluster.respond(&direct, &running);
    // Every heartbeat is overtaken by the response to a probe. Its task list is out of date, but its worker waits for the
    // reply and counts its lease from it. When the scheduler took the lease to have expired, the task was started a second
    // time.
    for interval in 1..10u64 {
        let overtaken = cluster.next_status("n-1", first_token(EPOCH), &running);
        let response = cluster.next_status("n-1", first_token(EPOCH), &running);
        cluster.scheduler.advance_clock(2000 + interval * 1500);
        cluster.scheduler.handle_direct_response(
            &DirectCommands {
                commands: vec![],
                ..direct.clone()
            },
            Some(&response),
        );
        cluster.handle_after_pass(&overtaken);
        cluster.scheduler.tick(2000 + interval * 1500);
    }
    assert_eq!(
        cluster
            .scheduler
            .machines()
            .find(|(_, machine)| machine.name() == "n-1")
            .map(|(_, machine)| machine.load.tasks().len()),
        Some(1)
    );
}

/// Guards against starts that are lost: a raised token voids those of replies that are still on their way.
#[test]
fn a_direct_response_that_lists_a_forgettable_task_does_not_raise_the_token() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    cluster.run_round(2000);
    let sent = cluster.scheduler.direct_commands(9);
    let started = starts(&sent[0].commands);
    cluster.respond(&sent[0], &as_running(&started));
    cluster.submit(spec("wk-2", 1), 102);
    let in_reply = starts(&cluster.heartbeat("n-1", &as_running(&started)));
    assert_eq!(in_reply[0].0, "wk-2/0");
    // The response to a stop of the first task overtakes that reply. Nothing answers the response, so it lets nobody forget.
    cluster.scheduler.stop_job("wk-1");
    let stop = cluster.scheduler.direct_commands(9).remove(0);
    cluster.respond(&stop, &as_exited(&started, ExitReason::Stopped));
    let machine = cluster.scheduler.machines().next().unwrap().1;
    assert_eq!(cluster.scheduler.token(machine), first_token(EPOCH));
    let task = cluster.scheduler.find_task("wk-2/0").unwrap();
    assert!(cluster.scheduler.attempt(task).is_some());
}
