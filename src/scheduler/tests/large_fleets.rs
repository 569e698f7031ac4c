//! Large fleets: no task or command is left out, and heartbeats without changes cause no scheduling pass.

use super::*;
use crate::store::Epoch;

/// Number of machines of the largest fleet to be served.
const MACHINES: usize = 4000;

/// Returns the specification of a job whose tasks are so small that hundreds fit on a machine.
fn small_tasks(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        cpus: 0.01,
        memory_gb: 0.01,
        ..spec(id, tasks)
    }
}

#[test]
fn an_array_of_a_hundred_thousand_tasks_fills_the_fleet_at_once() {
    let mut cluster = Cluster::new();
    (0..MACHINES).for_each(|n| cluster.add_machine(&format!("n-{n}"), "a"));
    cluster.submit(spec("wk-1", 100_000), 1);
    // Each pass requests the next one. With only one pass every half second, placing the array took a quarter of a minute.
    while cluster.scheduler.is_pass_requested() {
        cluster.scheduler.place();
    }
    let placed = cluster
        .scheduler
        .jobs()
        .map(|job| job.active.len())
        .sum::<usize>();
    assert_eq!(placed, 4 * MACHINES);
}

#[test]
fn the_registry_does_not_grow_with_every_machine_ever_rented() {
    let mut cluster = Cluster::new();
    for round in 0..20 {
        (0..50).for_each(|n| cluster.add_machine(&format!("n-{round}-{n}"), "a"));
        (0..50).for_each(|n| cluster.scheduler.machine_gone(&format!("n-{round}-{n}")));
    }
    assert_eq!(
        (
            cluster.scheduler.machines().count(),
            cluster.scheduler.machines.index_count()
        ),
        (0, 50)
    );
}

#[test]
fn a_reused_machine_index_keeps_nothing_of_the_previous_machine() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 1);
    let started = starts(&cluster.heartbeat("n-1", &[]));
    cluster.heartbeat("n-1", &as_running(&started));
    cluster.scheduler.machine_gone("n-1");
    cluster.add_machine("n-2", "b");
    let first = MachineIndex::from_position(0);
    assert_eq!(cluster.scheduler.machine_index("n-2"), Some(first));
    let machine = cluster.scheduler.machine(first);
    assert!(
        machine.images().is_empty()
            && machine.name() == "n-2"
            && machine.lease.latest_request().session == 1
    );
    // The task is started again, with a new attempt number.
    let restarted = starts(&cluster.heartbeat("n-2", &[]));
    assert!(restarted[0].0 == started[0].0 && restarted[0].1 > started[0].1);
}

#[test]
fn many_commands_for_a_machine_are_split_over_messages_without_loss() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(small_tasks("wk-1", 700), 1);
    let mut running = Vec::new();
    while running.len() < 700 {
        let more = starts(&cluster.heartbeat("n-1", &as_running(&running)));
        assert!(!more.is_empty() && more.len() <= 300);
        running.extend(more);
    }
    cluster.heartbeat("n-1", &as_running(&running));
    cluster.scheduler.stop_job("wk-1");
    let mut stopped = Vec::new();
    while let Some(sent) = cluster.scheduler.direct_commands(9).pop() {
        assert!(sent.commands.len() <= 300);
        stopped.push(count_stops(&sent.commands));
        let response = cluster.next_status("n-1", first_token(EPOCH), &as_running(&running));
        cluster
            .scheduler
            .handle_direct_response(&sent, Some(&response));
    }
    assert_eq!(stopped, [300, 300, 100]);
}

#[test]
fn an_epoch_ends_before_its_attempts_reach_those_of_the_next() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.scheduler.attempt_counter = MAX_ATTEMPTS_PER_EPOCH - 1;
    cluster.submit(spec("wk-1", 1), 1);
    let last = starts(&cluster.heartbeat("n-1", &[]));
    assert!(
        last[0].1 < first_token(Epoch::new(6)).as_u64()
            && cluster.scheduler.has_exhausted_attempts()
    );
    cluster.submit(spec("wk-2", 1), 1);
    assert!(starts(&cluster.heartbeat("n-1", &as_running(&last))).is_empty());
}

