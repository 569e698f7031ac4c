//! Messages to a controller, and their outcomes. The API sends the messages and maps the outcomes to HTTP responses.

use crate::coordination::peers::{Cancelled, View};
use crate::protocol::{HeartbeatReply, JobSpec, JobView, WorkerStatus};
use crate::store::Revision;
use actix::Message;
use std::time::{Duration, Instant};

/// A user's request to submit a job.
#[derive(Message)]
#[rtype(result = "JobOutcome")]
pub struct Submit(pub JobSpec);

/// A user's request for the state of the job with this id.
#[derive(Message)]
#[rtype(result = "JobOutcome")]
pub struct Poll(pub String);

/// A user's request to cancel the job with this id.
#[derive(Message)]
#[rtype(result = "JobOutcome")]
pub struct Cancel(pub String);

/// A health check: whether users' requests should be routed to this controller.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Health;

/// A worker's report of its state.
#[derive(Message)]
#[rtype(result = "HeartbeatResponse")]
pub struct Heartbeat(pub WorkerStatus);

/// A view received from a peer. It is answered with the view of this controller.
#[derive(Message)]
#[rtype(result = "View")]
pub struct PeerView(pub View);

/// Durable cancellations received from a peer. They are answered with the revision of this controller's replica.
#[derive(Message)]
#[rtype(result = "Revision")]
pub struct PeerCancelled(pub Cancelled);

/// The outcome of a user's request about a job.
#[derive(Debug, Clone, PartialEq)]
pub enum JobOutcome {
    /// The job was accepted by this request.
    Accepted(JobView),
    /// The job exists and is in this state.
    Known(JobView),
    /// No job with this id was ever accepted.
    NotFound,
    /// The job was not accepted, since it can never run.
    Rejected(JobRejection),
    /// The request was not served; the user may repeat it after this time.
    RetryAfter(Duration),
}

impl JobOutcome {
    /// The request was not served, but is likely to be if the user repeats it after one second.
    pub const RETRY_SOON: JobOutcome = JobOutcome::RetryAfter(Duration::from_secs(1));
}

/// The reason why a job can never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum JobRejection {
    /// The settings do not define the job's team.
    #[error("unknown team")]
    UnknownTeam,
    /// No machine type that the job allows has the resources that one task requests.
    #[error("no allowed machine type is large enough")]
    NoMachineTypeFits,
    /// The tasks that have to run at the same time exceed the team's limit.
    #[error("more than the team's limit")]
    ExceedsTeamLimit,
    /// The state service does not accept a value as large as the job's record.
    #[error("the job's record of {bytes} bytes is larger than can be stored")]
    RecordTooLarge {
        /// Size of the record in the form of JSON, in bytes.
        bytes: usize,
    },
}

/// The outcome of a worker's heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatOutcome {
    /// This controller leads and replies with the commands for the worker.
    Reply(HeartbeatReply),
    /// Another controller leads. Holds its name, if the worker should be told.
    Redirect(Option<String>),
    /// This controller does not lead and knows of no leader.
    NoLeader,
}

/// The outcome of a worker's heartbeat, and the time until which a reply may be sent.
#[derive(Debug)]
pub struct HeartbeatResponse {
    /// The outcome of the heartbeat.
    pub outcome: HeartbeatOutcome,
    /// When the authority under which the outcome was decided ends; a reply must not be sent later.
    pub valid_until: Option<Instant>,
}

impl HeartbeatResponse {
    /// Reports whether a reply may still be sent at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }
}
