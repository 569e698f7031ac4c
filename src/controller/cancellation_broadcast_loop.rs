//! Notifies the peers of cancellations.

use super::handles::Handles;
use super::state::MIN_ROUND_INTERVAL;
use crate::config::Peer;
use crate::coordination::peers;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Interval at which unacknowledged notices are resent.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

impl Handles {
    /// Sends every peer the cancellations that it does not know of, and repeats them until it does.
    pub(super) async fn run_cancellation_broadcast_loop(self) {
        let peers = self.read_state(|state| state.settings().platform.peers.clone());
        loop {
            let recorded = self.cancellation_recorded.notified();
            // New cancellations and the end of the interval are handled alike.
            let _ = timeout(RESEND_INTERVAL, recorded).await;
            for peer in &peers {
                self.notify_peer(peer);
            }
            // Cancellations recorded in this interval share one message.
            sleep(MIN_ROUND_INTERVAL).await;
        }
    }

    /// Sends a peer the cancellations that it does not know of, without waiting for the response.
    fn notify_peer(&self, peer: &Peer) {
        let Some((message, last)) =
            self.read_state(|state| state.cancellation_message_for(&peer.node))
        else {
            return;
        };
        let (handles, node, address) = (self.clone(), peer.node.clone(), peer.peer_addr);
        actix::spawn(async move {
            let response = peers::send_cancellations(&handles.http, address, &message).await;
            // Without a response, the notices are resent by a later iteration of the loop.
            if let Some(replica_revision) = response {
                handles.update_state(|state| {
                    state.record_acknowledgement(&node, last, replica_revision);
                });
            }
        });
    }
}
