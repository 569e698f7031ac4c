//! Network partitions of controllers, workers and zones.

use super::super::simulation::faults::IsolatedZone;
use super::super::simulation::{Simulation, SECOND, WORKER_LEASE};
use super::{all_tasks_running, next_node, submit_long_jobs, third_node};
use crate::protocol::{JobKind, JobSpec};
use crate::scheduler::tests::spec;
use std::time::Duration;

/// Resource that a controller loses for some time.
#[derive(Debug, Clone, Copy)]
enum Loss {
    /// The store, the workers and the other controllers.
    Network,
    Store,
    Workers,
    /// Its process is paused while the clocks run on.
    Processor,
}

impl Loss {
    /// Takes the resource from the controller. `duration` is the length of a pause.
    fn begin(self, simulation: &mut Simulation, node: usize, duration: Duration) {
        match self {
            Loss::Network => simulation.disconnect(node),
            Loss::Store => simulation.store.refuse(node),
            Loss::Workers => {
                simulation.faults.cut_from_workers.insert(node);
            }
            Loss::Processor => simulation.pause(node, duration),
        }
    }

    /// Ends the loss. A pause ends by itself.
    fn end(simulation: &mut Simulation, node: usize) {
        simulation.reconnect(node);
    }
}

/// A controller, the leader or a follower, loses the network, the store, the workers or its processor, and returns. The
/// loss lasts for 5 s, which is less than a worker's lease, or for 75 s, which is much more than any lease. The returning
/// controller must not depose the leader.
#[test]
fn a_controller_returning_after_a_partition_or_pause_does_not_depose_the_leader() {
    for loss in [Loss::Network, Loss::Store, Loss::Workers, Loss::Processor] {
        for is_leader in [true, false] {
            for duration in [5 * SECOND, 75 * SECOND] {
                let mut simulation = Simulation::new(31, 6);
                simulation.submit(spec("wk-1", 4), 40 * SECOND);
                simulation.submit(spec("wk-2", 6), 150 * SECOND);
                simulation.run(3 * SECOND);
                let leader = simulation.leader().unwrap();
                let node = if is_leader { leader } else { next_node(leader) };
                loss.begin(&mut simulation, node, duration);
                simulation.run(2 * SECOND);
                let third = third_node(node, next_node(node));
                simulation.submit(spec("wk-3", 4), 10 * SECOND);
                // The user repeats the request until the third controller accepts it.
                let mut cancelled = false;
                for _ in 0..6 {
                    cancelled = cancelled || simulation.cancel(third, "wk-2");
                    simulation.run(duration.saturating_sub(2 * SECOND) / 6);
                }
                assert!(cancelled, "{loss:?}");
                if duration > 10 * SECOND {
                    // A controller leads, a different one if the leader was affected, and the job submitted meanwhile has
                    // finished.
                    assert!(
                        simulation
                            .leader()
                            .is_some_and(|leader| !is_leader || leader != node),
                        "{loss:?}"
                    );
                    assert!(
                        simulation.final_state("wk-3").is_some(),
                        "{loss:?} {is_leader}"
                    );
                }
                let epoch = simulation.epoch();
                Loss::end(&mut simulation, node);
                simulation.run(15 * SECOND);
                // After a long loss, the return of the controller starts no new epoch.
                assert!(
                    simulation.epoch() == epoch || duration < 10 * SECOND,
                    "{loss:?} {is_leader}"
                );
                simulation.assert_no_violations();
                simulation.assert_settles();
            }
        }
    }
}

#[test]
fn jobs_settle_after_heartbeats_were_lost_while_direct_commands_arrived() {
    let mut simulation = Simulation::new(3, 4);
    simulation.submit(spec("wk-1", 10), 30 * SECOND);
    simulation.run(4 * SECOND);
    assert!(simulation.running_task_count("wk-1") > 0);
    let until = simulation.now() + 3 * WORKER_LEASE;
    for worker in simulation.workers.values_mut() {
        worker.heartbeats_dropped_until = until;
    }
    simulation.faults.cloud_down = true;
    simulation.submit(spec("wk-2", 4), 5 * SECOND);
    simulation.run(3 * WORKER_LEASE + SECOND);
    simulation.faults.cloud_down = false;
    simulation.assert_settles();
}

#[test]
fn a_deposed_leader_that_still_reaches_its_workers_keeps_no_cancelled_task_running() {
    let mut simulation = Simulation::new(6, 6);
    submit_long_jobs(&mut simulation, 0..5);
    simulation.run(10 * SECOND);
    let old_leader = simulation.leader().unwrap();
    simulation.store.refuse(old_leader);
    simulation.cut_peers(40 * SECOND);
    simulation.run(6 * SECOND);
    let new_leader = simulation.leader().unwrap();
    assert_ne!(new_leader, old_leader);
    assert!(
        simulation.cancel(new_leader, "wk-0")
            && simulation.cancel(third_node(new_leader, old_leader), "wk-1")
    );
    simulation.run(15 * SECOND);
    assert!(simulation.running_task_count("wk-0") + simulation.running_task_count("wk-1") == 0);
    simulation.store.accept(old_leader);
    simulation.run(40 * SECOND);
    assert!(all_tasks_running(&simulation, 2..5));
    simulation.assert_no_violations();
}

#[test]
fn cancellations_and_services_survive_the_isolation_of_a_zone_with_a_controller() {
    for is_leader in [true, false] {
        let mut simulation = Simulation::new(14, 8);
        let service = JobSpec {
            kind: JobKind::Service,
            spread_zones: true,
            ..spec("wk-1", 4)
        };
        simulation.submit(service, Duration::ZERO);
        simulation.submit(spec("wk-2", 10), 60 * SECOND);
        simulation.submit(spec("wk-3", 4), 600 * SECOND);
        simulation.run(6 * SECOND);
        let leader = simulation.leader().unwrap();
        let node = if is_leader { leader } else { next_node(leader) };
        simulation.faults.isolated_zone = Some(IsolatedZone { zone: "a", node });
        simulation.store.refuse(node);
        simulation.run(3 * SECOND);
        assert!(simulation.cancel(next_node(next_node(leader)), "wk-3"));
        simulation.run(2 * WORKER_LEASE);
        simulation.faults.isolated_zone = None;
        simulation.store.accept(node);
        simulation.run(5 * SECOND);
        assert_eq!(simulation.running_task_count("wk-3"), 0);
        simulation.settle(120 * SECOND);
        assert_eq!(simulation.running_task_count("wk-1"), 4);
        simulation.assert_no_violations();
    }
}
