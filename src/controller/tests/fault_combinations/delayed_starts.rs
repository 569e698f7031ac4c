//! Jobs that are cancelled between the decision to start a task and the sending of the command.

use super::super::simulation::{Simulation, MILLISECOND, SECOND};
use super::next_node;
use crate::scheduler::tests::spec;
use std::time::Duration;

/// A leader is paused between the decision to start tasks and the sending of the commands, for less and for more time than its
/// authority lasts, while the job is cancelled through another controller.
#[test]
fn a_leader_paused_between_decision_and_sending_starts_no_cancelled_task() {
    for pause in [1500, 3000, 6000, 30_000].map(Duration::from_millis) {
        for offset in [0, 100, 700, 2600].map(Duration::from_millis) {
            let mut simulation = Simulation::new(25, 4);
            simulation.faults.pause_before_send = pause;
            simulation.submit(spec("wk-1", 6), 60 * SECOND);
            simulation.submit(spec("wk-2", 6), 5 * SECOND);
            simulation.run(100 * MILLISECOND + offset);
            simulation.cancel(0, "wk-1");
            if !simulation.cancellation_is_confirmed("wk-1") {
                simulation.cancel(1, "wk-1");
            }
            simulation.run(pause + 30 * SECOND);
            simulation.assert_no_violations();
            simulation.assert_settles();
        }
    }
}

/// A leader sends start commands late because its connections to the workers open slowly, and keeps its authority meanwhile.
#[test]
fn a_start_waiting_for_its_connection_is_not_sent_once_its_job_is_cancelled() {
    for delay in [500, 1900].map(Duration::from_millis) {
        let mut simulation = Simulation::new(27, 4);
        simulation.faults.connection_delay = delay;
        simulation.submit(spec("wk-1", 6), 60 * SECOND);
        simulation.submit(spec("wk-2", 6), 5 * SECOND);
        simulation.run(200 * MILLISECOND);
        let leader = simulation.leader().unwrap();
        assert!(simulation.cancel(next_node(leader), "wk-1"));
        simulation.run(30 * SECOND);
        assert!(
            simulation.final_state("wk-2").is_some()
                && simulation.cancellation_is_confirmed("wk-1")
        );
        simulation.assert_no_violations();
        simulation.assert_settles();
    }
}
