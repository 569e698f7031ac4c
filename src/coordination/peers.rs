//! What the controllers tell each other, as bincode.

#[cfg(test)]
mod tests;

use crate::clients::worker::exchange;
use awc::http::Method;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest message taken from a peer.
pub const LIMIT: usize = 4 << 20;

/// A node's view.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct View {
    /// Node.
    pub node: String,
    /// Number of the newest epoch it has seen.
    pub epoch: u64,
    /// How far its mirror of the store is.
    pub revision: u64,
    /// Whether the state service answers it.
    pub state_ok: bool,
    /// If it leads: the changes that it makes in the state service, a second.
    pub leader_changes_per_s: Option<f64>,
    /// If it leads: done and running tasks of every job, for display.
    pub counts: Option<Vec<(String, u32, u32)>>,
}

/// A job whose cancellation is durable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelledJob {
    /// Job.
    pub job: String,
    /// Its number of tasks.
    pub tasks: u32,
    /// Revision at which its cancellation became durable.
    pub revision: u64,
}

/// Cancellations that are durable. Such a word can only stop, never start anything, and losing it costs nothing but time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// Jobs.
    pub jobs: Vec<CancelledJob>,
}

/// A node that reaches no other for so long, nor is refused by one, is apart.
const ISOLATED_AFTER_MS: u64 = 5000;
/// How long another's word counts.
const PEER_VIEW_TTL_MS: u64 = 3000;

/// What a node knows of the others; all times in milliseconds.
#[derive(Debug, Default)]
pub struct PeerHealth {
    /// When each last told its view, and whether the state service answered it.
    told: HashMap<String, (u64, bool)>,
    reached_at: u64,
}

impl PeerHealth {
    /// Another has told its view.
    pub fn told(&mut self, node: String, state_ok: bool, now: u64) {
        self.told.insert(node, (now, state_ok));
        self.reached_at = now;
    }

    /// Another has refused a connection: something of it is within reach.
    pub fn refused(&mut self, now: u64) {
        self.reached_at = now;
    }

    /// This node stood still for a time: that it heard nothing meanwhile says nothing of the others.
    pub fn stood_still(&mut self, for_ms: u64, now: u64) {
        self.reached_at = (self.reached_at + for_ms).min(now);
    }

    /// Whether a node that the state service does not answer is alone with that: the service answers another one, or
    /// nothing of the others is reached either. In an outage, where the others are in the same case, it is not.
    #[must_use]
    pub fn alone(&self, now: u64) -> bool {
        self.told
            .values()
            .any(|(at, ok)| *ok && now < at + PEER_VIEW_TTL_MS)
            || now > self.reached_at + ISOLATED_AFTER_MS
    }
}

/// Decodes a message.
#[must_use]
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    (body.len() <= LIMIT).then(|| bincode::deserialize(body).ok())?
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    bincode::serialize(message).unwrap_or_default()
}

/// Exchanges views with a peer.
pub async fn ask(http: &awc::Client, addr: SocketAddr, own: &View) -> Option<View> {
    post(http, format!("http://{addr}/peer/view"), own).await
}

/// Tells a peer of cancellations; how far its mirror is.
pub async fn tell_cancelled(http: &awc::Client, addr: SocketAddr, told: &Cancelled) -> Option<u64> {
    post(http, format!("http://{addr}/peer/cancelled"), told).await
}

async fn post<T: Serialize, R: DeserializeOwned>(
    http: &awc::Client,
    url: String,
    message: &T,
) -> Option<R> {
    let within = Duration::from_secs(1);
    let (status, body) = exchange(
        http,
        Method::POST,
        &url,
        Some(encode(message)),
        within,
        LIMIT,
        false,
    )
    .await
    .ok()?;
    (status == 200).then(|| decode(&body))?
}
