//! Heartbeats from thousands of machines.

use super::simulation::Simulation;
use crate::protocol::{FencingToken, WorkerStatus};

/// Returns the first heartbeat of a machine.
fn heartbeat(machine: String) -> WorkerStatus {
    WorkerStatus {
        machine,
        address: "127.0.0.1:9".into(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: false,
        session: 1,
        sequence: 1,
        token: FencingToken::ZERO,
        termination_notice_s: None,
        tasks: Vec::new(),
    }
}

/// A leader must keep every machine of a fleet that no rental record names, so that it can adopt them all. The number of kept
/// machines must still be bounded, since heartbeats with invented names would otherwise take unbounded memory.
#[test]
fn a_leader_keeps_a_large_unregistered_fleet_in_bounded_memory() {
    let mut simulation = Simulation::new(6, 3);
    let leader = simulation.leader().unwrap();
    let controller = simulation.nodes[leader].running_controller_mut();
    for n in 0..4500 {
        controller.handle_heartbeat(&heartbeat(format!("x-{n:06}")));
    }
    assert_eq!(controller.unregistered_machine_count(), 4500);
    for n in 0..100_000 {
        controller.handle_heartbeat(&heartbeat(format!("y-{n:06}")));
    }
    assert!(controller.unregistered_machine_count() <= 20_000);
}
