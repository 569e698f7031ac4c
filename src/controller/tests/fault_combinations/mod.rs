//! Combinations of faults that have violated a rule, or might, brought about in order.
//!
//! Each file is named for the fault that leads; `docs/safety.md` says for each combination why the rules hold. Unless a test
//! says otherwise, every job has to settle in the end and no rule may be violated on the way.

mod capacity_shortages;
mod delayed_starts;
mod failovers;
mod late_writes;
mod partitions;
mod stale_messages;
mod store_refusals;

use super::simulation::{Simulation, NODES, SECOND};
use crate::scheduler::tests::spec;
use std::fmt::Display;
use std::ops::Range;

/// The controller that follows another.
fn next_node(node: usize) -> usize {
    (node + 1) % NODES
}

/// The controller that is neither of two.
fn third_node(first: usize, second: usize) -> usize {
    (0..NODES).sum::<usize>() - first - second
}

/// The id of a job.
fn job_id(number: impl Display) -> String {
    format!("wk-{number}")
}

/// Submits jobs of four tasks that run for ten minutes.
fn submit_long_jobs(simulation: &mut Simulation, numbers: Range<u32>) {
    for number in numbers {
        simulation.submit(spec(&job_id(number), 4), 600 * SECOND);
    }
}

/// Whether all four tasks of each of these jobs run.
fn all_run(simulation: &Simulation, mut numbers: Range<u32>) -> bool {
    numbers.all(|number| simulation.running_task_count(&job_id(number)) == 4)
}
