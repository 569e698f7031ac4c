//! hollowswitch: a cluster scheduler that rents machines by the second and runs every task on at most one machine at a time.
//!
//! `main.rs` only parses the command line and the settings; [`service::run`] runs a controller. [`scheduler`] contains the
//! scheduling logic, which performs no I/O. `docs/architecture.md` gives an overview.

pub mod admission;
pub mod api;
pub mod autoscaler;
pub mod clients;
pub mod config;
pub mod controller;
pub mod coordination;
pub mod placement;
pub mod protocol;
pub mod resources;
pub mod scheduler;
pub mod service;
pub mod store;
pub mod time;
