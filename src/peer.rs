//! What the controllers tell each other, as bincode.

use crate::worker::exchange;
use awc::http::Method;
use serde::{Deserialize, Serialize};
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
    fn garbage_is_no_view() {
        let v = View { node: "a".into(), epoch: 4, state_ok: true, counts: Some(vec![("wk-1".into(), 1, 2)]) };
        assert_eq!(decode(&encode(&v)).unwrap().counts, v.counts);
        assert!(decode(&[255; 40]).is_none());
        assert!(decode(&[]).is_none());
    }
}
