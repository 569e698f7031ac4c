//! The controller: an actor that connects the scheduling logic to the store, the cloud, the workers and the users.
//!
//! - `messages` defines the requests of the API; the actor passes them to `user_requests` and `state`.
//! - `state` holds the state of a controller and makes its decisions, without I/O.
//! - Each `*_loop` performs one kind of I/O: it asks the state what to do, waits for the network, and applies the outcome to
//!   the state. The state is borrowed only inside closures, never across an `await`.
//! - `cloud` makes the calls to the cloud, in a loop of its own.

mod actor;
mod cancellation_broadcast_loop;
mod clock;
mod cloud;
mod election_loop;
mod flush_loop;
mod handles;
mod job_status;
mod messages;
mod metrics;
mod peer_view_loop;
mod read_barrier_loop;
mod scheduling_loop;
mod start_log_loop;
mod state;
mod status;
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
pub use metrics::ReadTotals;
pub use status::{ControllerStatus, GetStatus};
