//! What a new leader knows of its predecessor, and how it learns what runs where.

use super::*;
use crate::store::{Epoch, Revision};

#[test]
fn a_new_leader_places_all_but_what_an_unheard_machine_may_run() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.inherit_machine("n-2");
    cluster.submit(spec("wk-1", 3), 50);
    cluster.replay(&[("n-1", "wk-1/0", 7), ("n-2", "wk-1/1", 8)]);
    // wk-1/1 may run on n-2; wk-1/2 was never started, and need not wait.
    cluster.heartbeat("n-1", &[("wk-1/0", 7, TaskState::Running, None)]);
    let got = starts(&cluster.heartbeat("n-1", &[("wk-1/0", 7, TaskState::Running, None)]));
    assert_eq!(
        got.iter().map(|g| g.0.as_str()).collect::<Vec<_>>(),
        vec!["wk-1/2"]
    );
    let all = [
        ("wk-1/0", 7, TaskState::Running, None),
        ("wk-1/2", got[0].1, TaskState::Running, None),
    ];
    assert!(starts(&cluster.heartbeat("n-1", &all)).is_empty());
    // A report under the old token says nothing: an old start may still be on its way to the worker.
    assert!(cluster
        .heartbeat_with_token("n-2", first_token(Epoch::new(4)), &[])
        .is_empty());
    assert_eq!(cluster.scheduler.unreconciled_machines(), 1);
    let mut got = starts(&cluster.heartbeat("n-2", &[]));
    got.extend(starts(&cluster.heartbeat("n-1", &all)));
    assert_eq!(got[0].0, "wk-1/1");
    assert!(got[0].1 > 8, "attempts of a later epoch are larger");
}

#[test]
fn a_new_leader_waits_for_lease_and_grace_period_of_a_machine_it_never_hears() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.add_machine("n-9", "a");
    cluster.submit(spec("wk-1", 1), 50);
    cluster.replay(&[("n-1", "wk-1/0", 7)]);
    // The earlier leader may have renewed its lease until GRACE_PERIOD_MS after this epoch began.
    for (after, placed) in [(0, 0), (1000, 1)] {
        // A machine that is heard just now could take the task.
        cluster
            .scheduler
            .advance_clock(1000 + LEASE_MS + GRACE_PERIOD_MS + after);
        cluster.heartbeat("n-9", &[]);
        cluster.run_round(1000 + LEASE_MS + GRACE_PERIOD_MS + after);
        assert_eq!(starts(&cluster.heartbeat("n-9", &[])).len(), placed);
    }
}

#[test]
fn a_new_leader_knows_the_holders_of_images_from_the_start_log() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.inherit_machine("n-2");
    cluster.submit(spec("wk-1", 2), 50);
    cluster.replay(&[("n-2", "wk-1/0", 7)]);
    // Neither runs anything any more, but n-2 has fetched the image.
    for n in ["n-1", "n-2"] {
        let r = cluster.next_status(n, first_token(EPOCH), &[]);
        cluster
            .scheduler
            .handle_heartbeat(&r, HeartbeatSource::Request { may_start: true });
    }
    cluster.run_round(1100);
    assert_eq!(starts(&cluster.heartbeat("n-1", &[])).len(), 0);
    assert_eq!(starts(&cluster.heartbeat("n-2", &[])).len(), 2);
}

#[test]
fn a_worker_that_has_seen_a_later_epoch_ends_this_one() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    let r = cluster.next_status("n-1", first_token(Epoch::new(6)), &[]);
    assert_eq!(
        cluster
            .scheduler
            .handle_heartbeat(&r, HeartbeatSource::Request { may_start: true }),
        HeartbeatDecision::Superseded
    );
}

