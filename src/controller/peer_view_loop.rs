//! Exchanges views with the peers.

use super::handles::Handles;
use super::state::ControllerState;
use crate::coordination::peers::{self, View};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Interval of the exchanges with a peer.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(900);
/// A request that fails sooner counts as refused by the peer's host; one that fails later may have been lost.
const MAX_REFUSAL_LATENCY: Duration = Duration::from_millis(500);

impl Handles {
    /// Sends this controller's view to every peer periodically, without waiting for earlier exchanges to end.
    pub(super) async fn run_peer_view_loop(self) {
        let peers = self.read_state(|state| state.settings().platform.peers.clone());
        loop {
            sleep(EXCHANGE_INTERVAL).await;
            for peer in &peers {
                let own = self.read_state(ControllerState::view_without_task_counts);
                actix::spawn(self.clone().exchange_views(peer.peer_addr, own));
            }
        }
    }

    async fn exchange_views(self, peer: SocketAddr, own: View) {
        let sent_at = Instant::now();
        let response = peers::exchange_views(&self.http, peer, &own).await;
        let refused = sent_at.elapsed() < MAX_REFUSAL_LATENCY;
        self.update_state(|state| match response {
            Some(view) => state.receive_view(view),
            None if refused => state.record_peer_refusal(),
            None => {}
        });
    }
}
