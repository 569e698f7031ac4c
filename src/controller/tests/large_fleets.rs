//! A controller and thousands of machines.

use super::simulation::Simulation;
use crate::protocol::{FencingToken, WorkerStatus};

/// The first heartbeat of a machine.
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

/// A leader remembers all machines of a fleet that no rental names; made-up names cost bounded memory.
#[test]
fn a_whole_fleet_that_no_rental_names_is_remembered() {
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
