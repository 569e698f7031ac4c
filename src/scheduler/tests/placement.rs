//! Placement: team limits, cancelled jobs, zones and machine types, gangs, and the order of jobs.

use super::*;

#[test]
fn a_team_stays_within_its_limit_across_epochs_and_cancellations() {
    let mut cluster = Cluster::with_cpu_limit(6000);
    cluster.inherit_machine("n-1");
    cluster.add_machine("n-9", "a");
    cluster.submit(spec("wk-1", 2), 50);
    cluster.submit(spec("wk-2", 4), 101);
    cluster.replay(&[("n-1", "wk-1/0", 7), ("n-1", "wk-1/1", 8)]);
    cluster.run_round(1500);
    // Two tasks of wk-1 may be running on n-1, which has sent no heartbeat, so only one task of wk-2 may start.
    let started = starts(&cluster.heartbeat("n-9", &[]));
    assert_eq!(started.len(), 1);
    let running = (started[0].0.clone(), started[0].1);
    let tasks = [(running.0.as_str(), running.1, TaskState::Running, None)];
    cluster.heartbeat("n-9", &tasks);
    // Tasks of a cancelled job count until they are proven gone.
    cluster.scheduler.stop_job("wk-2");
    cluster.submit(spec("wk-3", 4), 102);
    cluster.run_round(1600);
    let commands = cluster.heartbeat("n-9", &tasks);
    assert_eq!((starts(&commands).len(), count_stops(&commands)), (0, 1));
    cluster.heartbeat("n-9", &[]);
    assert_eq!(starts(&cluster.heartbeat("n-9", &[])).len(), 1);
}

#[test]
fn a_cancelled_job_never_starts_again() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    let started = starts(&cluster.heartbeat("n-1", &[]));
    cluster.scheduler.stop_job("wk-1");
    // The start was in transit when the job was cancelled. The task is stopped once its worker reports it.
    assert!(cluster.scheduler.remove_stopped_jobs().is_empty());
    assert_eq!(
        count_stops(&cluster.heartbeat(
            "n-1",
            &[("wk-1/0", started[0].1, TaskState::Fetching, None)]
        )),
        1
    );
    cluster.heartbeat(
        "n-1",
        &[(
            "wk-1/0",
            started[0].1,
            TaskState::Exited,
            Some(ExitReason::Stopped),
        )],
    );
    assert_eq!(
        cluster.scheduler.remove_stopped_jobs(),
        vec!["wk-1".to_string()]
    );
    assert!(starts(&cluster.heartbeat("n-1", &[])).is_empty());
}

#[test]
fn tasks_go_only_to_allowed_zones_and_machine_types() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.add_machine("n-2", "b");
    cluster.submit(
        JobSpec {
            spread_zones: true,
            ..spec("wk-1", 5)
        },
        101,
    );
    cluster.submit(
        JobSpec {
            zone: Some("b".into()),
            ..spec("wk-2", 1)
        },
        102,
    );
    cluster.submit(
        JobSpec {
            machine_types: Some(vec!["other".into()]),
            ..spec("wk-3", 1)
        },
        103,
    );
    let in_a = starts(&cluster.heartbeat("n-1", &[]));
    let in_b = starts(&cluster.heartbeat("n-2", &[]));
    let count = |l: &[(String, u64)], job: &str| l.iter().filter(|s| s.0.starts_with(job)).count();
    let (spread_in_a, spread_in_b) = (count(&in_a, "wk-1"), count(&in_b, "wk-1"));
    assert_eq!(
        (spread_in_a + spread_in_b, spread_in_a.max(spread_in_b)),
        (5, 3),
        "at most half, rounded up, in a zone"
    );
    assert_eq!((count(&in_a, "wk-2"), count(&in_b, "wk-2")), (0, 1));
    assert_eq!((count(&in_a, "wk-3"), count(&in_b, "wk-3")), (0, 0));
}

