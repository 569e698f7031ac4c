//! A new leader: what it takes over from earlier epochs, and how it determines which tasks are on which machine.

use super::*;
use crate::store::{Epoch, Revision};

#[test]
fn a_new_leader_places_all_tasks_but_those_that_a_silent_machine_may_run() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.inherit_machine("n-2");
    cluster.submit(spec("wk-1", 3), 50);
    cluster.replay(&[("n-1", "wk-1/0", 7), ("n-2", "wk-1/1", 8)]);
    // wk-1/1 may be running on n-2. wk-1/2 was never started, so it is placed at once.
    cluster.heartbeat("n-1", &[("wk-1/0", 7, TaskState::Running, None)]);
    let started = starts(&cluster.heartbeat("n-1", &[("wk-1/0", 7, TaskState::Running, None)]));
    assert_eq!(
        started
            .iter()
            .map(|start| start.0.as_str())
            .collect::<Vec<_>>(),
        vec!["wk-1/2"]
    );
    let running = [
        ("wk-1/0", 7, TaskState::Running, None),
        ("wk-1/2", started[0].1, TaskState::Running, None),
    ];
    assert!(starts(&cluster.heartbeat("n-1", &running)).is_empty());
    // A heartbeat under an old token proves nothing: a start of the earlier epoch may still be in transit to the worker.
    assert!(cluster
        .heartbeat_with_token("n-2", first_token(Epoch::new(4)), &[])
        .is_empty());
    assert_eq!(cluster.scheduler.unreconciled_machines(), 1);
    let mut started = starts(&cluster.heartbeat("n-2", &[]));
    started.extend(starts(&cluster.heartbeat("n-1", &running)));
    assert_eq!(started[0].0, "wk-1/1");
    assert!(
        started[0].1 > 8,
        "attempt numbers of a later epoch are larger"
    );
}

#[test]
fn a_new_leader_waits_for_lease_and_grace_period_of_a_silent_machine() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.add_machine("n-9", "a");
    cluster.submit(spec("wk-1", 1), 50);
    cluster.replay(&[("n-1", "wk-1/0", 7)]);
    // The earlier leader may have renewed the lease of n-1 until GRACE_PERIOD_MS after the beginning of this epoch.
    for (after, placed) in [(0, 0), (1000, 1)] {
        // n-9 has just sent a heartbeat and could run the task.
        cluster
            .scheduler
            .advance_clock(1000 + LEASE_MS + GRACE_PERIOD_MS + after);
        cluster.heartbeat("n-9", &[]);
        cluster.run_round(1000 + LEASE_MS + GRACE_PERIOD_MS + after);
        assert_eq!(starts(&cluster.heartbeat("n-9", &[])).len(), placed);
    }
}

#[test]
fn a_new_leader_learns_the_image_holders_from_the_start_log() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.inherit_machine("n-2");
    cluster.submit(spec("wk-1", 2), 50);
    cluster.replay(&[("n-2", "wk-1/0", 7)]);
    // Neither machine has a task any more, but n-2 has fetched the image.
    for name in ["n-1", "n-2"] {
        let status = cluster.next_status(name, first_token(EPOCH), &[]);
        cluster
            .scheduler
            .handle_heartbeat(&status, HeartbeatSource::Request { may_start: true });
    }
    cluster.run_round(1100);
    assert_eq!(starts(&cluster.heartbeat("n-1", &[])).len(), 0);
    assert_eq!(starts(&cluster.heartbeat("n-2", &[])).len(), 2);
}

#[test]
fn a_worker_that_has_seen_a_later_epoch_ends_this_one() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    let status = cluster.next_status("n-1", first_token(Epoch::new(6)), &[]);
    assert_eq!(
        cluster
            .scheduler
            .handle_heartbeat(&status, HeartbeatSource::Request { may_start: true }),
        HeartbeatDecision::Superseded
    );
}

#[test]
fn a_cancelled_job_of_an_earlier_epoch_is_kept_until_none_of_its_tasks_can_run() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.scheduler.add_job(
        JobRecord {
            spec: spec("wk-1", 1),
            at_ms: 0,
        },
        Revision::new(50),
        &[],
        0,
        true,
    );
    cluster.replay(&[("n-1", "wk-1/0", 7)]);
    assert!(cluster.scheduler.remove_stopped_jobs().is_empty());
    assert_eq!(
        count_stops(&cluster.heartbeat("n-1", &[("wk-1/0", 7, TaskState::Running, None)])),
        1
    );
    assert!(cluster.scheduler.remove_stopped_jobs().is_empty());
    cluster.heartbeat("n-1", &[]);
    assert_eq!(cluster.scheduler.remove_stopped_jobs().len(), 1);
}

#[test]
fn stored_results_survive_a_crash_of_every_controller() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.scheduler.add_job(
        JobRecord {
            spec: spec("wk-1", 3),
            at_ms: 0,
        },
        Revision::new(50),
        &[(0, vec![0b101])],
        0,
        false,
    );
    let started = starts(&cluster.heartbeat("n-1", &[]));
    assert_eq!(
        started
            .iter()
            .map(|start| start.0.as_str())
            .collect::<Vec<_>>(),
        vec!["wk-1/1"]
    );
}

