//! What the users of a schedule do: they submit and cancel jobs.

use super::super::simulation::{Simulation, NODES};
use crate::protocol::{JobKind, Priority};
use crate::scheduler::tests::spec;
use rand::Rng;
use std::time::Duration;

/// Most services, so that they leave room for the rest.
const SERVICES: u32 = 2;

/// What the users of a schedule have submitted.
#[derive(Default)]
pub(super) struct Workload {
    jobs: u32,
    services: u32,
}

impl Workload {
    /// Submits a job of a random kind.
    pub(super) fn submit(&mut self, simulation: &mut Simulation) {
        self.jobs += 1;
        let rng = &mut simulation.rng;
        let tasks = rng.gen_range(1..9);
        let mut job = spec(&format!("wk-{}", self.jobs), tasks);
        match rng.gen_range(0..6) {
            0 if self.services < SERVICES => {
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

/// A user cancels a random job through a random controller.
pub(super) fn cancel_any_job(simulation: &mut Simulation) {
    let cancellable: Vec<String> = simulation
        .jobs
        .keys()
        .filter(|id| simulation.is_cancellable(id))
        .cloned()
        .collect();
    if cancellable.is_empty() {
        return;
    }
    let job = simulation.rng.gen_range(0..cancellable.len());
    let node = simulation.rng.gen_range(0..NODES);
    simulation.cancel(node, &cancellable[job]);
}
