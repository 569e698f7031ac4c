//! Where tasks go: limits, zones, priorities, preemption, holders.

use super::*;

#[test]
fn a_team_stays_within_its_limit_across_epochs_and_cancellations() {
    let mut cluster = Cluster::with(6000);
    cluster.inherit_machine("n-1");
    cluster.add_machine("n-9", "a");
    cluster.submit(spec("wk-1", 2), 50);
    cluster.submit(spec("wk-2", 4), 101);
    cluster.replay(&[("n-1", "wk-1/0", 7), ("n-1", "wk-1/1", 8)]);
    cluster.run_round(1500);
    // Two tasks of wk-1 may run unseen, so that one of wk-2 may start.
    let got = starts(&cluster.heartbeat("n-9", &[]));
    assert_eq!(got.len(), 1);
    let running = (got[0].0.clone(), got[0].1);
    let line = [(running.0.as_str(), running.1, TaskState::Running, None)];
    cluster.heartbeat("n-9", &line);
    // Cancelled work counts until it is proven gone.
    cluster.scheduler.drop_job("wk-2");
    cluster.submit(spec("wk-3", 4), 102);
    cluster.run_round(1600);
    let commands = cluster.heartbeat("n-9", &line);
    assert_eq!((starts(&commands).len(), stops(&commands)), (0, 1));
    cluster.heartbeat("n-9", &[]);
    assert_eq!(starts(&cluster.heartbeat("n-9", &[])).len(), 1);
}

#[test]
fn a_cancelled_job_never_starts_again() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    let got = starts(&cluster.heartbeat("n-1", &[]));
    cluster.scheduler.drop_job("wk-1");
    // The start was in flight when its user cancelled: it is stopped once it shows.
    assert!(cluster.scheduler.stopped_jobs().is_empty());
    assert_eq!(
        stops(&cluster.heartbeat("n-1", &[("wk-1/0", got[0].1, TaskState::Fetching, None)])),
        1
    );
    cluster.heartbeat(
        "n-1",
        &[(
            "wk-1/0",
            got[0].1,
            TaskState::Exited,
            Some(ExitReason::Stopped),
        )],
    );
    assert_eq!(cluster.scheduler.stopped_jobs(), vec!["wk-1".to_string()]);
    assert!(starts(&cluster.heartbeat("n-1", &[])).is_empty());
}

#[test]
fn zones_types_and_spot_are_kept() {
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
    let a = starts(&cluster.heartbeat("n-1", &[]));
    let b = starts(&cluster.heartbeat("n-2", &[]));
    let of = |l: &[(String, u64)], job: &str| l.iter().filter(|s| s.0.starts_with(job)).count();
    let (in_a, in_b) = (of(&a, "wk-1"), of(&b, "wk-1"));
    assert_eq!(
        (in_a + in_b, in_a.max(in_b)),
        (5, 3),
        "at most half, rounded up, in a zone"
    );
    assert_eq!((of(&a, "wk-2"), of(&b, "wk-2")), (0, 1));
    assert_eq!((of(&a, "wk-3"), of(&b, "wk-3")), (0, 0));
}

#[test]
fn tasks_that_stay_together_are_in_one_zone() {
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
    let (a, b) = (
        starts(&cluster.heartbeat("n-1", &[])).len(),
        starts(&cluster.heartbeat("n-2", &[])).len(),
    );
    assert_eq!((a.max(b), a.min(b)), (4, 0), "all tasks in one zone");
}

#[test]
fn tasks_that_are_spread_are_in_two_zones_though_one_machine_has_room() {
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
    let (a, b) = (
        starts(&cluster.heartbeat("n-1", &[])).len(),
        starts(&cluster.heartbeat("n-2", &[])).len(),
    );
    assert_eq!(
        (a.max(b), a.min(b)),
        (2, 1),
        "though one machine has room for all"
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
    let mut got = starts(&cluster.heartbeat("n-1", &[]));
    let here: Vec<_> = got
        .iter()
        .map(|g| (g.0.as_str(), g.1, TaskState::Gathering, None))
        .collect();
    let there = starts(&cluster.heartbeat("n-2", &[]));
    assert_eq!(here.len() + there.len(), 6);
    let line = |g: &(String, u64)| (g.0.clone(), g.1, TaskState::Gathering, None::<ExitReason>);
    let there: Vec<_> = there.iter().map(line).collect();
    let there: Vec<_> = there
        .iter()
        .map(|l| (l.0.as_str(), l.1, l.2, l.3))
        .collect();
    cluster.heartbeat("n-2", &there);
    // One of them is lost: the others are stopped, and nothing of it starts before all are gone.
    cluster.heartbeat("n-1", &here);
    assert!(starts(&cluster.heartbeat("n-1", &here[1..])).is_empty());
    let lost = cluster.heartbeat("n-1", &here[1..]);
    assert_eq!((starts(&lost).len(), stops(&lost)), (0, here.len() - 1));
    cluster.heartbeat("n-1", &[]);
    got.clear();
    for name in ["n-2", "n-1", "n-2"] {
        got.extend(starts(&cluster.heartbeat(name, &[])));
    }
    assert_eq!(got.len(), 6);
}

#[test]
fn the_largest_job_begins_beside_a_stream_of_small_ones() {
    // One task of the team at a time, and always a shorter job waiting.
    let mut cluster = Cluster::with(2000);
    cluster.add_machine("n-1", "a");
    cluster.submit(
        JobSpec {
            deadline_s: Some(9000.0),
            ..spec("wk-1", 700)
        },
        101,
    );
    let mut now = 1000;
    let mut next = 2;
    let mut running: Option<(String, u64)> = None;
    let mut begun = None;
    while now < 240_000 && begun.is_none() {
        now += 10_000;
        cluster.submit(
            JobSpec {
                deadline_s: Some(9000.0),
                ..spec(&format!("wk-{next}"), 1)
            },
            100 + next,
        );
        next += 1;
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
        cluster.scheduler.reconsider();
        let got = starts(&cluster.heartbeat("n-1", &[]));
        begun = got.iter().any(|g| g.0.starts_with("wk-1/")).then_some(now);
        running = got.into_iter().next();
    }
    assert!(begun.is_some(), "never began");
}