#[test]
fn a_heartbeat_without_changes_requests_no_scheduling_pass() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 4), 1);
    let started = starts(&cluster.heartbeat("n-1", &[]));
    cluster.heartbeat("n-1", &as_running(&started));
    (2..100).for_each(|n| cluster.add_machine(&format!("n-{n}"), "a"));
    while cluster.scheduler.is_pass_requested() {
        cluster.scheduler.place();
    }
    assert!(!cluster.scheduler.needs_pass());
    let unchanged = cluster.next_status("n-1", first_token(EPOCH), &as_running(&started));
    cluster
        .scheduler
        .handle_heartbeat(&unchanged, HeartbeatSource::Request { may_start: true });
    assert!(!cluster.scheduler.needs_pass());
    // A task that has ended frees resources.
    let ended = [(
        started[0].0.as_str(),
        started[0].1,
        TaskState::Exited,
        Some(ExitReason::Done),
    )];
    let status = cluster.next_status("n-1", first_token(EPOCH), &ended);
    cluster
        .scheduler
        .handle_heartbeat(&status, HeartbeatSource::Request { may_start: true });
    assert!(cluster.scheduler.needs_pass());
}

/// Returns the ids of the jobs of which no task is pending.
fn placed_jobs(cluster: &Cluster) -> Vec<&str> {
    let placed = cluster.scheduler.jobs().filter(|job| job.pending() == 0);
    placed.map(Job::id).collect()
}

#[test]
fn an_interrupted_pass_goes_on_with_the_jobs_that_were_not_tried() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    // No machine is large enough for the first job, so that it is tried in vain.
    let too_large = JobSpec {
        cpus: 1000.0,
        ..spec("wk-1", 1)
    };
    cluster.submit(too_large, 1);
    cluster.submit(small_tasks("wk-2", 2), 2);
    cluster.submit(small_tasks("wk-3", 3), 3);
    assert!(cluster.scheduler.place_while(|| false));
    assert!(placed_jobs(&cluster).is_empty());
    // A job with a higher claim is tried before those that are left.
    let urgent = JobSpec {
        priority: Priority::Production,
        kind: JobKind::Service,
        ..small_tasks("wk-4", 1)
    };
    cluster.submit(urgent, 4);
    assert!(cluster.scheduler.place_while(|| false));
    assert!(placed_jobs(&cluster).contains(&"wk-4"));
    while cluster.scheduler.is_pass_requested() {
        assert!(cluster.scheduler.place_while(|| false));
    }
    assert_eq!(placed_jobs(&cluster), ["wk-2", "wk-3", "wk-4"]);
    // The job that found no machine is not tried again without a reason.
    assert!(!cluster.scheduler.place_while(|| false));
}

#[test]
fn resources_freed_during_an_interrupted_sweep_are_offered_to_jobs_that_were_tried_before() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 4), 1);
    let started = starts(&cluster.heartbeat("n-1", &[]));
    cluster.heartbeat("n-1", &as_running(&started));
    while cluster.scheduler.is_pass_requested() {
        cluster.scheduler.place();
    }
    cluster.submit(spec("wk-2", 1), 2);
    cluster.submit(spec("wk-3", 1), 3);
    assert!(cluster.scheduler.place_while(|| false));
    let ended = as_exited(&started, ExitReason::Done);
    let status = cluster.next_status("n-1", first_token(EPOCH), &ended);
    cluster
        .scheduler
        .handle_heartbeat(&status, HeartbeatSource::Request { may_start: true });
    while cluster.scheduler.is_pass_requested() {
        cluster.scheduler.place_while(|| false);
    }
    let placed = placed_jobs(&cluster);
    assert!(placed.contains(&"wk-2") && placed.contains(&"wk-3"));
}
