//! Admission control: how many requests are in progress, how many changes users may make, and the rates of both.

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::missing_panics_doc,
    reason = "this module has yet to be cleaned"
)]
pub mod concurrency_limit;
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::missing_errors_doc,
    reason = "this module has yet to be cleaned"
)]
pub mod rate;
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::missing_errors_doc,
    reason = "this module has yet to be cleaned"
)]
pub mod write_admission;
