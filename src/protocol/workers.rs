//! What workers report and are commanded.

use super::decoding::opt_num;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::Add;

/// Identifies who may command a worker. A worker follows only tokens that are at least the highest it has seen, so that
/// raising the token of a machine voids every command sent before.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// The token of a worker that has seen none.
    pub const ZERO: FencingToken = FencingToken(0);

    /// The token with this number.
    #[must_use]
    pub const fn new(number: u64) -> FencingToken {
        FencingToken(number)
    }

    /// The number on the wire.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl Add<u64> for FencingToken {
    type Output = FencingToken;

    /// The token raised this many times.
    fn add(self, steps: u64) -> FencingToken {
        FencingToken(self.0 + steps)
    }
}

impl fmt::LowerHex for FencingToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::LowerHex::fmt(&self.0, formatter)
    }
}

/// What a worker says of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waiting for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// Has its image and waits for the rest of its gang.
    #[serde(rename = "gathering")]
    Gathering,
    /// Running.
    #[serde(rename = "running")]
    Running,
    /// Told to stop and saving.
    #[serde(rename = "flushing")]
    Saving,
    /// Ended.
    #[serde(rename = "exited")]
    Exited,
    /// Anything else.
    #[serde(other)]
    Other,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: not enough room.
    #[serde(rename = "full")]
    NoRoom,
    /// Refused: here with another attempt.
    #[serde(rename = "in_use")]
    Busy,
    /// Refused: no such job.
    #[serde(rename = "unknown")]
    Unknown,
    /// Anything else.
    #[serde(other)]
    Other,
}

/// A task in a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// `job/number`.
    #[serde(rename = "chore")]
    pub task: String,
    /// Attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State.
    #[serde(rename = "standing")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<ExitReason>,
    /// Whether its progress was saved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Machine name.
    #[serde(rename = "host")]
    pub machine: String,
    /// Where it takes direct orders.
    pub address: String,
    /// Machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Session.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Sequence number.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest token seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Seconds until the cloud takes the machine.
    #[serde(
        rename = "recallS",
        default,
        deserialize_with = "opt_num",
        skip_serializing_if = "Option::is_none"
    )]
    pub notice_s: Option<f64>,
    /// All tasks there.
    #[serde(rename = "chores")]
    pub tasks: Vec<TaskReport>,
}

/// Splits `job/number`.
#[must_use]
pub fn split_task(task: &str) -> Option<(&str, u32)> {
    let (job, number) = task.split_once('/')?;
    Some((job, number.parse().ok()?))
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Start a task.
    #[serde(rename = "start")]
    Start {
        /// `job/number`.
        #[serde(rename = "chore")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename = "halt")]
    Stop {
        /// `job/number`.
        #[serde(rename = "chore")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time to save in.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Remove an exited task from the reports.
    #[serde(rename = "clear")]
    Forget {
        /// `job/number`.
        #[serde(rename = "chore")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportReply {
    /// The token the commands are given under.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Commands, executed in order.
    pub orders: Vec<Command>,
}

/// Commands sent straight to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectOrders {
    /// Token.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Session they are meant for.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Commands.
    pub orders: Vec<Command>,
}

/// Where a worker should report instead.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Redirect {
    /// The node's name.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
