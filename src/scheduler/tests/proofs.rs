//! What proves that a task is not on a machine any more, and what does not.

use super::*;
use crate::store::Revision;

#[test]
fn a_confirmed_release_proves_a_machine_gone() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.add_machine("n-9", "a");
    cluster.submit(spec("wk-1", 1), 50);
    cluster.replay(&[("n-1", "wk-1/0", 7)]);
    cluster.heartbeat("n-9", &[]);
    cluster.scheduler.request_pass();
    assert!(starts(&cluster.heartbeat("n-9", &[])).is_empty());
    cluster.scheduler.machine_gone("n-1");
    assert_eq!(starts(&cluster.heartbeat("n-9", &[])).len(), 1);
}

#[test]
fn a_report_held_back_by_the_network_is_as_old_as_its_tasks() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    let late = cluster.next_status("n-1", first_token(EPOCH), &[]);
    let got = starts(&cluster.heartbeat("n-1", &[]));
    assert_eq!(got.len(), 1);
    cluster.heartbeat("n-1", &[("wk-1/0", got[0].1, TaskState::Running, None)]);
    assert!(cluster.handle_after_pass(&late).is_empty());
    assert_eq!(cluster.scheduler.task_counts("wk-1"), Some(counts(0, 1)));
}

#[test]
fn nothing_starts_without_authority_nor_on_an_unregistered_machine() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    cluster.run_round(1100);
    let r = cluster.next_status("n-1", first_token(EPOCH), &[]);
    assert_eq!(
        cluster
            .scheduler
            .handle_heartbeat(&r, HeartbeatSource::Request { may_start: false }),
        HeartbeatDecision::Reply(HeartbeatReply {
            token: first_token(EPOCH),
            commands: vec![]
        }),
        "renewing in an outage starts nothing"
    );
    assert_eq!(starts(&cluster.heartbeat("n-1", &[])).len(), 1);
    let unregistered = cluster.next_status("n-77", first_token(EPOCH), &[]);
    assert_eq!(
        cluster
            .scheduler
            .handle_heartbeat(&unregistered, HeartbeatSource::Request { may_start: true }),
        HeartbeatDecision::UnregisteredMachine
    );
}

#[test]
fn a_result_is_forgotten_only_when_durable_and_a_job_is_done_only_when_every_task_is() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 2), 101);
    let got = starts(&cluster.heartbeat("n-1", &[]));
    let done = |i: usize| {
        (
            got[i].0.as_str(),
            got[i].1,
            TaskState::Exited,
            Some(ExitReason::Done),
        )
    };
    let run = |i: usize| (got[i].0.as_str(), got[i].1, TaskState::Running, None);
    assert!(cluster.heartbeat("n-1", &[done(0), run(1)]).is_empty());
    assert!(cluster.scheduler.complete_jobs().is_empty());
    let rows = cluster.scheduler.unsaved_chunks(9);
    assert_eq!(rows.len(), 1);
    cluster.scheduler.record_saved(&rows[0]);
    let commands = cluster.heartbeat("n-1", &[done(0), run(1)]);
    assert!(matches!(commands[..], [Command::Forget { .. }]));
    assert!(cluster.scheduler.complete_jobs().is_empty());
    cluster.heartbeat("n-1", &[done(0), done(1)]);
    assert_eq!(
        cluster.scheduler.complete_jobs(),
        vec![CompleteJob {
            id: "wk-1".to_string(),
            version: Revision::new(101),
            tasks: 2
        }]
    );
}

#[test]
fn a_session_that_ends_though_it_was_answered_raises_the_token() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    let got = starts(&cluster.heartbeat("n-1", &[]));
    cluster.heartbeat("n-1", &as_running(&got[..1]));
    let mut r = cluster.next_status("n-1", first_token(EPOCH), &[]);
    r.session = 2;
    // Its tasks are gone, but until it shows that it hears us it gets no others.
    assert!(cluster.handle_after_pass(&r).is_empty());
    assert_eq!(cluster.scheduler.jobs().map(Job::pending).sum::<u32>(), 1);
    let mut r = cluster.next_status("n-1", first_token(EPOCH), &[]);
    r.session = 2;
    assert!(cluster.handle_after_pass(&r).is_empty());
    let mut r = cluster.next_status("n-1", first_token(EPOCH) + 1, &[]);
    r.session = 2;
    cluster.handle_after_pass(&r);
    let mut r = cluster.next_status("n-1", first_token(EPOCH) + 1, &[]);
    r.session = 2;
    assert_eq!(starts(&cluster.handle_after_pass(&r)).len(), 1);
}

