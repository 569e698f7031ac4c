//! hollowswitch: a cluster scheduler that rents machines by the second and keeps every task in at most one place.
//!
//! The program in `main.rs` is thin; [`node::run`] is the whole service. Start reading at [`scheduler`], the logic without
//! I/O, and `docs/design.md`.
#![warn(missing_docs)]

pub mod api;
pub mod cloud;
pub mod config;
pub mod fleet;
pub mod leader;
pub mod limiter;
pub mod node;
pub mod pacer;
pub mod peer;
pub mod permit;
pub mod placement;
pub mod protocol;
pub mod rate;
pub mod scheduler;
pub mod server;
pub mod store;
pub mod units;
pub mod worker;
