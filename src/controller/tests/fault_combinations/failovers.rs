//! Failovers and crashes of all controllers, combined with cancellations, unreachable machines and store outages.

use super::super::simulation::{Simulation, MILLISECOND, NODES, SECOND, WORKER_LEASE};
use super::{job_id, next_node};
use crate::scheduler::tests::spec;

#[test]
fn no_result_is_lost_when_staggered_tasks_end_across_failovers() {
    let mut simulation = Simulation::new(1, 4);
    for n in 0..4 {
        simulation.submit(spec(&job_id(n), 2 + n % 2), 2 * SECOND);
        simulation.job_mut(&job_id(n)).stagger = 11 * SECOND;
    }
    // At each crash of a leader, some results are only on their machines and others already in the store.
    for _ in 0..3 {
        simulation.run(5300 * MILLISECOND);
        let leader = simulation.leader().unwrap();
        assert!(simulation
            .jobs
            .values()
            .any(|job| !job.done.is_empty() && job.done.len() < job.spec.tasks as usize));
        simulation.crash(leader, SECOND);
    }
    simulation.settle(60 * SECOND);
    assert!((0..4).all(|n| simulation
        .final_state(&job_id(n))
        .is_some_and(|state| !state.cancelled)));
    simulation.assert_no_violations();
}

#[test]
fn jobs_settle_after_all_controllers_were_down_for_longer_than_a_worker_lease() {
    let mut simulation = Simulation::new(10, 5);
    simulation.submit(spec("wk-1", 6), 20 * SECOND);
    simulation.submit(spec("wk-2", 6), 600 * SECOND);
    simulation.run(5 * SECOND);
    simulation.cancel(0, "wk-2");
    for node in 0..NODES {
        simulation.crash(node, WORKER_LEASE + 5 * SECOND);
    }
    simulation.run(WORKER_LEASE + 2 * SECOND);
    // The worker leases have expired: every worker has ended its tasks and begun a new session.
    assert_eq!(
        simulation.running_task_count("wk-1") + simulation.running_task_count("wk-2"),
        0
    );
    simulation.assert_settles();
}

#[test]
fn jobs_settle_when_machines_are_unreachable_during_a_failover() {
    for (drop_inbound, drop_heartbeats) in [(true, false), (false, true), (true, true)] {
        let mut simulation = Simulation::new(11, 5);
        simulation.submit(spec("wk-1", 10), 60 * SECOND);
        simulation.run(5 * SECOND);
        for machine in &simulation.machines_of("wk-1")[..2] {
            if drop_inbound {
                simulation.drop_worker_inbound(machine, WORKER_LEASE + 8 * SECOND);
            }
            if drop_heartbeats {
                simulation.drop_worker_heartbeats(machine, WORKER_LEASE + 8 * SECOND);
            }
        }
        simulation.faults.cloud_down = true;
        let leader = simulation.leader().unwrap();
        simulation.crash(leader, 10 * SECOND);
        simulation.submit(spec("wk-2", 8), 5 * SECOND);
        simulation.run(WORKER_LEASE + 9 * SECOND);
        simulation.faults.cloud_down = false;
        simulation.assert_settles();
    }
}

#[test]
fn the_quota_holds_when_a_job_on_unreachable_machines_is_cancelled_during_a_failover() {
    let mut simulation = Simulation::with_team_cpu_limit(12, 6, Some(16.0));
    simulation.submit(spec("wk-1", 4), 600 * SECOND);
    simulation.submit(spec("wk-2", 4), 600 * SECOND);
    simulation.submit(spec("wk-3", 6), 10 * SECOND);
    simulation.run(6 * SECOND);
    assert_eq!(
        simulation.running_task_count("wk-1") + simulation.running_task_count("wk-2"),
        8
    );
    for machine in simulation.machines_of("wk-1") {
        simulation.drop_worker_inbound(&machine, WORKER_LEASE + 5 * SECOND);
        simulation.drop_worker_heartbeats(&machine, WORKER_LEASE + 5 * SECOND);
    }
    simulation.faults.cloud_down = true;
    let leader = simulation.leader().unwrap();
    simulation.crash(leader, 3 * SECOND);
    simulation.run(SECOND);
    // A cancelled task counts towards the quota until it is proven to have ended.
    assert!(simulation.cancel(next_node(leader), "wk-1"));
    simulation.run(WORKER_LEASE);
    simulation.faults.cloud_down = false;
    simulation.run(60 * SECOND);
    assert!(simulation
        .final_state("wk-3")
        .is_some_and(|state| !state.cancelled));
    assert_eq!(
        (
            simulation.running_task_count("wk-1"),
            simulation.running_task_count("wk-2")
        ),
        (0, 4)
    );
    simulation.assert_no_violations();
}

#[test]
fn jobs_settle_after_repeated_failovers_and_crashes_of_all_controllers() {
    let mut simulation = Simulation::new(13, 5);
    simulation.submit(spec("wk-1", 10), 40 * SECOND);
    simulation.submit(spec("wk-2", 2), 600 * SECOND);
    simulation.run(4 * SECOND);
    for round in 0..4 {
        let leader = simulation.leader().unwrap();
        simulation.crash(leader, 200 * MILLISECOND);
        simulation.run(700 * MILLISECOND);
        simulation.crash(next_node(leader), 100 * MILLISECOND);
        simulation.run(300 * MILLISECOND);
        for node in 0..NODES {
            simulation.crash(
                node,
                if node == round % NODES {
                    300 * MILLISECOND
                } else {
                    6 * SECOND
                },
            );
        }
        if round == 2 {
            simulation.run(800 * MILLISECOND);
            simulation.cancel(round % NODES, "wk-2");
        }
        simulation.run(7 * SECOND);
    }
    simulation.run(10 * SECOND);
    if simulation.is_cancellable("wk-2") {
        simulation.cancel(0, "wk-2");
    }
    simulation.assert_settles();
}

#[test]
fn jobs_settle_after_ten_failovers_in_two_minutes_with_store_outages() {
    let mut simulation = Simulation::new(20, 5);
    simulation.submit(spec("wk-1", 8), 50 * SECOND);
    simulation.submit(spec("wk-2", 4), 600 * SECOND);
    simulation.run(4 * SECOND);
    let first_epoch = simulation.epoch();
    for round in 0..10 {
        if round == 4 || round == 7 {
            simulation.begin_store_outage();
        }
        let leader = simulation.leader().unwrap_or(round % NODES);
        match round % 3 {
            0 => simulation.crash(leader, 700 * MILLISECOND),
            1 => simulation.pause(leader, 6 * SECOND),
            _ => simulation.crash(leader, 5 * SECOND),
        }
        simulation.run(6 * SECOND);
        simulation.end_store_outage();
        simulation.run(5500 * MILLISECOND);
        if round == 6 {
            simulation.cancel(simulation.leader().unwrap_or(0), "wk-2");
        }
    }
    assert!(
        simulation.epoch().as_u64() >= first_epoch.as_u64() + 8,
        "{} {first_epoch}",
        simulation.epoch()
    );
    if simulation.is_cancellable("wk-2") {
        simulation.cancel(0, "wk-2");
    }
    simulation.assert_settles();
}
