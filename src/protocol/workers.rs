//! Messages to and from workers: heartbeats and commands.

use super::decoding::optional_finite_number;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::Add;

/// A fencing token, sent with all commands to a worker. A worker executes only commands whose token is at least the highest one
/// that it has seen, so that advancing the token of a machine invalidates all earlier commands to it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// The initial token of a worker, which has seen no other.
    pub const ZERO: FencingToken = FencingToken(0);

    /// Creates the token with a number.
    #[must_use]
    pub const fn new(number: u64) -> FencingToken {
        FencingToken(number)
    }

    /// Returns the number of the token, as sent on the wire.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl Add<u64> for FencingToken {
    type Output = FencingToken;

    /// Returns the token advanced by a number of steps.
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
    /// The task waits for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// The machine has the image, and the task waits for the other tasks of its gang.
    #[serde(rename = "gathering")]
    Gathering,
    /// The task runs.
    #[serde(rename = "running")]
    Running,
    /// The task was told to stop and is saving a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// The task has ended. An [`ExitReason`] tells why.
    #[serde(rename = "exited")]
    Exited,
    /// Any state that this version does not know.
    #[serde(other)]
    Other,
}

/// The reason why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// The task completed.
    #[serde(rename = "done")]
    Done,
    /// The task was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// The task failed.
    #[serde(rename = "error")]
    Error,
    /// The start was refused because the machine has too few free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The start was refused because another attempt of the task is on the machine.
    #[serde(rename = "in_use")]
    ConflictingAttempt,
    /// The start was refused because no such job or task exists.
    #[serde(rename = "unknown")]
    UnknownTask,
    /// Any reason that this version does not know.
    #[serde(other)]
    Other,
}

/// The status of a task on its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Name of the task: `job/number`.
    #[serde(rename = "chore")]
    pub task: String,
    /// Number of the attempt to run the task.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task.
    #[serde(rename = "standing")]
    pub state: TaskState,
    /// Reason why the task ended. Absent before its end.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<ExitReason>,
    /// Whether the progress of the task was saved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A heartbeat: the status of a worker, of its machine and of all tasks on the machine. Also the response to direct commands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Name of the machine.
    #[serde(rename = "host")]
    pub machine: String,
    /// Address at which the worker accepts direct commands.
    pub address: String,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Session of the worker. Starts at 1 and increases whenever the lease of the worker expires and its tasks are killed.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Sequence number, which increases with every heartbeat and every response to direct commands.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Seconds until the cloud terminates the spot machine. Absent unless the machine has a termination notice.
    #[serde(
        rename = "recallS",
        default,
        deserialize_with = "optional_finite_number",
        skip_serializing_if = "Option::is_none"
    )]
    pub termination_notice_s: Option<f64>,
    /// All tasks on the machine. An exited task is listed until a [`Command::Forget`] removes it.
    #[serde(rename = "chores")]
    pub tasks: Vec<TaskStatus>,
}

/// Splits the name of a task, `job/number`, into the job id and the task number. Returns `None` for a malformed name.
#[must_use]
pub fn split_task(task: &str) -> Option<(&str, u32)> {
    let (job, number) = task.split_once('/')?;
    Some((job, number.parse().ok()?))
}

/// A command to a worker. Commands are idempotent, except that a start after [`Command::Forget`] runs the same attempt again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Starts a task.
    #[serde(rename = "start")]
    Start {
        /// Name of the task: `job/number`.
        #[serde(rename = "chore")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops a task.
    #[serde(rename = "halt")]
    Stop {
        /// Name of the task: `job/number`.
        #[serde(rename = "chore")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time allowed for saving a checkpoint, in seconds. If it is too short for that, the task exits at once.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Removes an exited task from the list of tasks in heartbeats.
    #[serde(rename = "clear")]
    Forget {
        /// Name of the task: `job/number`.
        #[serde(rename = "chore")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The reply to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Fencing token of the commands.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Commands, in the order in which the worker executes them.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands that are sent directly to the address of a worker, instead of in the reply to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommandRequest {
    /// Fencing token of the commands.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Session of the worker that the commands are meant for. A worker in any other session rejects them.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Commands, in the order in which the worker executes them.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The reply to a heartbeat by a controller that does not lead. Tells the worker where to send its heartbeats.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the leader, if it is known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}
