//! The messages that a controller is asked with, and its answers.

use crate::coordination::peers::{Cancelled, View};
use crate::protocol::{JobSpec, JobView, Report, ReportReply};
use actix::Message;
use std::time::Instant;

/// A user submits a job.
#[derive(Message)]
#[rtype(result = "Answer")]
pub struct Submit(pub JobSpec);

/// A user asks about a job.
#[derive(Message)]
#[rtype(result = "Answer")]
pub struct Poll(pub String);

/// A user cancels a job.
#[derive(Message)]
#[rtype(result = "Answer")]
pub struct Abort(pub String);

/// A health check.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Health;

/// A worker reports.
#[derive(Message)]
#[rtype(result = "WorkerResponse")]
pub struct WorkerReport(pub Report);

/// Another controller tells its view.
#[derive(Message)]
#[rtype(result = "View")]
pub struct PeerView(pub View);

/// Another controller tells of cancellations that are durable.
#[derive(Message)]
#[rtype(result = "u64")]
pub struct PeerCancelled(pub Cancelled);

/// What a user is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A job's state, with the status.
    Job(u16, JobView),
    /// Never accepted.
    Unknown,
    /// Can never run.
    Never(&'static str),
    /// Ask again, in so many seconds.
    Later(u32),
}

/// What a worker is told.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerAnswer {
    /// Commands.
    Reply(ReportReply),
    /// Another node is in charge.
    Elsewhere(Option<String>),
    /// Nobody is known to be.
    Later,
}

/// What a worker is told, and until when that may be sent.
#[derive(Debug)]
pub struct WorkerResponse {
    /// The answer.
    pub answer: WorkerAnswer,
    /// When the authority under which it was decided ends.
    pub valid_until: Option<Instant>,
}
