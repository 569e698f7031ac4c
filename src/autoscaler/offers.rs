//! Which offers of the cloud are worth a request now: backoff after refusals, and a rest after each request.

use super::RentalRequest;
use crate::scheduler::Offer;
use crate::time::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Backoff after the first refusal; doubled with each further one.
const FIRST_BACKOFF: Duration = Duration::from_secs(8);
const MAX_BACKOFF: Duration = Duration::from_mins(1);

#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Timestamp,
    /// The length of the last backoff.
    length: Duration,
}

impl Backoff {
    /// A backoff whose first step will be [`FIRST_BACKOFF`].
    fn starting(until: Timestamp) -> Backoff {
        Backoff {
            until,
            length: FIRST_BACKOFF / 2,
        }
    }
}

/// What is remembered of offers.
#[derive(Debug, Default)]
pub(super) struct OfferBackoffs {
    backoffs: HashMap<Offer, Backoff>,
    /// When each offer was last asked for.
    requested_at: HashMap<Offer, Timestamp>,
}

impl OfferBackoffs {
    /// An offer was refused, or filled only in part.
    pub(super) fn record_shortage(&mut self, offer: Offer, now: Timestamp) {
        let backoff = self
            .backoffs
            .entry(offer)
            .or_insert(Backoff::starting(Timestamp::ZERO));
        backoff.length = (backoff.length * 2).min(MAX_BACKOFF);
        backoff.until = now + backoff.length;
    }

    /// An offer was filled.
    pub(super) fn record_filled(&mut self, offer: Offer) {
        self.backoffs.remove(&offer);
    }

    /// Machines of an offer do not come up: others are asked for during a time.
    pub(super) fn avoid(&mut self, offer: Offer, length: Duration, now: Timestamp) {
        let until = now + length.min(MAX_BACKOFF);
        let backoff = self
            .backoffs
            .entry(offer)
            .or_insert(Backoff::starting(until));
        backoff.until = backoff.until.max(until);
    }

    /// Whether an offer may be asked for.
    pub(super) fn is_available(&self, offer: Offer, now: Timestamp) -> bool {
        self.backoffs
            .get(&offer)
            .is_none_or(|backoff| backoff.until <= now)
    }

    /// The request to carry out next: the most urgent one whose offer was not asked for within the last `rest`, or else the
    /// most urgent one.
    ///
    /// While urgent jobs stream in, each call for them alone would bring a few machines only and all other work would wait;
    /// after the rest, one call brings what has accumulated.
    pub(super) fn next_request(
        &mut self,
        requests: Vec<RentalRequest>,
        rest: Duration,
        now: Timestamp,
    ) -> Option<RentalRequest> {
        let rests = |request: &RentalRequest| {
            self.requested_at
                .get(&request.offer)
                .is_some_and(|at| now < *at + rest)
        };
        let position = requests.iter().position(|request| !rests(request));
        let next = requests.into_iter().nth(position.unwrap_or(0))?;
        self.requested_at.insert(next.offer, now);
        Some(next)
    }
}