#[test]
fn a_new_leader_without_any_response_soon_considers_itself_isolated() {
    let new_leader = |answered: bool| {
        let mut cluster = Cluster::new();
        // Heartbeats are so rare that waiting for them would take most of a lease.
        cluster.scheduler.params.heartbeat_interval = ms(5000);
        for name in ["n-1", "n-2", "n-3"] {
            cluster.inherit_machine(name);
        }
        cluster.submit(spec("wk-1", 3), 50);
        cluster.replay(&[
            ("n-1", "wk-1/0", 7),
            ("n-2", "wk-1/1", 8),
            ("n-3", "wk-1/2", 9),
        ]);
        let probes = cluster.scheduler.due_probes(9);
        assert_eq!(probes.len(), 3);
        cluster.advance_to(5500);
        assert!(!cluster.scheduler.is_isolated_from_workers());
        if answered {
            let response = cluster.next_status(&probes[0].machine, first_token(EPOCH), &[]);
            cluster
                .scheduler
                .handle_direct_response(&probes[0], Some(&response));
        }
        cluster.advance_to(6500);
        cluster.scheduler.is_isolated_from_workers()
    };
    assert!(new_leader(false));
    // A single message from a worker, a heartbeat or a response to a probe, shows that the other machines are unreachable
    // rather than this process.
    assert!(!new_leader(true));
}

#[test]
fn a_delayed_heartbeat_of_the_previous_epoch_proves_nothing_to_a_new_leader() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.add_machine("n-9", "a");
    cluster.submit(spec("wk-1", 1), 50);
    cluster.replay(&[("n-1", "wk-1/0", (4 << EPOCH_SHIFT) + 3)]);
    // The heartbeat was sent before the task was started, under the token of the previous epoch.
    let delayed = cluster.next_status("n-1", first_token(Epoch::new(4)), &[]);
    cluster.run_round(2000);
    assert!(cluster.handle_after_pass(&delayed).is_empty());
    assert!(starts(&cluster.heartbeat("n-9", &[])).is_empty());
    // Nor does it show that the machine is alive.
    cluster.advance_to(8000);
    let delayed = cluster.next_status("n-1", first_token(Epoch::new(4)), &[]);
    cluster.handle_after_pass(&delayed);
    let inherited = cluster
        .scheduler
        .machines()
        .find(|(_, machine)| machine.name() == "n-1")
        .map(|(i, machine)| (i, machine.contact.acknowledges_token()))
        .unwrap();
    assert!(
        !inherited.1
            && cluster
                .scheduler
                .unresponsive_machines(ms(5000), ms(9000))
                .contains(&inherited.0)
    );
}

#[test]
fn the_response_to_a_new_leaders_probe_proves_at_once_which_tasks_are_gone() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.submit(spec("wk-1", 1), 50);
    cluster.replay(&[("n-1", "wk-1/0", 7)]);
    cluster.run_round(1100);
    let probe = cluster.scheduler.due_probes(9).remove(0);
    let response = cluster.next_status("n-1", first_token(EPOCH), &[]);
    cluster
        .scheduler
        .handle_direct_response(&probe, Some(&response));
    // The worker has seen the new token, so starts of earlier epochs that are still in transit to it are void.
    assert_eq!(cluster.scheduler.jobs().map(Job::pending).sum::<u32>(), 1);
}

#[test]
fn after_an_epoch_without_a_start_log_nothing_is_placed_until_its_leases_have_expired() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-9", "a");
    cluster.submit(spec("wk-1", 1), 50);
    cluster.scheduler.wait_for_lease_expiry();
    for (after, placed) in [(0, 0), (2000, 1)] {
        cluster
            .scheduler
            .advance_clock(1000 + LEASE_MS + GRACE_PERIOD_MS + after);
        let mut started = starts(&cluster.heartbeat("n-9", &[]));
        cluster.run_round(1000 + LEASE_MS + GRACE_PERIOD_MS + after);
        if started.is_empty() {
            started = starts(&cluster.heartbeat("n-9", &[]));
        }
        assert_eq!(started.len(), placed);
    }
}

#[test]
fn a_new_leaders_first_reply_already_stops_tasks_of_cancelled_jobs() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.scheduler.add_job(
        JobRecord {
            spec: spec("wk-1", 2),
            at_ms: 0,
        },
        Revision::new(101),
        &[],
        0,
        true,
    );
    cluster.submit(spec("wk-2", 1), 102);
    cluster.replay(&[("n-1", "wk-1/0", 71), ("n-1", "wk-2/0", 72)]);
    // The heartbeat is under a token of an earlier epoch, so nothing is concluded from it. Tasks of jobs that are cancelled or
    // no longer in the store are stopped all the same. Otherwise a machine that hangs after the reply has renewed its lease
    // would keep them.
    let (running, exited) = (TaskState::Running, TaskState::Exited);
    let reported = [
        ("wk-1/0", 71, running, None),
        ("wk-2/0", 72, running, None),
        ("wk-9/0", 7, running, None),
        ("wk-1/1", 70, exited, None),
    ];
    let status = cluster.next_status("n-1", first_token(Epoch::new(4)), &reported);
    let HeartbeatDecision::Reply(reply) = cluster
        .scheduler
        .handle_heartbeat(&status, HeartbeatSource::Request { may_start: false })
    else {
        panic!()
    };
    let stopped: Vec<&str> = reply
        .commands
        .iter()
        .map(|command| match command {
            Command::Stop { task, grace_s, .. } if *grace_s == 0.0 => task.as_str(),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(stopped, ["wk-1/0", "wk-9/0"]);
    // The cancelled task counts towards the team's quota until it is proven gone.
    assert_eq!(cluster.cpu_milli_in_use("t"), 4000);
}
