//! What the controllers tell each other, as bincode.

use crate::worker::exchange;
use awc::http::Method;
use serde::{Deserialize, Serialize};
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
    /// Whether the state service answers it.
    pub state_ok: bool,
    /// If it leads: done and running tasks of every job, for display.
    pub counts: Option<Vec<(String, u32, u32)>>,
}

/// A node that reaches no other for so long, nor is refused by one, is apart.
const APART_MS: u64 = 5000;
/// How long another's word counts.
const FRESH_MS: u64 = 3000;

/// What a node knows of the others; all times in milliseconds.
#[derive(Debug, Default)]
pub struct Others {
    /// When each last told its view, and whether the state service answered it.
    told: HashMap<String, (u64, bool)>,
    reached_at: u64,
}

impl Others {
    /// Another has told its view.
    pub fn told(&mut self, node: String, state_ok: bool, now: u64) {
        self.told.insert(node, (now, state_ok));
        self.reached_at = now;
    }

    /// Another has refused a connection: something of it is within reach.
    pub fn refused(&mut self, now: u64) {
        self.reached_at = now;
    }

    /// Whether a node that the state service does not answer is alone with that: the service answers another one, or
    /// nothing of the others is reached either. In an outage, where the others are in the same case, it is not.
    pub fn alone(&self, now: u64) -> bool {
        self.told.values().any(|(at, ok)| *ok && now < at + FRESH_MS) || now > self.reached_at + APART_MS
    }
}

/// Decodes a message.
pub fn decode(body: &[u8]) -> Option<View> {
    (body.len() <= LIMIT).then(|| bincode::deserialize(body).ok())?
}

/// Encodes a message.
pub fn encode(view: &View) -> Vec<u8> {
    bincode::serialize(view).unwrap_or_default()
}

/// Exchanges views with a peer.
pub async fn ask(http: &awc::Client, addr: SocketAddr, own: &View) -> Option<View> {
    let url = format!("http://{addr}/peer/view");
    let (status, body) =
        exchange(http, Method::POST, &url, Some(encode(own)), Duration::from_secs(1), LIMIT, false).await?;
    if status == 200 {
        decode(&body)
    } else {
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_node_without_the_store_knows_whether_it_is_alone_with_that() {
        let mut o = Others::default();
        // An outage: the others are in the same case, or their connections are refused.
        o.told("b".into(), false, 1000);
        assert!(!o.alone(5000));
        o.refused(6000);
        assert!(!o.alone(10_000));
        // The store answers another one.
        o.told("c".into(), true, 10_000);
        assert!(o.alone(11_000) && !o.alone(14_000));
        // Cut off from all of them: a node like that kept its users, who were answered 503 for as long as it lasted.
        assert!(o.alone(16_000));
    }

    #[test]
    fn garbage_is_no_view() {
        let v = View { node: "a".into(), epoch: 4, state_ok: true, counts: Some(vec![("wk-1".into(), 1, 2)]) };
        assert_eq!(decode(&encode(&v)).unwrap().counts, v.counts);
        assert!(decode(&[255; 40]).is_none());
        assert!(decode(&[]).is_none());
    }
}
