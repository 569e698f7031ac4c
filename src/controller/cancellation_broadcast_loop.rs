//! Notifies the other controllers of cancellations.

use super::handles::Handles;
use super::state::MIN_ROUND_INTERVAL;
use crate::config::Peer;
use crate::coordination::peers;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time after which notices that were not acknowledged are sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

impl Handles {
    /// Sends every peer the cancellations that it does not know of, again until it knows.
    pub(super) async fn run_cancellation_broadcast_loop(self) {
        let peers = self.read_state(|state| state.settings().platform.peers.clone());
        loop {
            let recorded = self.cancellation_recorded.notified();
            // Whether something was recorded or the interval is over: what is unknown to a peer is sent.
            let _ = timeout(RESEND_INTERVAL, recorded).await;
            for peer in &peers {
                self.notify_peer(peer);
            }
            // Cancellations that are recorded close together are sent together.
            sleep(MIN_ROUND_INTERVAL).await;
        }
    }

    /// Sends a peer the cancellations that it does not know of, without waiting for the answer.
    fn notify_peer(&self, peer: &Peer) {
        let Some((message, last)) =
            self.read_state(|state| state.cancellation_message_for(&peer.node))
        else {
            return;
        };
        let (handles, node, address) = (self.clone(), peer.node.clone(), peer.peer_addr);
        actix::spawn(async move {
            let answer = peers::send_cancellations(&handles.http, address, &message).await;
            // Without an answer the message is sent again.
            if let Some(replica_revision) = answer {
                handles.with_state(|state| {
                    state.record_acknowledgement(&node, last, replica_revision);
                });
            }
        });
    }
}
