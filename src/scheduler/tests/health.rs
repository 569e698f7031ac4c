//! Machines and jobs that fail, and termination notices.

use super::*;

#[test]
fn a_machine_that_fails_several_jobs_is_quarantined_and_a_job_that_fails_everywhere_backs_off() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    for (n, id) in ["wk-1", "wk-2"].into_iter().enumerate() {
        cluster.submit(spec(id, 1), 101 + n as u64);
        cluster.scheduler.reconsider();
        let now = 1000 + n as u64 * 6_000;
        cluster.scheduler.tick(now);
        let mut got = starts(&cluster.heartbeat("n-1", &[]));
        if got.is_empty() {
            got = starts(&cluster.heartbeat("n-1", &[]));
        }
        cluster.heartbeat("n-1", &as_exited(&got, ExitReason::Error));
    }
    let state = cluster.scheduler.machines().next().map(|(_, m)| m.state());
    assert_eq!(state, Some(MachineState::Draining));

    let mut cluster = Cluster::new();
    for name in ["n-1", "n-2", "n-3"] {
        cluster.add_machine(name, "a");
    }
    cluster.submit(
        JobSpec {
            cpus: 8.0,
            ..spec("wk-1", 3)
        },
        101,
    );
    cluster.run_round(1100);
    for name in ["n-1", "n-2", "n-3"] {
        let got = starts(&cluster.heartbeat(name, &[]));
        cluster.heartbeat(name, &as_exited(&got[..1], ExitReason::Error));
    }
    assert!(cluster
        .scheduler
        .machines()
        .all(|(_, m)| m.state() == MachineState::Up));
    cluster.run_round(1200);
    assert!(
        starts(&cluster.heartbeat("n-1", &[])).is_empty(),
        "a job with a mistake backs off"
    );
}

#[test]
fn a_termination_notice_drains_the_machine_and_lets_work_save_in_time() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(
        JobSpec {
            checkpoint_interval_s: 10.0,
            checkpoint_save_s: 4.0,
            ..spec("wk-1", 1)
        },
        101,
    );
    let got = starts(&cluster.heartbeat("n-1", &[]));
    let mut r = cluster.report("n-1", first_token(EPOCH), &as_running(&got[..1]));
    r.termination_notice_s = Some(20.0);
    cluster.handle(&r);
    cluster.submit(spec("wk-2", 1), 102);
    cluster.run_round(2000);
    let mut r = cluster.report("n-1", first_token(EPOCH), &as_running(&got[..1]));
    r.termination_notice_s = Some(19.0);
    assert!(cluster.handle(&r).is_empty());
    cluster.run_round(12_500);
    let mut r = cluster.report("n-1", first_token(EPOCH), &as_running(&got[..1]));
    r.termination_notice_s = Some(8.5);
    assert_eq!(
        cluster.handle(&r),
        vec![Command::Stop {
            task: "wk-1/0".into(),
            attempt: got[0].1,
            grace_s: 4.0
        }]
    );
}

/// Everything that starts fails; returns how many tasks did.
fn fail_all_starts(cluster: &mut Cluster) -> usize {
    let mut tried = 0;
    for name in ["n-1", "n-2", "n-3"] {
        let got = starts(&cluster.heartbeat(name, &[]));
        tried += got.len();
        cluster.heartbeat(name, &as_exited(&got, ExitReason::Error));
    }
    tried
}

#[test]
fn a_job_that_fails_everywhere_quarantines_no_machine_and_tries_one_task_at_a_time() {
    let mut cluster = Cluster::new();
    for name in ["n-1", "n-2", "n-3"] {
        cluster.add_machine(name, "a");
    }
    // Two of them meet on a machine, which looks faulty for a moment; elsewhere they fail too.
    for (id, version) in [("wk-1", 101), ("wk-2", 102)] {
        cluster.submit(
            JobSpec {
                cpus: 4.0,
                ..spec(id, 30)
            },
            version,
        );
    }
    let mut most = 0;
    for round in 0..200 {
        cluster.run_round(2000 + round * 1000);
        let tried = fail_all_starts(&mut cluster);
        if round > 20 {
            most = most.max(tried);
        }
    }
    assert!(cluster
        .scheduler
        .machines()
        .all(|(_, m)| m.state() == MachineState::Up && m.health.has_no_failures()));
    assert!(
        cluster
            .scheduler
            .jobs()
            .all(|j| j.fails_everywhere(cluster.scheduler.now()))
            && most <= 2,
        "{most}"
    );
    // Nothing is rented for them, and others find room beside the one place each.
    cluster.run_round(202_000);
    let demands = cluster.scheduler.unmet_demand(false);
    assert!(demands.iter().map(|n| n.tasks).sum::<u32>() <= 2);
    cluster.submit(
        JobSpec {
            cpus: 8.0,
            ..spec("wk-3", 3)
        },
        103,
    );
    cluster.run_round(202_500);
    assert!(!cluster
        .scheduler
        .job(cluster.scheduler.jobs.index_of("wk-3").unwrap())
        .active
        .is_empty());
}
