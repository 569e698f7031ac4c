//! Tests of whole controllers, nearly all of them in a simulated cluster.
//!
//! [`simulation`] is the simulator, [`fault_combinations`] injects chosen combinations of faults, and [`random_schedules`]
//! injects faults at random, reproducibly from seeds. [`failover`] needs no simulator: it starts a new leader from literal
//! records in the store.

mod cancellation_broadcast;
mod failover;
mod fault_combinations;
mod large_fleets;
mod random_schedules;
mod refused_transactions;
mod simulation;
