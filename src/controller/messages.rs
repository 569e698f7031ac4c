//! The messages to a controller, and their outcomes. The API sends them; it maps the outcomes to responses.

use crate::coordination::peers::{Cancelled, View};
use crate::protocol::{HeartbeatReply, JobSpec, JobView, WorkerStatus};
use crate::store::Revision;
use actix::Message;
use std::time::{Duration, Instant};

/// A user submits a job.
#[derive(Message)]
#[rtype(result = "JobOutcome")]
pub struct Submit(pub JobSpec);

/// A user asks about a job.
#[derive(Message)]
#[rtype(result = "JobOutcome")]
pub struct Poll(pub String);

/// A user cancels a job.
#[derive(Message)]
#[rtype(result = "JobOutcome")]
pub struct Cancel(pub String);

/// Asks whether this controller should get users.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Health;

/// A worker reports its state.
#[derive(Message)]
#[rtype(result = "HeartbeatResponse")]
pub struct Heartbeat(pub WorkerStatus);

/// Another controller sends its view, and is answered by that of this one.
#[derive(Message)]
#[rtype(result = "View")]
pub struct PeerView(pub View);

/// Another controller sends cancellations that are durable, and is answered by the revision of this one's replica.
#[derive(Message)]
#[rtype(result = "Revision")]
pub struct PeerCancelled(pub Cancelled);

/// The outcome of a user's request about a job.
#[derive(Debug, Clone, PartialEq)]
pub enum JobOutcome {
    /// The job was accepted by this request.
    Accepted(JobView),
    /// The job is known; this is its state.
    Known(JobView),
    /// No job of this name was ever accepted.
    NotFound,
    /// The job can never run and was not accepted.
    Rejected(JobRejection),
    /// The request was not served now; the user may repeat it after this time.
    RetryAfter(Duration),
}

impl JobOutcome {
    /// The request was not served, but is likely to be when it is repeated soon.
    pub const RETRY_SOON: JobOutcome = JobOutcome::RetryAfter(Duration::from_secs(1));
}

/// Why a job can never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum JobRejection {
    /// The settings have no such team.
    #[error("unknown team")]
    UnknownTeam,
    /// No machine type that the job allows has the resources of one task.
    #[error("no allowed machine type is large enough")]
    NoMachineTypeFits,
    /// The tasks that have to run at the same time exceed the team's quota limit.
    #[error("more than the team's limit")]
    ExceedsTeamLimit,
}

/// The outcome of a worker's heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatOutcome {
    /// This controller leads: the commands for the worker.
    Reply(HeartbeatReply),
    /// Another controller leads; its name, if it is to be named.
    Redirect(Option<String>),
    /// This controller does not lead, and knows no other leader.
    NoLeader,
}

/// The outcome of a worker's heartbeat, and until when it may be sent.
#[derive(Debug)]
pub struct HeartbeatResponse {
    /// The outcome.
    pub outcome: HeartbeatOutcome,
    /// When the authority under which it was decided ends.
    pub valid_until: Option<Instant>,
}
