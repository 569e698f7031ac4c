//! A controller and thousands of machines.

use super::world::World;
use crate::protocol::{FencingToken, Report};

fn report(machine: String) -> Report {
    Report {
        machine,
        address: "127.0.0.1:9".into(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: false,
        session: 1,
        seq: 1,
        token: FencingToken::ZERO,
        notice_s: None,
        tasks: Vec::new(),
    }
}

/// A leader that finds a fleet which no rental names remembers all of it; made-up names cost bounded memory.
#[test]
fn a_whole_fleet_that_no_rental_names_is_remembered() {
    let mut w = World::new(6, 3);
    let leader = w.leader().unwrap();
    let controller = w.nodes[leader].controller.as_mut().unwrap();
    (0..4500).for_each(|n| {
        controller.handle_heartbeat(&report(format!("x-{n:06}")));
    });
    assert_eq!(controller.unregistered.len(), 4500);
    (0..100_000).for_each(|n| {
        controller.handle_heartbeat(&report(format!("y-{n:06}")));
    });
    assert!(controller.unregistered.len() <= 20_000);
}
