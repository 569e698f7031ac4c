//! How long machines take to come up, measured for each offer.
//!
//! Two questions are answered from it: how long a machine that boots counts as capacity to come, and when one that has not
//! come up is given up. Machines that never come up give no time to measure, so the second answer is stretched while
//! nothing of an offer comes up at all: otherwise machines that are all merely late would be deleted and rented again
//! without end.

#[cfg(test)]
mod tests;

use super::offer::Offer;
use crate::time::{duration_from_millis, whole_millis, Timestamp};
use std::collections::HashMap;
use std::time::Duration;

/// Weight of a measured time in the running mean. Small, as is the decay of the deviation: of machines rented together the
/// fast ones report first, and must not make the others look late.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;
/// Weight of a deviation above the running one.
const RISE_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a deviation below the running one.
const DECAY_WEIGHT: f64 = 1.0 / 64.0;
/// Deviations above the mean within which machines are expected.
const DEVIATIONS: f64 = 4.0;
/// The deviation assumed at first, as a share of the nominal time.
const FIRST_DEVIATION: f64 = 0.25;
/// A machine is given up after so many times the time within which it was expected.
const GIVE_UP_FACTOR: f64 = 1.5;
/// Most by which the timeout of an offer of which nothing comes up is stretched.
const MAX_TIMEOUT_FACTOR: u32 = 4;

/// What is known of one offer. Times are in milliseconds, as means need fractions.
#[derive(Debug, Clone)]
struct BootTime {
    mean_ms: f64,
    deviation_ms: f64,
    /// When the machine that was rented last of those that have come up was rented.
    newest_up: Option<Timestamp>,
    /// By how much the timeout is stretched.
    timeout_factor: u32,
    /// When the timeout was last stretched.
    stretched_at: Timestamp,
}

/// Boot times by offer.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct BootTimes {
    by_offer: HashMap<Offer, BootTime>,
}

impl BootTime {
    fn new(nominal_ms: f64) -> BootTime {
        BootTime {
            mean_ms: nominal_ms,
            deviation_ms: nominal_ms * FIRST_DEVIATION,
            newest_up: None,
            timeout_factor: 1,
            stretched_at: Timestamp::ZERO,
        }
    }

    fn expected_ms(&self) -> u64 {
        whole_millis(duration_from_millis(
            self.mean_ms + DEVIATIONS * self.deviation_ms,
        ))
    }
}

impl BootTimes {
    /// The time within which machines of an offer are expected up.
    pub(super) fn expected(&self, offer: Offer, nominal_ms: f64) -> Duration {
        Duration::from_millis(self.expected_ms(offer, nominal_ms))
    }

    fn expected_ms(&self, offer: Offer, nominal_ms: f64) -> u64 {
        self.by_offer.get(&offer).map_or_else(
            || BootTime::new(nominal_ms).expected_ms(),
            BootTime::expected_ms,
        )
    }

    /// The time after which a machine of an offer is given up.
    pub(super) fn timeout(&self, offer: Offer, nominal_ms: f64) -> Duration {
        let factor = self
            .by_offer
            .get(&offer)
            .map_or(1, |boot| boot.timeout_factor);
        // The nominal time is the least: a burst of quick boots says nothing of a slow one.
        let expected_ms = self
            .expected_ms(offer, nominal_ms)
            .max(BootTime::new(nominal_ms).expected_ms());
        duration_from_millis(expected_ms as f64 * GIVE_UP_FACTOR) * factor
    }

    /// A machine that was rented at a time has come up.
    pub(super) fn record_boot(
        &mut self,
        offer: Offer,
        nominal_ms: f64,
        rented_at: Timestamp,
        took: Duration,
    ) {
        let took_ms = whole_millis(took) as f64;
        let boot = self.entry(offer, nominal_ms);
        let deviation = (took_ms - boot.mean_ms).abs();
        let weight = if deviation > boot.deviation_ms {
            RISE_WEIGHT
        } else {
            DECAY_WEIGHT
        };
        boot.deviation_ms += weight * (deviation - boot.deviation_ms);
        boot.mean_ms += MEAN_WEIGHT * (took_ms - boot.mean_ms);
        boot.newest_up = boot.newest_up.max(Some(rented_at));
        boot.timeout_factor = 1;
    }

    /// A machine that was rented at a time is given up. True if the offer is in doubt: of its machines that were rented as
    /// late none has come up.
    pub(super) fn record_timeout(
        &mut self,
        offer: Offer,
        nominal_ms: f64,
        rented_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let boot = self.entry(offer, nominal_ms);
        if boot.newest_up.is_some_and(|up| up >= rented_at) {
            return false;
        }
        if rented_at >= boot.stretched_at {
            boot.timeout_factor = (boot.timeout_factor * 2).min(MAX_TIMEOUT_FACTOR);
            boot.stretched_at = now;
        }
        true
    }

    fn entry(&mut self, offer: Offer, nominal_ms: f64) -> &mut BootTime {
        self.by_offer
            .entry(offer)
            .or_insert_with(|| BootTime::new(nominal_ms))
    }
}
