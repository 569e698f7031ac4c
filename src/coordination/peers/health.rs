//! Health of the peers, and detection of the isolation of this controller.

use crate::time::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Time after which a controller counts as isolated if no peer sent it a view or refused a connection.
pub(super) const ISOLATED_AFTER: Duration = Duration::from_secs(5);
/// Time for which the view of a peer is valid.
const VIEW_TTL: Duration = Duration::from_secs(3);

/// The latest contact with a peer.
#[derive(Debug, Clone, Copy)]
struct PeerContact {
    received_at: Timestamp,
    /// Whether the peer reported that the store answers it.
    store_reachable: bool,
}

/// The health of the peers as seen by this controller.
#[derive(Debug, Default)]
pub struct PeerHealth {
    contacts: HashMap<String, PeerContact>,
    /// When a peer last sent its view or refused a connection.
    last_contact_at: Timestamp,
}

impl PeerHealth {
    /// Records a view received from a peer.
    pub fn record_view(&mut self, node: String, store_reachable: bool, now: Timestamp) {
        let contact = PeerContact {
            received_at: now,
            store_reachable,
        };
        self.contacts.insert(node, contact);
        self.last_contact_at = now;
    }

    /// Records that a peer refused a connection, which shows that at least its host is reachable.
    pub fn record_refusal(&mut self, now: Timestamp) {
        self.last_contact_at = now;
    }

    /// Excludes a pause of this process from the time without contact: messages were missed because of the pause, not because
    /// of the peers.
    pub fn exclude_pause(&mut self, pause: Duration, now: Timestamp) {
        self.last_contact_at = (self.last_contact_at + pause).min(now);
    }

    /// Reports whether this controller, which the store does not answer, is isolated: the store answers a peer, or no peer is
    /// reachable either. It is not isolated in an outage of the store, which reachable peers report as well.
    #[must_use]
    pub fn is_isolated(&self, now: Timestamp) -> bool {
        let store_answers_a_peer = self
            .contacts
            .values()
            .any(|contact| contact.store_reachable && now < contact.received_at + VIEW_TTL);
        store_answers_a_peer || now > self.last_contact_at + ISOLATED_AFTER
    }
}
