//! Selection of the cloud's offers to request: backoff after shortages and failed boots, and a cooldown after each request.

use super::RentalRequest;
use crate::scheduler::Offer;
use crate::time::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Backoff after the first shortage. It doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_secs(8);
/// Maximum backoff, for shortages and for offers whose machines do not come up.
const MAX_BACKOFF: Duration = Duration::from_mins(1);

/// Backoff of one offer.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    /// When the offer becomes available again.
    until: Timestamp,
    /// Length of the last backoff after a shortage, from which the next one is computed.
    length: Duration,
}

impl Backoff {
    /// Returns the state before the first shortage, whose backoff will be [`FIRST_BACKOFF`].
    fn initial(until: Timestamp) -> Backoff {
        Backoff {
            until,
            length: FIRST_BACKOFF / 2,
        }
    }
}

/// Backoffs and latest requests by offer.
#[derive(Debug, Default)]
pub(super) struct OfferBackoffs {
    backoffs: HashMap<Offer, Backoff>,
    /// When each offer was last requested.
    requested_at: HashMap<Offer, Timestamp>,
}

impl OfferBackoffs {
    /// Records that the cloud refused a request for an offer or filled it only in part, and starts a backoff.
    pub(super) fn record_shortage(&mut self, offer: Offer, now: Timestamp) {
        let backoff = self
            .backoffs
            .entry(offer)
            .or_insert(Backoff::initial(Timestamp::ZERO));
        backoff.length = (backoff.length * 2).min(MAX_BACKOFF);
        backoff.until = now + backoff.length;
    }

    /// Records that the cloud filled a request for an offer, and ends its backoff.
    pub(super) fn record_filled(&mut self, offer: Offer) {
        self.backoffs.remove(&offer);
    }

    /// Makes an offer whose machines do not come up unavailable for at least `length`, or [`MAX_BACKOFF`] if that is shorter.
    pub(super) fn avoid(&mut self, offer: Offer, length: Duration, now: Timestamp) {
        let until = now + length.min(MAX_BACKOFF);
        let backoff = self
            .backoffs
            .entry(offer)
            .or_insert(Backoff::initial(until));
        backoff.until = backoff.until.max(until);
    }

    /// Reports whether an offer may be requested.
    pub(super) fn is_available(&self, offer: Offer, now: Timestamp) -> bool {
        self.backoffs
            .get(&offer)
            .is_none_or(|backoff| backoff.until <= now)
    }

    /// Returns the request to send next: the most urgent one whose offer was not requested within the last `cooldown`, or the
    /// most urgent one if there is none.
    ///
    /// Without the cooldown, a steady arrival of urgent jobs would use up every call to the cloud for a few machines each, and
    /// less urgent jobs would wait. After the cooldown, one call rents the machines for all urgent jobs that have accumulated.
    pub(super) fn next_request(
        &mut self,
        requests: Vec<RentalRequest>,
        cooldown: Duration,
        now: Timestamp,
    ) -> Option<RentalRequest> {
        let is_cooling_down = |request: &RentalRequest| {
            self.requested_at
                .get(&request.offer)
                .is_some_and(|at| now < *at + cooldown)
        };
        let position = requests
            .iter()
            .position(|request| !is_cooling_down(request));
        let next = requests.into_iter().nth(position.unwrap_or(0))?;
        self.requested_at.insert(next.offer, now);
        Some(next)
    }
}
