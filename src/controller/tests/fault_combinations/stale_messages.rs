//! Heartbeats, commands and replies that arrive late or twice.

use super::super::simulation::{Simulation, MILLISECOND, NODES, SECOND, WORKER_LEASE};
use super::{job_id, next_node};
use crate::scheduler::tests::spec;
use std::time::Duration;

#[test]
fn jobs_settle_when_commands_are_delayed_and_workers_hang() {
    let mut simulation = Simulation::new(2, 4);
    simulation.faults.command_delay_probability = 0.8;
    simulation.faults.min_command_delay = 1500 * MILLISECOND;
    for round in 0..6 {
        simulation.submit(spec(&job_id(round), 4), 9 * SECOND);
        simulation.run(300 * MILLISECOND);
        let machine = simulation.nth_machine(round);
        simulation.hang_worker(&machine, 7 * SECOND);
        simulation.run(6 * SECOND);
        if round % 2 == 1 {
            let id = job_id(round);
            if simulation.is_cancellable(&id) {
                simulation.cancel(round % NODES, &id);
            }
        }
    }
    simulation.faults.command_delay_probability = 0.0;
    simulation.assert_settles();
}

#[test]
fn a_heartbeat_delayed_beyond_a_failover_violates_no_invariant() {
    for delay in [3500, 6000, 13_000, 30_000].map(Duration::from_millis) {
        let mut simulation = Simulation::new(4, 4);
        simulation.submit(spec("wk-1", 8), 25 * SECOND);
        simulation.run(5 * SECOND);
        assert_eq!(simulation.running_task_count("wk-1"), 8);
        let leader = simulation.leader().unwrap();
        for worker in simulation.workers.values_mut() {
            worker.next_heartbeat_delay = delay;
        }
        simulation.run(SECOND);
        simulation.crash(leader, 500 * MILLISECOND);
        assert!(simulation.cancel(next_node(leader), "wk-1") || delay != 3500 * MILLISECOND);
        simulation.submit(spec("wk-2", 8), 5 * SECOND);
        simulation.assert_settles();
    }
}

#[test]
fn duplicated_heartbeats_of_earlier_sessions_and_attempts_violate_no_invariant() {
    let mut simulation = Simulation::new(16, 4);
    simulation.faults.heartbeat_duplicate_probability = 1.0;
    simulation.submit(spec("wk-1", 8), 6 * SECOND);
    for round in 0..6 {
        simulation.submit(spec(&format!("wk-1{round}"), 3), 4 * SECOND);
        simulation.run(5 * SECOND);
        let machine = simulation.nth_machine(round);
        if round % 2 == 0 {
            simulation.drop_worker_inbound(&machine, WORKER_LEASE + SECOND);
        }
        if round == 3 {
            let leader = simulation.leader().unwrap();
            simulation.crash(leader, 100 * MILLISECOND);
        }
    }
    simulation.faults.heartbeat_duplicate_probability = 0.0;
    simulation.assert_settles();
}