#[test]
fn late_copies_of_reports_change_nothing() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    let empty = cluster.next_status("n-1", first_token(EPOCH), &[]);
    let got = starts(&cluster.heartbeat("n-1", &[]));
    let line = (got[0].0.as_str(), got[0].1, TaskState::Running, None);
    let running = cluster.next_status("n-1", first_token(EPOCH), &[line]);
    cluster.handle_after_pass(&running);
    let exited = cluster.next_status(
        "n-1",
        first_token(EPOCH),
        &[(
            got[0].0.as_str(),
            got[0].1,
            TaskState::Exited,
            Some(ExitReason::Done),
        )],
    );
    cluster.scheduler.advance_clock(5000);
    cluster.handle_after_pass(&exited);
    assert_eq!(cluster.scheduler.complete_jobs().len(), 1);
    // Copies in any order, from before the start, of the run, of the end: no task comes back, ends or ends again.
    cluster.scheduler.advance_clock(9000);
    for copy in [&empty, &running, &exited, &running] {
        assert!(cluster.handle_after_pass(copy).is_empty());
    }
    assert_eq!(cluster.scheduler.task_counts("wk-1"), Some(counts(1, 0)));
    // Nor does a copy renew what is assumed of the lease or pass for a sign of life.
    let m = cluster.scheduler.machines().next().unwrap().1;
    assert_eq!(
        (m.lease.renewed_at(), m.contact.acknowledged_at()),
        (at(5000), at(5000))
    );
}

#[test]
fn another_attempt_than_the_one_sent_is_taken_for_what_is_there() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.add_machine("n-2", "a");
    cluster.submit(spec("wk-1", 1), 50);
    cluster.replay(&[("n-1", "wk-1/0", 9)]);
    cluster.heartbeat("n-1", &[("wk-1/0", 7, TaskState::Running, None)]);
    assert!(starts(&cluster.heartbeat("n-2", &[])).is_empty());
    assert_eq!(cluster.scheduler.task_counts("wk-1"), Some(counts(0, 1)));
}

#[test]
fn a_session_that_begins_unanswered_has_its_full_lease() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.heartbeat("n-1", &[]);
    // From now on it reaches no controller; direct commands and their answers get through. It begins its second session
    // without an answer, which a probe tells shortly before the first one's lease would be over here.
    cluster.advance_to(1000 + LEASE_MS / 2 - 1000);
    let at = cluster.scheduler.now().as_millis();
    let mut r = cluster.next_status("n-1", first_token(EPOCH), &[]);
    r.session = 2;
    cluster
        .scheduler
        .handle_heartbeat(&r, HeartbeatSource::DirectResponse);
    let token = first_token(EPOCH) + 1;
    let mut r = cluster.next_status("n-1", token, &[]);
    r.session = 2;
    cluster
        .scheduler
        .handle_heartbeat(&r, HeartbeatSource::DirectResponse);
    cluster.submit(spec("wk-1", 1), 101);
    cluster.scheduler.request_pass();
    cluster.scheduler.place();
    cluster.write_start_log();
    let sent = cluster.scheduler.direct_commands(9);
    let started = starts(&sent[0].commands);
    let mut r = cluster.next_status(
        "n-1",
        token,
        &[(&started[0].0, started[0].1, TaskState::Running, None)],
    );
    r.session = 2;
    cluster.scheduler.handle_direct_response(&sent[0], Some(&r));
    // The task is there until the lease of the second session has surely run out.
    cluster.advance_to(at + LEASE_MS);
    let first = MachineIndex::from_position(0);
    assert_eq!(cluster.scheduler.machine(first).load.tasks().len(), 1);
    cluster.advance_to(at + LEASE_MS + 1000);
    assert!(cluster.scheduler.machine(first).load.tasks().is_empty());
}
