//! Randomized fault tests on real processes. Three controllers run as processes; the state service, the cloud, the workers and
//! the users are stand-ins, and every connection passes through the harness, which troubles it.
//!
//! One seed fixes the schedule of the troubles. What the workers and users observe is checked against the rules of the
//! protocol. `cargo test --test soak` plays a few fixed seeds. Others are played with
//!
//! `SOAK_FROM=1000 SOAK_SEEDS=50 cargo test --release --test soak -- --ignored --nocapture many_seeds`
//!
//! where `SOAK_WORKERS` sets the number of machines, `SOAK_TROUBLES_S` for how long there are troubles, `SOAK_AT_ONCE` the
//! number of seeds played at the same time, `SOAK_KEEP_LOGS=1` that the logs are kept without a failure too, and `SOAK_PROGRAM`
//! another program to test.

mod cluster;
mod controllers;
#[path = "../harness/mod.rs"]
#[expect(dead_code, reason = "the load driver uses the rest of the stand-ins")]
mod harness;
mod invariants;
mod invariants_tests;
mod lowered_limits;
mod options;
mod run;
mod schedule;
mod seeds;
mod troubles;
mod versions;
mod workload;
