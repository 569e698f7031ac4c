//! hollowswitch: a cluster scheduler that rents machines by the second and keeps every task in at most one place.
//!
//! The program in `main.rs` is thin; [`service::run`] is the whole service. Begin with `docs/architecture.md`;
//! [`scheduler`] is the logic without I/O.

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
