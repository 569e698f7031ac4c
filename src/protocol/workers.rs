//! Workers: their heartbeats, and the commands that they are given.

use super::decoding::optional_finite_number;
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

/// The state of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waits for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// Has its image and waits for the other tasks of its gang.
    #[serde(rename = "gathering")]
    Gathering,
    /// Runs.
    #[serde(rename = "running")]
    Running,
    /// Was told to stop and saves a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// Has ended, see [`ExitReason`].
    #[serde(rename = "exited")]
    Exited,
    /// A state that this version does not know.
    #[serde(other)]
    Other,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// The task has completed.
    #[serde(rename = "done")]
    Done,
    /// The task was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// The task has failed.
    #[serde(rename = "error")]
    Error,
    /// The start was refused: the machine has too few free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The start was refused: the task is on the machine with another attempt.
    #[serde(rename = "in_use")]
    ConflictingAttempt,
    /// The start was refused: there is no such job or task.
    #[serde(rename = "unknown")]
    UnknownTask,
    /// A reason that this version does not know.
    #[serde(other)]
    Other,
}

/// The status of a task on its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// `job/number`.
    #[serde(rename = "chore")]
    pub task: String,
    /// Number of the attempt to run the task.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task.
    #[serde(rename = "standing")]
    pub state: TaskState,
    /// Why it has ended; absent while it has not.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<ExitReason>,
    /// Whether its progress was saved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A heartbeat of a worker, with the status of its machine and of all tasks there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Name of the machine.
    #[serde(rename = "host")]
    pub machine: String,
    /// Address at which the worker takes direct commands.
    pub address: String,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Incarnation of the worker: starts at 1, and increases whenever its lease has expired and its tasks were killed.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Sequence number: increases with every heartbeat and every response to direct commands.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Seconds until the cloud takes the spot machine back, once it has given notice.
    #[serde(
        rename = "recallS",
        default,
        deserialize_with = "optional_finite_number",
        skip_serializing_if = "Option::is_none"
    )]
    pub termination_notice_s: Option<f64>,
    /// All tasks on the machine. Exited ones are listed until a command removes them.
    #[serde(rename = "chores")]
    pub tasks: Vec<TaskStatus>,
}

/// Splits the name of a task, `job/number`, into job id and number.
#[must_use]
pub fn split_task(task: &str) -> Option<(&str, u32)> {
    let (job, number) = task.split_once('/')?;
    Some((job, number.parse().ok()?))
}

/// A command to a worker. Each may be repeated, but a start after [`Command::Forget`] starts the attempt again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Starts a task.
    #[serde(rename = "start")]
    Start {
        /// `job/number`.
        #[serde(rename = "chore")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops a task.
    #[serde(rename = "halt")]
    Stop {
        /// `job/number`.
        #[serde(rename = "chore")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time that the task has to save a checkpoint, in seconds; if it is too short, it exits at once.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Removes an exited task from the heartbeats.
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

/// The response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The fencing token under which the commands are given.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Commands, which the worker executes in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands that are sent to the address of a worker instead of with the response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommandRequest {
    /// The fencing token under which the commands are given.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// The incarnation of the worker for which they are meant; any other refuses them.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Commands, which the worker executes in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Tells a worker to send its heartbeats to another controller.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the controller that leads, if it is known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}
