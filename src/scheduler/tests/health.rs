//! Machines and jobs that fail, and termination notices.

use super::*;

#[test]
fn a_machine_that_fails_several_jobs_is_quarantined_and_a_job_that_fails_everywhere_backs_off() {
    let mut w = World::new();
    w.machine("n-1", "a");
    for (n, id) in ["wk-1", "wk-2"].into_iter().enumerate() {
        w.job(spec(id, 1), 101 + n as u64);
        w.scheduler.reconsider();
        let now = 1000 + n as u64 * 6_000;
        w.scheduler.tick(now);
        let mut got = starts(&w.tell("n-1", &[]));
        if got.is_empty() {
            got = starts(&w.tell("n-1", &[]));
        }
        let failed: Vec<_> = got
            .iter()
            .map(|g| {
                (
                    g.0.as_str(),
                    g.1,
                    TaskState::Exited,
                    Some(ExitReason::Error),
                )
            })
            .collect();
        w.tell("n-1", &failed);
    }
    let state = w.scheduler.machines().next().map(|(_, m)| m.state());
    assert_eq!(state, Some(MachineState::Draining));

    let mut w = World::new();
    for name in ["n-1", "n-2", "n-3"] {
        w.machine(name, "a");
    }
    w.job(
        JobSpec {
            cpus: 8.0,
            ..spec("wk-1", 3)
        },
        101,
    );
    w.tick(1100);
    for name in ["n-1", "n-2", "n-3"] {
        let got = starts(&w.tell(name, &[]));
        w.tell(
            name,
            &[(
                got[0].0.as_str(),
                got[0].1,
                TaskState::Exited,
                Some(ExitReason::Error),
            )],
        );
    }
    assert!(w
        .scheduler
        .machines()
        .all(|(_, m)| m.state() == MachineState::Up));
    w.tick(1200);
    assert!(
        starts(&w.tell("n-1", &[])).is_empty(),
        "a job with a mistake backs off"
    );
}

#[test]
fn a_termination_notice_drains_the_machine_and_lets_work_save_in_time() {
    let mut w = World::new();
    w.machine("n-1", "a");
    w.job(
        JobSpec {
            checkpoint_s: 10.0,
            save_s: 4.0,
            ..spec("wk-1", 1)
        },
        101,
    );
    let got = starts(&w.tell("n-1", &[]));
    let mut r = w.report(
        "n-1",
        w.token(),
        &[(got[0].0.as_str(), got[0].1, TaskState::Running, None)],
    );
    r.notice_s = Some(20.0);
    w.answer(&r);
    w.job(spec("wk-2", 1), 102);
    w.tick(2000);
    let mut r = w.report(
        "n-1",
        w.token(),
        &[(got[0].0.as_str(), got[0].1, TaskState::Running, None)],
    );
    r.notice_s = Some(19.0);
    assert!(w.answer(&r).is_empty());
    w.tick(12_500);
    let mut r = w.report(
        "n-1",
        w.token(),
        &[(got[0].0.as_str(), got[0].1, TaskState::Running, None)],
    );
    r.notice_s = Some(8.5);
    assert_eq!(
        w.answer(&r),
        vec![Command::Stop {
            task: "wk-1/0".into(),
            attempt: got[0].1,
            grace_s: 4.0
        }]
    );
}

#[test]
fn a_job_that_fails_everywhere_quarantines_no_machine_and_tries_one_task_at_a_time() {
    let mut w = World::new();
    for name in ["n-1", "n-2", "n-3"] {
        w.machine(name, "a");
    }
    // Two of them meet on a machine, which looks faulty for a moment; elsewhere they fail too.
    w.job(
        JobSpec {
            cpus: 4.0,
            ..spec("wk-1", 30)
        },
        101,
    );
    w.job(
        JobSpec {
            cpus: 4.0,
            ..spec("wk-2", 30)
        },
        102,
    );
    let mut most = 0;
    for round in 0..200 {
        w.tick(2000 + round * 1000);
        let mut tried = 0;
        for name in ["n-1", "n-2", "n-3"] {
            let got = starts(&w.tell(name, &[]));
            tried += got.len();
            let failed: Vec<_> = got
                .iter()
                .map(|g| {
                    (
                        g.0.as_str(),
                        g.1,
                        TaskState::Exited,
                        Some(ExitReason::Error),
                    )
                })
                .collect();
            w.tell(name, &failed);
        }
        if round > 20 {
            most = most.max(tried);
        }
    }
    assert!(w
        .scheduler
        .machines()
        .all(|(_, m)| m.state() == MachineState::Up && m.health.is_unblemished()));
    assert!(
        w.scheduler
            .jobs()
            .all(|j| j.fails_everywhere(w.scheduler.now()))
            && most <= 2,
        "{most}"
    );
    // Nothing is rented for them, and others find room beside the one place each.
    w.tick(202_000);
    let demands = w.scheduler.unmet_demand(false);
    assert!(demands.iter().map(|n| n.tasks).sum::<u32>() <= 2);
    w.job(
        JobSpec {
            cpus: 8.0,
            ..spec("wk-3", 3)
        },
        103,
    );
    w.tick(202_500);
    assert!(!w
        .scheduler
        .job(w.scheduler.jobs.index_of("wk-3").unwrap())
        .active
        .is_empty());
}
