//! Events that prove that a task is no longer on a machine, and events that do not.

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
fn a_delayed_heartbeat_does_not_mark_a_running_task_as_gone() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    let delayed = cluster.next_status("n-1", first_token(EPOCH), &[]);
    let started = starts(&cluster.heartbeat("n-1", &[]));
    assert_eq!(started.len(), 1);
    cluster.heartbeat("n-1", &[("wk-1/0", started[0].1, TaskState::Running, None)]);
    assert!(cluster.handle_after_pass(&delayed).is_empty());
    assert_eq!(cluster.scheduler.task_counts("wk-1"), Some(counts(0, 1)));
}

#[test]
fn nothing_starts_without_authority_nor_on_an_unregistered_machine() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    cluster.run_round(1100);
    let status = cluster.next_status("n-1", first_token(EPOCH), &[]);
    assert_eq!(
        cluster
            .scheduler
            .handle_heartbeat(&status, HeartbeatSource::Request { may_start: false }),
        HeartbeatDecision::Reply(HeartbeatReply {
            token: first_token(EPOCH),
            commands: vec![]
        }),
        "a reply that only renews the lease, as during a store outage, starts no task"
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
    let tasks = starts(&cluster.heartbeat("n-1", &[]));
    let done = |i: usize| {
        (
            tasks[i].0.as_str(),
            tasks[i].1,
            TaskState::Exited,
            Some(ExitReason::Done),
        )
    };
    let running = |i: usize| (tasks[i].0.as_str(), tasks[i].1, TaskState::Running, None);
    assert!(cluster.heartbeat("n-1", &[done(0), running(1)]).is_empty());
    assert!(cluster.scheduler.complete_jobs().is_empty());
    let chunks = cluster.scheduler.unstored_chunks(9, usize::MAX);
    assert_eq!(chunks.len(), 1);
    cluster.scheduler.record_stored(&chunks[0]);
    let commands = cluster.heartbeat("n-1", &[done(0), running(1)]);
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

/// The results of a chunk whose bitmap is too large for a value once kept those of all other jobs from being stored.
#[test]
fn results_that_exceed_the_limit_on_values_hold_no_others_up() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 4000), 101);
    let large = starts(&cluster.heartbeat("n-1", &[]));
    cluster.add_machine("n-2", "a");
    cluster.submit(
        JobSpec {
            priority: Priority::Production,
            ..spec("wk-2", 6)
        },
        102,
    );
    let small = starts(&cluster.heartbeat("n-2", &[]));
    for (machine, tasks) in [("n-1", &large), ("n-2", &small)] {
        cluster.heartbeat(machine, &as_exited(&tasks[..1], ExitReason::Done));
    }
    let jobs = |max_bitmap_bytes| -> Vec<String> {
        let chunks = cluster.scheduler.unstored_chunks(1, max_bitmap_bytes);
        chunks.into_iter().map(|chunk| chunk.job).collect()
    };
    assert_eq!(jobs(512), ["wk-1"]);
    assert_eq!(jobs(100), ["wk-2"]);
}

#[test]
fn a_new_session_after_answered_heartbeats_advances_the_token() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    let started = starts(&cluster.heartbeat("n-1", &[]));
    cluster.heartbeat("n-1", &as_running(&started[..1]));
    let mut status = cluster.next_status("n-1", first_token(EPOCH), &[]);
    status.session = 2;
    // The tasks of the machine are gone, but it gets no new ones until it has acknowledged the new token.
    assert!(cluster.handle_after_pass(&status).is_empty());
    assert_eq!(cluster.scheduler.jobs().map(Job::pending).sum::<u32>(), 1);
    let mut status = cluster.next_status("n-1", first_token(EPOCH), &[]);
    status.session = 2;
    assert!(cluster.handle_after_pass(&status).is_empty());
    let mut status = cluster.next_status("n-1", first_token(EPOCH) + 1, &[]);
    status.session = 2;
    cluster.handle_after_pass(&status);
    let mut status = cluster.next_status("n-1", first_token(EPOCH) + 1, &[]);
    status.session = 2;
    assert_eq!(starts(&cluster.handle_after_pass(&status)).len(), 1);
}

#[test]
fn delayed_duplicates_of_heartbeats_change_nothing() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    let empty = cluster.next_status("n-1", first_token(EPOCH), &[]);
    let started = starts(&cluster.heartbeat("n-1", &[]));
    let running_task = (
        started[0].0.as_str(),
        started[0].1,
        TaskState::Running,
        None,
    );
    let running = cluster.next_status("n-1", first_token(EPOCH), &[running_task]);
    cluster.handle_after_pass(&running);
    let exited = cluster.next_status(
        "n-1",
        first_token(EPOCH),
        &[(
            started[0].0.as_str(),
            started[0].1,
            TaskState::Exited,
            Some(ExitReason::Done),
        )],
    );
    cluster.scheduler.advance_clock(5000);
    cluster.handle_after_pass(&exited);
    assert_eq!(cluster.scheduler.complete_jobs().len(), 1);
    // Duplicates from before the start, of the run and of the end arrive in any order: no task becomes active again or ends a
    // second time.
    cluster.scheduler.advance_clock(9000);
    for duplicate in [&empty, &running, &exited, &running] {
        assert!(cluster.handle_after_pass(duplicate).is_empty());
    }
    assert_eq!(cluster.scheduler.task_counts("wk-1"), Some(counts(1, 0)));
    // Nor does a duplicate renew the lease or count as contact with the machine.
    let machine = cluster.scheduler.machines().next().unwrap().1;
    assert_eq!(
        (
            machine.lease.renewed_at(),
            machine.contact.acknowledged_at()
        ),
        (at(5000), at(5000))
    );
}

#[test]
fn a_listed_attempt_is_adopted_in_place_of_the_logged_one() {
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
fn a_session_that_begins_without_a_reply_has_a_full_lease() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.heartbeat("n-1", &[]);
    // From now on the worker's heartbeat requests reach no controller, but direct commands and their responses get through. It
    // begins its second session without a reply. The response to a probe shows this 1 s before half of the first session's
    // lease is over, after which the machine would get no more work.
    cluster.advance_to(1000 + LEASE_MS / 2 - 1000);
    let session_seen_at = cluster.scheduler.now().as_millis();
    let mut status = cluster.next_status("n-1", first_token(EPOCH), &[]);
    status.session = 2;
    cluster
        .scheduler
        .handle_heartbeat(&status, HeartbeatSource::DirectResponse);
    let token = first_token(EPOCH) + 1;
    let mut status = cluster.next_status("n-1", token, &[]);
    status.session = 2;
    cluster
        .scheduler
        .handle_heartbeat(&status, HeartbeatSource::DirectResponse);
    cluster.submit(spec("wk-1", 1), 101);
    cluster.scheduler.request_pass();
    cluster.scheduler.place();
    cluster.write_start_log();
    let sent = cluster.scheduler.direct_commands(9);
    let started = starts(&sent[0].commands);
    let mut status = cluster.next_status(
        "n-1",
        token,
        &[(&started[0].0, started[0].1, TaskState::Running, None)],
    );
    status.session = 2;
    cluster
        .scheduler
        .handle_direct_response(&sent[0], Some(&status));
    // The task counts as on the machine until the lease of the second session has certainly expired.
    cluster.advance_to(session_seen_at + LEASE_MS);
    let first = MachineIndex::from_position(0);
    assert_eq!(cluster.scheduler.machine(first).load.tasks().len(), 1);
    cluster.advance_to(session_seen_at + LEASE_MS + 1000);
    assert!(cluster.scheduler.machine(first).load.tasks().is_empty());
}
