//! A controller: the actor that connects the logic to the store, the cloud, the workers and the users.
//!
//! - `messages` are what the API asks; the actor hands them to `user_requests` and `state`.
//! - `state` is what a controller knows and decides, without I/O.
//! - Each `*_loop` carries out one kind of work of the state: it asks the state what to do, waits for the network, and gives
//!   the outcome to the state. The state is borrowed by closures only, never across a wait.

mod actor;
mod cancellation_broadcast_loop;
mod clock;
mod cloud;
mod election_loop;
mod flush_loop;
mod handles;
mod job_status;
mod messages;
mod peer_view_loop;
mod read_barrier_loop;
mod scheduling_loop;
mod start_log_loop;
mod state;
mod store_calls;
#[cfg(test)]
mod tests;
mod user_requests;
mod watch_loop;

pub use actor::Controller;
pub use messages::{
    Cancel, Health, Heartbeat, HeartbeatOutcome, HeartbeatResponse, JobOutcome, JobRejection,
    PeerCancelled, PeerView, Poll, Submit,
};
