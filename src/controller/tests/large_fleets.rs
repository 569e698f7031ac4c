//! Heartbeats from thousands of machines, and rounds with more jobs than one can place in time.

use super::simulation::Simulation;
use crate::controller::clock::Clock;
use crate::controller::state::{ControllerState, SendLimits};
use crate::protocol::{FencingToken, JobSpec, WorkerStatus};
use crate::scheduler::tests::spec;
use crate::store::{JobRecord, Revision};
use std::cell::Cell;

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

/// Number of jobs of the round below. All of them fit on the machines.
const JOBS: usize = 100;
/// Time that the placement of one job takes in the round below, in milliseconds.
const MS_PER_JOB: u64 = 100;

/// Runs a round and returns how long it took, in milliseconds.
fn round_duration_ms(controller: &mut ControllerState) -> u64 {
    let limits = SendLimits {
        messages: 0,
        probes: 0,
    };
    let begin = controller.now().as_millis();
    let _ = controller.run_scheduling_round(limits);
    controller.now().as_millis() - begin
}

fn placed_jobs(controller: &ControllerState) -> usize {
    let scheduler = controller.scheduler().unwrap();
    scheduler.jobs().filter(|job| job.pending() == 0).count()
}

#[test]
fn a_round_ends_before_the_leader_lease_expires_and_the_next_one_goes_on() {
    let mut simulation = Simulation::new(6, 3);
    let leader = simulation.leader().unwrap();
    let now = simulation.now().as_millis();
    let controller = simulation.nodes[leader].running_controller_mut();
    for n in 0..JOBS {
        let spec = JobSpec {
            cpus: 0.01,
            memory_gb: 0.01,
            ..spec(&format!("wk-{n:06}"), 1)
        };
        let record = JobRecord { spec, at_ms: now };
        let scheduler = controller.scheduler_mut().unwrap();
        scheduler.add_job(record, Revision::new(1), &[], now, false);
    }
    controller.set_clock(Clock::Advancing {
        next: Cell::new(now),
        step: MS_PER_JOB,
    });
    let lease_ms = controller.settings().operator.leader_lease().as_millis();
    let took_ms = round_duration_ms(controller);
    let placed = placed_jobs(controller);
    assert!(
        placed > 0 && placed < JOBS && u128::from(took_ms) < lease_ms,
        "{placed} jobs placed in {took_ms} ms"
    );
    controller.set_clock(Clock::Advancing {
        next: Cell::new(now),
        step: 0,
    });
    controller.scheduler_mut().unwrap().place();
    assert_eq!(placed_jobs(controller), JOBS);
}
