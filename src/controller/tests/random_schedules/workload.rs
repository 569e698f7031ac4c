//! Random submissions and cancellations of jobs by the simulated users.

use super::super::simulation::{Simulation, NODES};
use crate::protocol::{JobKind, Priority};
use crate::scheduler::tests::spec;
use rand::Rng;
use std::time::Duration;

/// Maximum number of services. They never finish, so more of them would leave too little capacity for the other jobs.
const MAX_SERVICES: u32 = 2;

/// Numbers of jobs that have been submitted in a schedule.
#[derive(Default)]
pub(super) struct Workload {
    /// All jobs, including services.
    jobs: u32,
    services: u32,
}

impl Workload {
    /// Submits a job with a random kind, zone constraint, number of tasks, run time and priority.
    pub(super) fn submit(&mut self, simulation: &mut Simulation) {
        self.jobs += 1;
        let rng = &mut simulation.rng;
        let tasks = rng.gen_range(1..9);
        let mut job = spec(&format!("wk-{}", self.jobs), tasks);
        match rng.gen_range(0..6) {
            0 if self.services < MAX_SERVICES => {
                self.services += 1;
                job.kind = JobKind::Service;
                job.spread_zones = rng.gen_bool(0.5);
                job.tasks = tasks.min(3);
            }
            1 => job.zone = Some("a".into()),
            2 => job.single_zone = true,
            _ => {}
        }
        let run_time = Duration::from_millis(rng.gen_range(500..30_000));
        job.priority = [
            Priority::Low,
            Priority::Normal,
            Priority::High,
            Priority::Production,
        ][rng.gen_range(0..4)];
        let stagger = Duration::from_millis(rng.gen_range(0..4) * 2500);
        let id = job.id.clone();
        simulation.submit(job, run_time);
        simulation.job_mut(&id).stagger = stagger;
    }
}

/// Cancels a random unfinished job, if there is one, through a random controller.
pub(super) fn cancel_random_job(simulation: &mut Simulation) {
    let cancellable: Vec<String> = simulation
        .jobs
        .keys()
        .filter(|id| simulation.is_cancellable(id))
        .cloned()
        .collect();
    if cancellable.is_empty() {
        return;
    }
    let job_index = simulation.rng.gen_range(0..cancellable.len());
    let node = simulation.rng.gen_range(0..NODES);
    simulation.cancel(node, &cancellable[job_index]);
}
