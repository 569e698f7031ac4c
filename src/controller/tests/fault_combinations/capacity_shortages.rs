//! Jobs that lose their machines, and jobs that exceed the capacity of the cluster.

use super::super::simulation::{Simulation, MILLISECOND, SECOND};
use super::job_id;
use crate::protocol::{JobKind, JobSpec, Priority};
use crate::scheduler::tests::spec;
use std::time::Duration;

const PRIORITIES: [Priority; 4] = [
    Priority::Low,
    Priority::Normal,
    Priority::High,
    Priority::Production,
];

#[test]
fn zone_bound_jobs_settle_after_losing_their_machines_and_the_leader() {
    let mut simulation = Simulation::new(15, 8);
    let service = JobSpec {
        kind: JobKind::Service,
        zone: Some("a".into()),
        ..spec("wk-1", 3)
    };
    let array = JobSpec {
        zone: Some("a".into()),
        ..spec("wk-2", 6)
    };
    let gang = JobSpec {
        single_zone: true,
        ..spec("wk-3", 4)
    };
    simulation.submit(service, Duration::ZERO);
    simulation.submit(array, 15 * SECOND);
    simulation.submit(gang, 15 * SECOND);
    simulation.run(5 * SECOND);
    for machine in simulation
        .machines_of("wk-1")
        .into_iter()
        .chain(simulation.machines_of("wk-2"))
    {
        simulation.workers.remove(&machine);
    }
    let leader = simulation.leader().unwrap();
    simulation.crash(leader, 2 * SECOND);
    simulation.assert_settles();
}

#[test]
fn all_jobs_finish_when_the_cluster_is_overloaded_and_images_load_slowly() {
    let mut simulation = Simulation::new(19, 3);
    simulation.image_fetch_time = 9 * SECOND;
    for n in 0..8 {
        let job = JobSpec {
            image: format!("i{n}"),
            image_gb: 9.0,
            priority: PRIORITIES[n % PRIORITIES.len()],
            ..spec(&job_id(n), 6)
        };
        simulation.submit(job, 8 * SECOND);
        simulation.run(SECOND);
        if n == 5 {
            let leader = simulation.leader().unwrap();
            simulation.crash(leader, 300 * MILLISECOND);
        }
    }
    simulation.settle(400 * SECOND);
    assert!((0..8).all(|n| simulation.final_state(&job_id(n)).is_some()));
    simulation.assert_no_violations();
}
