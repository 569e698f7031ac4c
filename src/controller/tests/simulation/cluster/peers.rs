//! Messages between controllers: cancellations and views.

use super::super::{Simulation, STEP};
use super::node_name;
use crate::time::whole_millis;
use std::time::Duration;

/// Interval of the exchanges of views.
const VIEW_INTERVAL: Duration = Duration::from_millis(900);

/// Every ordered pair of controllers.
const PAIRS: [(usize, usize); 6] = [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)];

impl Simulation {
    /// Lets each controller call every other one that it reaches, unless either of the two is paused.
    pub(in super::super) fn exchange_peer_messages(&mut self) {
        let now = self.now();
        if now < self.faults.peers_cut_until {
            return;
        }
        for (from, to) in PAIRS {
            let paused_until = self.nodes[from]
                .paused_until
                .max(self.nodes[to].paused_until);
            if self.faults.node_reaches_peer(from, to) && now >= paused_until {
                self.call_peer(from, to);
            }
        }
    }

    /// Sends the cancellations that the peer does not know of, and reads the peer's view once per [`VIEW_INTERVAL`].
    fn call_peer(&mut self, from: usize, to: usize) {
        let peer = node_name(to);
        let Some(sender) = self.nodes[from].controller.as_ref() else {
            return;
        };
        let unknown = sender.cancellation_message_for(&peer);
        let Some(receiver) = self.nodes[to].controller.as_mut() else {
            return;
        };
        if let Some((message, last)) = unknown {
            let revision = receiver.receive_cancellations(&message);
            let sender = self.nodes[from].running_controller_mut();
            sender.record_acknowledgement(&peer, last, revision);
        }
        let since_exchange = self.now().as_millis() % whole_millis(VIEW_INTERVAL);
        if since_exchange < whole_millis(STEP) {
            let view = self.nodes[to].running_controller().own_view();
            self.nodes[from].running_controller_mut().receive_view(view);
        }
    }
}
