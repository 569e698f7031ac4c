//! Preemption: what is stopped for work of higher priority, a guarantee, or a team at its limit.

use super::*;

/// A cluster with one machine, which is full with the tasks of `wk-1`.
fn full_cluster() -> Cluster {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 4), 101);
    let got = starts(&cluster.heartbeat("n-1", &[]));
    cluster.heartbeat("n-1", &as_running(&got));
    cluster
}

/// How many tasks of `wk-1` are being stopped.
fn stopping(cluster: &Cluster) -> usize {
    let job = cluster.scheduler.jobs().find(|job| job.id() == "wk-1");
    job.map_or(0, |job| {
        let attempts = job.active.values();
        attempts.filter(|attempt| attempt.is_stopping()).count()
    })
}

#[test]
fn higher_work_and_guarantees_win_room_but_equals_do_not() {
    let mut cluster = full_cluster();
    cluster.submit(
        JobSpec {
            priority: Priority::Production,
            ..spec("wk-2", 2)
        },
        102,
    );
    cluster.scheduler.unmet_demand(true);
    assert_eq!(stopping(&cluster), 2);
    cluster.scheduler.unmet_demand(true);
    assert_eq!(
        stopping(&cluster),
        2,
        "room that is on its way is not won twice"
    );
    let mut cluster = full_cluster();
    cluster.submit(spec("wk-3", 2), 102);
    assert_eq!(
        (
            cluster.scheduler.unmet_demand(true).len(),
            stopping(&cluster)
        ),
        (1, 0)
    );
    // Team u is guaranteed 4 CPUs, and team t, which has no guarantee, must give them back.
    cluster.submit(
        JobSpec {
            team: "u".into(),
            ..spec("wk-4", 2)
        },
        103,
    );
    cluster.scheduler.unmet_demand(true);
    assert_eq!(stopping(&cluster), 2);
}

#[test]
fn displaced_work_is_not_displaced_again_while_other_work_can_be() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 4), 101);
    let mut got = starts(&cluster.heartbeat("n-1", &[]));
    let mut seen = HashMap::new();
    for round in 0..4u64 {
        let lines = as_running(&got);
        cluster.heartbeat("n-1", &lines);
        let id = format!("wk-{}", round + 10);
        cluster.submit(
            JobSpec {
                priority: Priority::Production,
                ..spec(&id, 1)
            },
            110 + round,
        );
        cluster.scheduler.unmet_demand(true);
        let stopped: Vec<(String, u64)> = {
            let job = cluster
                .scheduler
                .jobs()
                .find(|j| j.record.spec.id == "wk-1")
                .unwrap();
            let of = |(t, a): (&u32, &TaskAttempt)| {
                matches!(a.phase, Phase::Stopping { .. }).then(|| (format!("wk-1/{t}"), a.attempt))
            };
            job.active.iter().filter_map(of).collect()
        };
        assert_eq!(stopped.len(), 1);
        *seen.entry(stopped[0].0.clone()).or_insert(0) += 1;
        // It ends, the production job takes its place, ends, and the task comes back.
        let kept: Vec<_> = lines
            .iter()
            .filter(|l| l.0 != stopped[0].0)
            .copied()
            .collect();
        cluster.heartbeat("n-1", &kept);
        cluster.scheduler.drop_job(&id);
        cluster.scheduler.stopped_jobs();
        let back = starts(&cluster.heartbeat("n-1", &kept));
        let kept: Vec<(String, u64)> = kept.iter().map(|k| (k.0.to_string(), k.1)).collect();
        got = kept.into_iter().chain(back).collect();
        if got.len() < 4 {
            let lines = as_running(&got);
            cluster.scheduler.reconsider();
            let more = starts(&cluster.heartbeat("n-1", &lines));
            got.extend(more);
        }
    }
    assert!(seen.values().all(|n| *n == 1), "{seen:?}");
}

#[test]
fn a_replica_takes_the_place_of_lower_work_of_its_own_team_at_the_limit() {
    let mut cluster = Cluster::with(8000);
    cluster.add_machine("n-1", "a");
    cluster.add_machine("n-2", "a");
    cluster.submit(
        JobSpec {
            priority: Priority::Low,
            checkpoint_interval_s: 10.0,
            checkpoint_save_s: 3.0,
            ..spec("wk-1", 4)
        },
        101,
    );
    cluster.run_round(1100);
    for d in cluster.scheduler.direct_commands(9) {
        let got = starts(&d.commands);
        let lines = as_running(&got);
        cluster.respond(&d, &lines);
    }
    cluster.submit(
        JobSpec {
            kind: JobKind::Service,
            priority: Priority::Production,
            ..spec("wk-2", 1)
        },
        102,
    );
    let ending = |cluster: &Cluster| cluster.cpu_milli_being_evicted("t");
    for _ in 0..3 {
        cluster.run_round(1200);
        cluster.scheduler.preempt_for_production();
        // One task saves and ends, once.
        assert_eq!(ending(&cluster), 2000);
    }
    let stop = cluster.scheduler.direct_commands(9).remove(0);
    assert!(matches!(stop.commands[..], [Command::Stop { grace_s, .. }] if grace_s == 3.0));
    // Equal work does not yield.
    cluster.submit(
        JobSpec {
            priority: Priority::Low,
            ..spec("wk-3", 4)
        },
        103,
    );
    cluster.scheduler.preempt_for_production();
    assert_eq!(ending(&cluster), 2000);
}

#[test]
fn a_spread_job_displaces_no_more_in_a_zone_than_it_may_use() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 4), 101);
    let got = starts(&cluster.heartbeat("n-1", &[]));
    let lines = as_running(&got);
    cluster.heartbeat("n-1", &lines);
    // Two of the four may be in zone a; there is no other zone with machines.
    cluster.submit(
        JobSpec {
            kind: JobKind::Service,
            priority: Priority::Production,
            spread_zones: true,
            ..spec("wk-2", 4)
        },
        102,
    );
    cluster.run_round(1200);
    cluster.scheduler.preempt_for_production();
    assert_eq!(cluster.cpu_milli_being_evicted("t"), 4000);
}
