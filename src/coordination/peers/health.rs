//! Whether this controller is isolated from the others.

use crate::time::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// A controller that no peer answers or refuses for this long is isolated.
pub(super) const ISOLATED_AFTER: Duration = Duration::from_secs(5);
/// How long the view of a peer is valid.
const VIEW_TTL: Duration = Duration::from_secs(3);

/// The latest view of a peer, as far as its health is concerned.
#[derive(Debug, Clone, Copy)]
struct PeerContact {
    received_at: Timestamp,
    /// Whether the store answered the peer.
    store_reachable: bool,
}

/// What this controller knows of the health of its peers.
#[derive(Debug, Default)]
pub struct PeerHealth {
    contacts: HashMap<String, PeerContact>,
    /// When a peer last sent its view or refused a connection.
    last_contact_at: Timestamp,
}

impl PeerHealth {
    /// Records the view of a peer.
    pub fn record_view(&mut self, node: String, store_reachable: bool, now: Timestamp) {
        let contact = PeerContact {
            received_at: now,
            store_reachable,
        };
        self.contacts.insert(node, contact);
        self.last_contact_at = now;
    }

    /// Records that a peer refused a connection: its host, at least, can be reached.
    pub fn record_refusal(&mut self, now: Timestamp) {
        self.last_contact_at = now;
    }

    /// The process of this controller was paused. That it heard nothing meanwhile says nothing about its peers.
    pub fn excuse_pause(&mut self, pause: Duration, now: Timestamp) {
        self.last_contact_at = (self.last_contact_at + pause).min(now);
    }

    /// Whether a controller that the store does not answer is alone in that: the store answers a peer, or no peer can be
    /// reached either. In an outage of the store, which the peers report as well, it is not.
    #[must_use]
    pub fn is_isolated(&self, now: Timestamp) -> bool {
        let store_answers_a_peer = self
            .contacts
            .values()
            .any(|contact| contact.store_reachable && now < contact.received_at + VIEW_TTL);
        store_answers_a_peer || now > self.last_contact_at + ISOLATED_AFTER
    }
}