#[test]
fn tasks_of_a_single_zone_job_are_in_one_zone() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.add_machine("n-2", "b");
    cluster.submit(
        JobSpec {
            single_zone: true,
            ..spec("wk-4", 6)
        },
        101,
    );
    let (in_a, in_b) = (
        starts(&cluster.heartbeat("n-1", &[])).len(),
        starts(&cluster.heartbeat("n-2", &[])).len(),
    );
    assert_eq!(
        (in_a.max(in_b), in_a.min(in_b)),
        (4, 0),
        "all tasks in one zone"
    );
}

#[test]
fn tasks_of_a_spread_job_are_in_two_zones_although_one_machine_fits_them_all() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.add_machine("n-2", "b");
    cluster.submit(
        JobSpec {
            spread_zones: true,
            ..spec("wk-5", 3)
        },
        101,
    );
    let (in_a, in_b) = (
        starts(&cluster.heartbeat("n-1", &[])).len(),
        starts(&cluster.heartbeat("n-2", &[])).len(),
    );
    assert_eq!(
        (in_a.max(in_b), in_a.min(in_b)),
        (2, 1),
        "although all would fit on one machine"
    );
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(
        JobSpec {
            kind: JobKind::Gang,
            ..spec("wk-1", 6)
        },
        101,
    );
    assert!(
        starts(&cluster.heartbeat("n-1", &[])).is_empty(),
        "four of six would fit"
    );
    cluster.add_machine("n-2", "a");
    let mut started = starts(&cluster.heartbeat("n-1", &[]));
    let on_n1: Vec<_> = started
        .iter()
        .map(|start| (start.0.as_str(), start.1, TaskState::Gathering, None))
        .collect();
    let on_n2 = starts(&cluster.heartbeat("n-2", &[]));
    assert_eq!(on_n1.len() + on_n2.len(), 6);
    let task = |s: &(String, u64)| (s.0.clone(), s.1, TaskState::Gathering, None::<ExitReason>);
    let on_n2: Vec<_> = on_n2.iter().map(task).collect();
    let on_n2: Vec<_> = on_n2
        .iter()
        .map(|task| (task.0.as_str(), task.1, task.2, task.3))
        .collect();
    cluster.heartbeat("n-2", &on_n2);
    // One task is lost: the others are stopped, and the gang does not start again before all of them are gone.
    cluster.heartbeat("n-1", &on_n1);
    assert!(starts(&cluster.heartbeat("n-1", &on_n1[1..])).is_empty());
    let commands = cluster.heartbeat("n-1", &on_n1[1..]);
    assert_eq!(
        (starts(&commands).len(), count_stops(&commands)),
        (0, on_n1.len() - 1)
    );
    cluster.heartbeat("n-1", &[]);
    started.clear();
    for name in ["n-2", "n-1", "n-2"] {
        started.extend(starts(&cluster.heartbeat(name, &[])));
    }
    assert_eq!(started.len(), 6);
}

#[test]
fn the_largest_job_begins_beside_a_stream_of_small_ones() {
    // The team's limit allows one task at a time, and a shorter job is always waiting.
    let mut cluster = Cluster::with_cpu_limit(2000);
    cluster.add_machine("n-1", "a");
    cluster.submit(
        JobSpec {
            deadline_s: Some(9000.0),
            ..spec("wk-1", 700)
        },
        101,
    );
    let mut now = 1000;
    let mut next_job = 2;
    let mut running: Option<(String, u64)> = None;
    let mut began_at = None;
    while now < 240_000 && began_at.is_none() {
        now += 10_000;
        cluster.submit(
            JobSpec {
                deadline_s: Some(9000.0),
                ..spec(&format!("wk-{next_job}"), 1)
            },
            100 + next_job,
        );
        next_job += 1;
        cluster.scheduler.advance_clock(now);
        match running.take() {
            Some((task, attempt)) => cluster.heartbeat(
                "n-1",
                &[(
                    task.as_str(),
                    attempt,
                    TaskState::Exited,
                    Some(ExitReason::Done),
                )],
            ),
            None => cluster.heartbeat("n-1", &[]),
        };
        cluster.scheduler.request_pass();
        let started = starts(&cluster.heartbeat("n-1", &[]));
        began_at = started
            .iter()
            .any(|start| start.0.starts_with("wk-1/"))
            .then_some(now);
        running = started.into_iter().next();
    }
    assert!(began_at.is_some(), "the largest job never began");
}
