//! The other controllers, the peers of this one: the messages between them, the requests to them, and whether they can be
//! reached.
//!
//! Peers exchange views about once a second and notify each other of cancellations at once. Losing one of these
//! messages costs only time: a controller that hears of no peer acts on the store alone.

mod client;
mod health;
mod messages;
#[cfg(test)]
mod tests;

pub use client::{exchange_views, send_cancellations};
pub use health::PeerHealth;
pub use messages::{
    decode, encode, Cancelled, CancelledJob, JobTaskCounts, View, MESSAGE_SIZE_LIMIT,
};
