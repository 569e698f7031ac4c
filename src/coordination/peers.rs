//! Communication with the peers, the other controllers: messages, requests, and the health of peers.
//!
//! Peers exchange views about once a second and notify each other of cancellations immediately. A lost message costs only
//! time: a controller that reaches no peer relies on the store alone.

mod client;
mod health;
mod messages;
#[cfg(test)]
mod tests;

pub use client::{exchange_views, send_cancellations};
pub use health::PeerHealth;
pub use messages::{
    decode, encode, Cancelled, CancelledJob, JobTaskCounts, View, MAX_MESSAGE_BYTES,
};
