//! hollowswitch: a cluster scheduler that rents machines by the second and keeps every task in at most one place.
//!
//! The program in `main.rs` is thin; [`node::run`] is the whole service. Start reading at [`scheduler`], the logic without
//! I/O, and `docs/design.md`.
#![warn(missing_docs)]

#[allow(
    clippy::cast_possible_truncation,
    clippy::missing_errors_doc,
    reason = "this module has yet to be cleaned"
)]
pub mod api;
pub mod cloud;
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "this module has yet to be cleaned"
)]
pub mod config;
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::needless_for_each,
    clippy::too_many_lines,
    reason = "this module has yet to be cleaned"
)]
pub mod fleet;
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::match_same_arms,
    reason = "this module has yet to be cleaned"
)]
pub mod leader;
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::missing_panics_doc,
    reason = "this module has yet to be cleaned"
)]
pub mod limiter;
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::missing_errors_doc,
    clippy::needless_for_each,
    clippy::needless_pass_by_value,
    clippy::struct_field_names,
    clippy::too_many_lines,
    reason = "this module has yet to be cleaned"
)]
pub mod node;
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::missing_errors_doc,
    reason = "this module has yet to be cleaned"
)]
pub mod pacer;
pub mod peer;
pub mod permit;
#[allow(clippy::too_many_lines, reason = "this module has yet to be cleaned")]
pub mod placement;
#[allow(
    clippy::missing_errors_doc,
    reason = "this module has yet to be cleaned"
)]
pub mod protocol;
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::missing_errors_doc,
    reason = "this module has yet to be cleaned"
)]
pub mod rate;
#[allow(
    clippy::assigning_clones,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::needless_for_each,
    clippy::needless_pass_by_value,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    clippy::unused_self,
    reason = "this module has yet to be cleaned"
)]
pub mod scheduler;
#[allow(
    clippy::missing_errors_doc,
    reason = "this module has yet to be cleaned"
)]
pub mod server;
#[allow(
    clippy::assigning_clones,
    clippy::cast_possible_truncation,
    clippy::missing_errors_doc,
    clippy::needless_pass_by_value,
    clippy::too_many_lines,
    reason = "this module has yet to be cleaned"
)]
pub mod store;
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "this module has yet to be cleaned"
)]
pub mod units;
#[allow(
    clippy::missing_errors_doc,
    reason = "this module has yet to be cleaned"
)]
pub mod worker;
