//! How long machines take to come up, measured for each offer.
//!
//! Two questions are answered from it: how long a machine on its way counts as room to come, and when one that has not come
//! up is given up. Machines that never come up tell no time, so the second answer is stretched while nothing of an offer
//! comes up at all: otherwise machines that are all merely late would be deleted and rented again without end.

#[cfg(test)]
mod tests;

use super::Offer;
use std::collections::HashMap;

/// Weight of a measured time in the running mean. Small, as is the decay of the deviation: of machines rented together the
/// fast ones report first, and must not make the others look late.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;
/// Weight of a deviation above the running one, and of one below it.
const RISE_WEIGHT: f64 = 1.0 / 8.0;
const DECAY_WEIGHT: f64 = 1.0 / 64.0;
/// Deviations above the mean within which machines are expected.
const DEVIATIONS: f64 = 4.0;
/// The deviation assumed at first, as a share of the nominal time.
const FIRST_DEVIATION: f64 = 0.25;
/// A machine is given up after so many times the time within which it was expected.
const GIVE_UP_FACTOR: f64 = 1.5;
/// Most by which the patience with an offer of which nothing comes up is stretched.
const MOST_PATIENCE: u32 = 4;

/// What is known of one offer.
#[derive(Debug, Clone)]
struct BootTime {
    mean_ms: f64,
    deviation_ms: f64,
    /// When the machine that was rented last of those that have come up was rented.
    newest_up: Option<u64>,
    patience: u32,
    /// When the patience was last stretched.
    stretched_at: u64,
}

/// Boot times by offer.
#[derive(Debug, Default)]
pub(super) struct BootTimes {
    by_offer: HashMap<Offer, BootTime>,
}

impl BootTime {
    fn new(nominal_ms: f64) -> BootTime {
        let deviation_ms = nominal_ms * FIRST_DEVIATION;
        BootTime {
            mean_ms: nominal_ms,
            deviation_ms,
            newest_up: None,
            patience: 1,
            stretched_at: 0,
        }
    }

    fn expected_ms(&self) -> f64 {
        self.mean_ms + DEVIATIONS * self.deviation_ms
    }
}

impl BootTimes {
    /// The time within which machines of an offer are expected up, in milliseconds.
    pub(super) fn expected_ms(&self, offer: Offer, nominal_ms: f64) -> u64 {
        let known = self.by_offer.get(&offer);
        known.map_or_else(
            || BootTime::new(nominal_ms).expected_ms(),
            BootTime::expected_ms,
        ) as u64
    }

    /// The time after which a machine of an offer is given up, in milliseconds.
    pub(super) fn give_up_ms(&self, offer: Offer, nominal_ms: f64) -> u64 {
        let patience = self.by_offer.get(&offer).map_or(1, |b| b.patience);
        // The nominal time is the least: a burst of quick boots says nothing of a slow one.
        let expected = self
            .expected_ms(offer, nominal_ms)
            .max(BootTime::new(nominal_ms).expected_ms() as u64);
        (expected as f64 * GIVE_UP_FACTOR) as u64 * u64::from(patience)
    }

    /// A machine that was rented at a time has come up.
    pub(super) fn came_up(&mut self, offer: Offer, nominal_ms: f64, rented_at: u64, took_ms: u64) {
        let boot = self
            .by_offer
            .entry(offer)
            .or_insert_with(|| BootTime::new(nominal_ms));
        let deviation = (took_ms as f64 - boot.mean_ms).abs();
        let weight = if deviation > boot.deviation_ms {
            RISE_WEIGHT
        } else {
            DECAY_WEIGHT
        };
        boot.deviation_ms += weight * (deviation - boot.deviation_ms);
        boot.mean_ms += MEAN_WEIGHT * (took_ms as f64 - boot.mean_ms);
        boot.newest_up = boot.newest_up.max(Some(rented_at));
        boot.patience = 1;
    }

    /// A machine that was rented at a time is given up. True if the offer is in doubt: of its machines that were rented as
    /// late none has come up.
    pub(super) fn gave_up(
        &mut self,
        offer: Offer,
        nominal_ms: f64,
        rented_at: u64,
        now: u64,
    ) -> bool {
        let boot = self
            .by_offer
            .entry(offer)
            .or_insert_with(|| BootTime::new(nominal_ms));
        if boot.newest_up.is_some_and(|up| up >= rented_at) {
            return false;
        }
        if rented_at >= boot.stretched_at {
            boot.patience = (boot.patience * 2).min(MOST_PATIENCE);
            boot.stretched_at = now;
        }
        true
    }
}
