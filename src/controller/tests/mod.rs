//! Whole controllers in a simulated cluster.
//!
//! [`simulation`] is the simulator, [`fault_combinations`] brings about chosen combinations of faults in order, and
//! [`random_schedules`] draws them from seeds.

mod cancellation_broadcast;
mod failover;
mod fault_combinations;
mod large_fleets;
mod random_schedules;
mod simulation;
