//! Messages between controllers, encoded as bincode.
//!
//! Controllers of two versions run side by side during an upgrade. Bincode encodes fields by position, without their names, so
//! the order and the types of the fields must not change.

use crate::store::{Epoch, Revision};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// Maximum size of a message that is accepted from a peer, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// A controller's view of the epoch, the store and, if it leads, the jobs.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct View {
    /// Name of the sending controller.
    pub node: String,
    /// Newest epoch that it has seen.
    pub epoch: Epoch,
    /// Revision that its replica of the store has reached.
    pub revision: Revision,
    /// Whether the store answers it.
    pub store_reachable: bool,
    /// If it leads: rate of its changes to the store, per second.
    pub leader_changes_per_s: Option<f64>,
    /// If it leads: done and running tasks of every job, for display to users.
    pub task_counts: Option<Vec<JobTaskCounts>>,
}

/// Numbers of done and running tasks of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobTaskCounts {
    /// Name of the job.
    pub job: String,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks that are running.
    pub running: u32,
}

/// A job whose cancellation is durable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelledJob {
    /// Name of the job.
    pub job: String,
    /// Number of its tasks.
    pub tasks: u32,
    /// Revision at which its cancellation became durable.
    pub revision: Revision,
}

/// Notices of durable cancellations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// The cancelled jobs.
    pub jobs: Vec<CancelledJob>,
}

/// Decodes a message. Returns `None` if it is too large or malformed.
#[must_use]
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    if body.len() > MAX_MESSAGE_BYTES {
        return None;
    }
    bincode::deserialize(body).ok()
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    bincode::serialize(message).unwrap_or_default()
}
