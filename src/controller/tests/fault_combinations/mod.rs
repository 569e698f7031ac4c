//! Chosen combinations of faults that have violated a safety invariant or might violate one.
//!
//! Each module is named for its main fault. `docs/safety.md` explains for each combination why the invariants hold. Unless a
//! test says otherwise, no invariant may be violated and every job has to settle in the end.

mod capacity_shortages;
mod delayed_starts;
mod failovers;
mod late_writes;
mod lowered_limits;
mod partitions;
mod stale_messages;
mod store_refusals;

use super::simulation::{Simulation, NODES, SECOND};
use crate::scheduler::tests::spec;
use std::fmt::Display;
use std::ops::Range;

/// Returns the controller after `node`; the first one follows the last.
fn next_node(node: usize) -> usize {
    (node + 1) % NODES
}

/// Returns the controller that is neither `first` nor `second`.
fn third_node(first: usize, second: usize) -> usize {
    (0..NODES).sum::<usize>() - first - second
}

/// Returns the id of the job with a number.
fn job_id(number: impl Display) -> String {
    format!("wk-{number}")
}

/// Submits jobs of four tasks that run for ten minutes.
fn submit_long_jobs(simulation: &mut Simulation, numbers: Range<u32>) {
    for number in numbers {
        simulation.submit(spec(&job_id(number), 4), 600 * SECOND);
    }
}

/// Reports whether all four tasks of each of the jobs run.
fn all_tasks_running(simulation: &Simulation, mut numbers: Range<u32>) -> bool {
    numbers.all(|number| simulation.running_task_count(&job_id(number)) == 4)
}
