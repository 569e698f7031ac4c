//! Coordination among the controllers: who leads, and what they tell each other.

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::match_same_arms,
    reason = "this module has yet to be cleaned"
)]
pub mod leadership;
pub mod peers;
