//! A controller: the actor that joins the pure parts to the state service, the cloud, the workers and the users.

mod actor;
mod cancellation_broadcast;
mod clock;
mod election_loop;
mod flush_loop;
mod handles;
mod job_status;
mod messages;
mod peer_view_loop;
mod provisioning;
mod read_barrier;
mod scheduling_loop;
mod start_log_loop;
mod state;
mod store_calls;
#[cfg(test)]
mod tests;
mod user_requests;
mod watch_loop;

pub use actor::Node;
pub use messages::{
    Abort, Health, HeartbeatOutcome, HeartbeatResponse, JobOutcome, JobRejection, PeerCancelled,
    PeerView, Poll, Submit, WorkerReport,
};
