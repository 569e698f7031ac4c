//! Preemption for jobs of higher priority, for guarantees, and for teams at their limit.

use super::*;

/// Returns a cluster with one machine, which is full with running tasks of `wk-1`.
fn full_cluster() -> Cluster {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 4), 101);
    let started = starts(&cluster.heartbeat("n-1", &[]));
    cluster.heartbeat("n-1", &as_running(&started));
    cluster
}

/// Returns the number of tasks of `wk-1` that are being stopped.
fn stopping(cluster: &Cluster) -> usize {
    let job = cluster.scheduler.jobs().find(|job| job.id() == "wk-1");
    job.map_or(0, |job| {
        let attempts = job.active.values();
        attempts.filter(|attempt| attempt.is_stopping()).count()
    })
}

#[test]
fn higher_priority_and_guarantees_preempt_tasks_but_equal_priority_does_not() {
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
        "resources that are already being freed are not freed a second time"
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
    // Team u is guaranteed 4 CPUs, so tasks of team t, which has no guarantee, are preempted.
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
fn a_preempted_task_is_not_preempted_again_while_other_tasks_can_be() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 4), 101);
    let mut started = starts(&cluster.heartbeat("n-1", &[]));
    let mut preempted = HashMap::new();
    for round in 0..4u64 {
        let running = as_running(&started);
        cluster.heartbeat("n-1", &running);
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
                .find(|job| job.record.spec.id == "wk-1")
                .unwrap();
            let stopping_task = |(number, attempt): (&u32, &TaskAttempt)| {
                matches!(attempt.phase, Phase::Stopping { .. })
                    .then(|| (format!("wk-1/{number}"), attempt.attempt))
            };
            job.active.iter().filter_map(stopping_task).collect()
        };
        assert_eq!(stopped.len(), 1);
        *preempted.entry(stopped[0].0.clone()).or_insert(0) += 1;
        // The task ends, the production job is cancelled, and the task is started again.
        let kept: Vec<_> = running
            .iter()
            .filter(|task| task.0 != stopped[0].0)
            .copied()
            .collect();
        cluster.heartbeat("n-1", &kept);
        cluster.scheduler.stop_job(&id);
        cluster.scheduler.remove_stopped_jobs();
        let restarted = starts(&cluster.heartbeat("n-1", &kept));
        let kept: Vec<(String, u64)> = kept.iter().map(|t| (t.0.to_string(), t.1)).collect();
        started = kept.into_iter().chain(restarted).collect();
        if started.len() < 4 {
            let running = as_running(&started);
            cluster.scheduler.request_pass();
            let more = starts(&cluster.heartbeat("n-1", &running));
            started.extend(more);
        }
    }
    assert!(preempted.values().all(|n| *n == 1), "{preempted:?}");
}

#[test]
fn a_replica_preempts_a_task_of_lower_priority_of_its_own_team_at_the_limit() {
    let mut cluster = Cluster::with_cpu_limit(8000);
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
    for direct in cluster.scheduler.direct_commands(9) {
        let started = starts(&direct.commands);
        let running = as_running(&started);
        cluster.respond(&direct, &running);
    }
    cluster.submit(
        JobSpec {
            kind: JobKind::Service,
            priority: Priority::Production,
            ..spec("wk-2", 1)
        },
        102,
    );
    let being_stopped = |cluster: &Cluster| cluster.cpu_milli_being_stopped("t");
    for _ in 0..3 {
        cluster.run_round(1200);
        cluster.scheduler.preempt_for_production();
        // Exactly one task is stopped, with time to save, also when the round is repeated.
        assert_eq!(being_stopped(&cluster), 2000);
    }
    let stop = cluster.scheduler.direct_commands(9).remove(0);
    assert!(matches!(stop.commands[..], [Command::Stop { grace_s, .. }] if grace_s == 3.0));
    // A job of equal priority preempts nothing.
    cluster.submit(
        JobSpec {
            priority: Priority::Low,
            ..spec("wk-3", 4)
        },
        103,
    );
    cluster.scheduler.preempt_for_production();
    assert_eq!(being_stopped(&cluster), 2000);
}

#[test]
fn a_spread_job_preempts_no_more_tasks_in_a_zone_than_it_may_use() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 4), 101);
    let started = starts(&cluster.heartbeat("n-1", &[]));
    let running = as_running(&started);
    cluster.heartbeat("n-1", &running);
    // Two of the four replicas may be in zone a. No other zone has machines.
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
    assert_eq!(cluster.cpu_milli_being_stopped("t"), 4000);
}
