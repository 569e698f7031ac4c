//! Faulty machines, faulty jobs and termination notices.

use super::*;

#[test]
fn a_machine_on_which_several_jobs_fail_is_quarantined_and_a_job_that_fails_everywhere_backs_off() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    for (index, id) in ["wk-1", "wk-2"].into_iter().enumerate() {
        cluster.submit(spec(id, 1), 101 + index as u64);
        cluster.scheduler.request_pass();
        let now = 1000 + index as u64 * 6_000;
        cluster.scheduler.tick(now);
        let mut started = starts(&cluster.heartbeat("n-1", &[]));
        if started.is_empty() {
            started = starts(&cluster.heartbeat("n-1", &[]));
        }
        cluster.heartbeat("n-1", &as_exited(&started, ExitReason::Error));
    }
    let state = cluster
        .scheduler
        .machines()
        .next()
        .map(|(_, machine)| machine.state());
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
        let started = starts(&cluster.heartbeat(name, &[]));
        cluster.heartbeat(name, &as_exited(&started[..1], ExitReason::Error));
    }
    assert!(cluster
        .scheduler
        .machines()
        .all(|(_, machine)| machine.state() == MachineState::Up));
    cluster.run_round(1200);
    assert!(
        starts(&cluster.heartbeat("n-1", &[])).is_empty(),
        "a job that fails everywhere backs off"
    );
}

#[test]
fn a_termination_notice_drains_the_machine_and_stops_tasks_in_time_to_save() {
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
    let started = starts(&cluster.heartbeat("n-1", &[]));
    let mut status = cluster.next_status("n-1", first_token(EPOCH), &as_running(&started[..1]));
    status.termination_notice_s = Some(20.0);
    cluster.handle_after_pass(&status);
    cluster.submit(spec("wk-2", 1), 102);
    cluster.run_round(2000);
    let mut status = cluster.next_status("n-1", first_token(EPOCH), &as_running(&started[..1]));
    status.termination_notice_s = Some(19.0);
    assert!(cluster.handle_after_pass(&status).is_empty());
    cluster.run_round(12_500);
    let mut status = cluster.next_status("n-1", first_token(EPOCH), &as_running(&started[..1]));
    status.termination_notice_s = Some(8.5);
    assert_eq!(
        cluster.handle_after_pass(&status),
        vec![Command::Stop {
            task: "wk-1/0".into(),
            attempt: started[0].1,
            grace_s: 4.0
        }]
    );
}

/// Lets all tasks fail that start on the three machines, and returns their number.
fn fail_all_starts(cluster: &mut Cluster) -> usize {
    let mut failed = 0;
    for name in ["n-1", "n-2", "n-3"] {
        let started = starts(&cluster.heartbeat(name, &[]));
        failed += started.len();
        cluster.heartbeat(name, &as_exited(&started, ExitReason::Error));
    }
    failed
}

#[test]
fn a_job_that_fails_everywhere_quarantines_no_machine_and_tries_one_task_at_a_time() {
    let mut cluster = Cluster::new();
    for name in ["n-1", "n-2", "n-3"] {
        cluster.add_machine(name, "a");
    }
    // Tasks of both jobs fail on the same machine, which seems faulty until they have failed on other machines too.
    for (id, version) in [("wk-1", 101), ("wk-2", 102)] {
        cluster.submit(
            JobSpec {
                cpus: 4.0,
                ..spec(id, 30)
            },
            version,
        );
    }
    let mut max_failed = 0;
    for round in 0..200 {
        cluster.run_round(2000 + round * 1000);
        let failed = fail_all_starts(&mut cluster);
        if round > 20 {
            max_failed = max_failed.max(failed);
        }
    }
    assert!(cluster.scheduler.machines().all(
        |(_, machine)| machine.state() == MachineState::Up && machine.health.has_no_failures()
    ));
    assert!(
        cluster
            .scheduler
            .jobs()
            .all(|job| job.fails_everywhere(cluster.scheduler.now()))
            && max_failed <= 2,
        "{max_failed}"
    );
    // Machines are requested for at most one task of each of them, and another job is placed beside the one task that each may
    // run.
    cluster.run_round(202_000);
    let demands = cluster.scheduler.unmet_demand(false);
    assert!(demands.iter().map(|demand| demand.tasks).sum::<u32>() <= 2);
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