#[test]
fn a_cancelled_job_of_an_earlier_epoch_is_kept_until_nothing_of_it_can_run() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.scheduler.add_job(
        LiveRecord {
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
fn stored_results_survive_a_crash_of_every_node() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.scheduler.add_job(
        LiveRecord {
            spec: spec("wk-1", 3),
            at_ms: 0,
        },
        Revision::new(50),
        &[(0, vec![0b101])],
        0,
        false,
    );
    let got = starts(&cluster.heartbeat("n-1", &[]));
    assert_eq!(
        got.iter().map(|g| g.0.as_str()).collect::<Vec<_>>(),
        vec!["wk-1/1"]
    );
}

#[test]
fn a_new_leader_that_nobody_answers_soon_knows_that_it_is_isolated() {
    let new_leader = |answered: bool| {
        let mut cluster = Cluster::new();
        // Reports come so seldom that waiting for them would take most of a lease.
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
            let answer = cluster.next_status(&probes[0].machine, first_token(EPOCH), &[]);
            cluster
                .scheduler
                .handle_direct_response(&probes[0], Some(&answer));
        }
        cluster.advance_to(6500);
        cluster.scheduler.is_isolated_from_workers()
    };
    assert!(new_leader(false));
    // One answer, by whichever way, and it is the others that are out.
    assert!(!new_leader(true));
}

#[test]
fn a_late_copy_as_a_new_leaders_first_message_proves_nothing() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.add_machine("n-9", "a");
    cluster.submit(spec("wk-1", 1), 50);
    cluster.replay(&[("n-1", "wk-1/0", (4 << EPOCH_SHIFT) + 3)]);
    // From before the task was started, and under the token of the epoch before.
    let copy = cluster.next_status("n-1", first_token(Epoch::new(4)), &[]);
    cluster.run_round(2000);
    assert!(cluster.handle_after_pass(&copy).is_empty());
    assert!(starts(&cluster.heartbeat("n-9", &[])).is_empty());
    // It also says nothing of whether the machine is alive.
    cluster.advance_to(8000);
    let copy = cluster.next_status("n-1", first_token(Epoch::new(4)), &[]);
    cluster.handle_after_pass(&copy);
    let n1 = cluster
        .scheduler
        .machines()
        .find(|(_, m)| m.name() == "n-1")
        .map(|(i, m)| (i, m.contact.acknowledges_token()))
        .unwrap();
    assert!(
        !n1.1
            && cluster
                .scheduler
                .unresponsive_machines(ms(5000), ms(9000))
                .contains(&n1.0)
    );
}

#[test]
fn the_answer_to_a_new_leaders_probe_tells_at_once_what_is_gone() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.submit(spec("wk-1", 1), 50);
    cluster.replay(&[("n-1", "wk-1/0", 7)]);
    cluster.run_round(1100);
    let probe = cluster.scheduler.due_probes(9).remove(0);
    let answer = cluster.next_status("n-1", first_token(EPOCH), &[]);
    cluster
        .scheduler
        .handle_direct_response(&probe, Some(&answer));
    // The worker has seen the new token: no start of an earlier epoch is under way to it any more.
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
        let mut got = starts(&cluster.heartbeat("n-9", &[]));
        cluster.run_round(1000 + LEASE_MS + GRACE_PERIOD_MS + after);
        if got.is_empty() {
            got = starts(&cluster.heartbeat("n-9", &[]));
        }
        assert_eq!(got.len(), placed);
    }
}

#[test]
fn a_new_leaders_first_answer_already_stops_what_is_cancelled() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.scheduler.add_job(
        LiveRecord {
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
    // The worker still shows the token of an earlier epoch: nothing is concluded, but the cancelled task is stopped, and
    // what belongs to no job of the store any more. A machine that hangs after its lease was renewed keeps neither.
    let (run, done) = (TaskState::Running, TaskState::Exited);
    let lines = [
        ("wk-1/0", 71, run, None),
        ("wk-2/0", 72, run, None),
        ("wk-9/0", 7, run, None),
        ("wk-1/1", 70, done, None),
    ];
    let r = cluster.next_status("n-1", first_token(Epoch::new(4)), &lines);
    let HeartbeatDecision::Reply(reply) = cluster
        .scheduler
        .handle_heartbeat(&r, HeartbeatSource::Request { may_start: false })
    else {
        panic!()
    };
    let stopped: Vec<&str> = reply
        .commands
        .iter()
        .map(|o| match o {
            Command::Stop { task, grace_s, .. } if *grace_s == 0.0 => task.as_str(),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(stopped, ["wk-1/0", "wk-9/0"]);
    // It counts until it is gone.
    assert_eq!(cluster.cpu_milli_in_use("t"), 4000);
}
