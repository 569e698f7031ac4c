//! The messages between controllers, as bincode.
//!
//! Controllers of two versions run side by side during an upgrade. Bincode writes no names, so the order and the types of the
//! fields must not change.

use crate::store::{Epoch, Revision};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// The largest message accepted from a peer, in bytes.
pub const MESSAGE_SIZE_LIMIT: usize = 4 << 20;

/// A controller's view: what it knows of the epoch, the store and, if it leads, the jobs.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct View {
    /// Name of the controller.
    pub node: String,
    /// Number of the newest epoch that it has seen.
    pub epoch: Epoch,
    /// The revision that its replica of the store has reached.
    pub revision: Revision,
    /// Whether the store answers it.
    pub store_reachable: bool,
    /// If it leads: the rate of its changes of the store, per second.
    pub leader_changes_per_s: Option<f64>,
    /// If it leads: done and running tasks of every job, for display.
    pub task_counts: Option<Vec<JobTaskCounts>>,
}

/// How many tasks of a job are done and running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobTaskCounts {
    /// Name of the job.
    pub job: String,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that are running.
    pub running: u32,
}

/// A job whose cancellation is durable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelledJob {
    /// Name of the job.
    pub job: String,
    /// Its number of tasks.
    pub tasks: u32,
    /// Revision at which its cancellation became durable.
    pub revision: Revision,
}

/// Notices of cancellations that are durable.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// The cancelled jobs.
    pub jobs: Vec<CancelledJob>,
}

/// Decodes a message; none if it is too large or malformed.
#[must_use]
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    if body.len() > MESSAGE_SIZE_LIMIT {
        return None;
    }
    bincode::deserialize(body).ok()
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    bincode::serialize(message).unwrap_or_default()
}
