//! The state service lowers its limits on the size of transactions while jobs run, with or without an announcement in the settings.

use super::super::simulation::{Deployment, Simulation, SizeLimits, SECOND};
use crate::config::NextStateLimits;
use crate::protocol::JobSpec;
use crate::scheduler::tests::spec;
use crate::store::stopping_key;
use std::ops::Range;

/// Limits that refuse the slot of the start log that holds the starts of the first jobs.
const LOWERED: SizeLimits = SizeLimits {
    value_bytes: 1024,
    changes: 4,
};

/// Number of machines, each with room for one job.
const MACHINES: u32 = 24;
/// Number of jobs that run when the limits are lowered.
const FIRST_JOBS: u32 = 20;

/// Returns the id of a job, which is as long as ids may be.
fn job_id(number: u32) -> String {
    format!("wk-{number:020}")
}

/// Submits jobs of four tasks that run for ten minutes.
fn submit_jobs(simulation: &mut Simulation, numbers: Range<u32>) {
    for number in numbers {
        simulation.submit(spec(&job_id(number), 4), 600 * SECOND);
    }
}

fn all_tasks_running(simulation: &Simulation, mut numbers: Range<u32>) -> bool {
    numbers.all(|number| simulation.running_task_count(&job_id(number)) == 4)
}

/// Lets the first jobs run on a cluster, and lowers the limits.
fn run_first_jobs_and_lower_limits(mut simulation: Simulation) -> Simulation {
    submit_jobs(&mut simulation, 0..FIRST_JOBS);
    simulation.run(20 * SECOND);
    assert!(all_tasks_running(&simulation, 0..FIRST_JOBS));
    simulation.store.limits = LOWERED;
    simulation
}

/// The leader once repeated a slot of the start log that the service refused for its size, and nothing was started any more.
#[test]
fn accepted_jobs_start_after_the_state_service_has_lowered_its_limits() {
    let mut simulation = run_first_jobs_and_lower_limits(Simulation::new(7, MACHINES));
    let later_jobs = FIRST_JOBS..FIRST_JOBS + 3;
    submit_jobs(&mut simulation, later_jobs.clone());
    simulation.run(20 * SECOND);
    assert!(all_tasks_running(&simulation, later_jobs));
    simulation.assert_no_violations();
}

/// Like the test above, with leaders that begin after the change: they find a slot that is larger than they may write.
#[test]
fn a_leader_that_begins_after_the_limits_were_lowered_starts_jobs() {
    let mut simulation = run_first_jobs_and_lower_limits(Simulation::new(8, MACHINES));
    for number in FIRST_JOBS..FIRST_JOBS + 3 {
        let leader = simulation.leader().unwrap();
        simulation.crash(leader, SECOND);
        submit_jobs(&mut simulation, number..number + 1);
        simulation.run(30 * SECOND);
        assert!(all_tasks_running(&simulation, number..number + 1));
    }
    simulation.assert_no_violations();
}

/// Writes that keep to announced limits from the beginning are never refused, whether they are made before or after the change:
/// starts, results, final states, cancellations, rentals, epochs and the deletion of records.
#[test]
fn no_write_exceeds_limits_that_the_settings_announce() {
    let announced = Deployment {
        next_limits: Some(NextStateLimits {
            value_kb: Some(1.0),
            txn_ops: Some(LOWERED.changes),
            ..NextStateLimits::default()
        }),
        ..Deployment::default()
    };
    let simulation = Simulation::with_deployment(9, MACHINES, announced);
    let mut simulation = run_first_jobs_and_lower_limits(simulation);
    let short_jobs = FIRST_JOBS..FIRST_JOBS + 3;
    for number in short_jobs {
        simulation.submit(spec(&job_id(number), 4), 10 * SECOND);
    }
    simulation.run(5 * SECOND);
    let leader = simulation.leader().unwrap();
    for number in 0..FIRST_JOBS / 2 {
        assert!(simulation.cancel(leader, &job_id(number)));
    }
    simulation.run(5 * SECOND);
    let leader = simulation.leader().unwrap();
    simulation.crash(leader, SECOND);
    simulation.run(60 * SECOND);
    let leader = simulation.leader().unwrap();
    for number in FIRST_JOBS / 2..FIRST_JOBS {
        assert!(simulation.cancel(leader, &job_id(number)));
    }
    simulation.run(20 * SECOND);
    assert_eq!(simulation.store.refused_for_size, 0);
    simulation.assert_settles();
}

/// A job whose record is larger than the lowered limit once could not be cancelled, since the cancellation moves the record. It has
/// to stop under the next leader too, which knows only the reduced record.
#[test]
fn a_job_stored_above_the_lowered_limit_can_be_cancelled() {
    let mut simulation = Simulation::new(10, 3);
    let large = JobSpec {
        machine_types: Some(
            (0..12)
                .map(|n| format!("m{n:0100}"))
                .chain(["m8".into()])
                .collect(),
        ),
        ..spec("wk-1", 4)
    };
    simulation.submit(large, 600 * SECOND);
    simulation.run(10 * SECOND);
    assert_eq!(simulation.running_task_count("wk-1"), 4);
    simulation.store.limits = LOWERED;
    let leader = simulation.leader().unwrap();
    let attempts = (0..3).take_while(|_| !simulation.cancel(leader, "wk-1"));
    assert!(attempts.count() < 3);
    simulation.crash(leader, SECOND);
    simulation.run(60 * SECOND);
    assert_eq!(simulation.running_task_count("wk-1"), 0);
    assert!(!simulation.store.contains(&stopping_key("wk-1")));
    simulation.assert_no_violations();
}
