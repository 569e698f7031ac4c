//! Boot times of machines, measured for each offer.
//!
//! The measurements give the time within which a booting machine counts as future capacity, and the timeout after which a
//! machine that has not come up is released. Machines that never come up provide no measurement, so the timeout of an offer
//! is extended while none of its machines comes up. Otherwise machines that are merely slow would be released and rented
//! again endlessly.

#[cfg(test)]
mod tests;

use super::offer::Offer;
use crate::time::{duration_from_millis, whole_millis, Timestamp};
use std::collections::HashMap;
use std::time::Duration;

/// Weight of a measured time in the moving average. This and [`DECAY_WEIGHT`] are small because the fast ones of a group of
/// machines rented together come up first, and must not make the others seem late.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;
/// Weight of a deviation that is greater than the moving average of deviations.
const RISE_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a deviation that is not greater than the moving average of deviations.
const DECAY_WEIGHT: f64 = 1.0 / 64.0;
/// Machines are expected to come up within the mean boot time plus this many mean deviations.
const DEVIATIONS_ABOVE_MEAN: f64 = 4.0;
/// Initial deviation as a share of the nominal boot time.
const INITIAL_DEVIATION: f64 = 0.25;
/// Timeout of an offer as a multiple of its expected boot time, before any extension.
const BASE_TIMEOUT_FACTOR: f64 = 1.5;
/// Maximum factor by which the timeout of an offer is extended while none of its machines comes up.
const MAX_TIMEOUT_FACTOR: u32 = 4;

/// Measurements of one offer. Times are fractional milliseconds, as needed for moving averages.
#[derive(Debug, Clone)]
struct BootTime {
    mean_ms: f64,
    deviation_ms: f64,
    /// Rental time of the most recently rented machine that has come up.
    newest_booted_rental: Option<Timestamp>,
    /// Factor by which the timeout is extended; 1 without extension.
    timeout_factor: u32,
    /// When the timeout was last extended.
    extended_at: Timestamp,
}

/// Boot times by offer.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct BootTimes {
    by_offer: HashMap<Offer, BootTime>,
}

impl BootTime {
    /// Returns the estimate before anything is measured, from the catalogue's nominal boot time.
    fn new(nominal_ms: f64) -> BootTime {
        BootTime {
            mean_ms: nominal_ms,
            deviation_ms: nominal_ms * INITIAL_DEVIATION,
            newest_booted_rental: None,
            timeout_factor: 1,
            extended_at: Timestamp::ZERO,
        }
    }

    /// Returns the time within which machines are expected to come up, in milliseconds.
    fn expected_ms(&self) -> u64 {
        whole_millis(duration_from_millis(
            self.mean_ms + DEVIATIONS_ABOVE_MEAN * self.deviation_ms,
        ))
    }
}

impl BootTimes {
    /// Returns the time within which machines of an offer are expected to come up.
    pub(super) fn expected(&self, offer: Offer, nominal_ms: f64) -> Duration {
        Duration::from_millis(self.expected_ms(offer, nominal_ms))
    }

    fn expected_ms(&self, offer: Offer, nominal_ms: f64) -> u64 {
        self.by_offer.get(&offer).map_or_else(
            || BootTime::new(nominal_ms).expected_ms(),
            BootTime::expected_ms,
        )
    }

    /// Returns the time after which a machine of an offer that has not come up is released.
    pub(super) fn timeout(&self, offer: Offer, nominal_ms: f64) -> Duration {
        let factor = self
            .by_offer
            .get(&offer)
            .map_or(1, |boot| boot.timeout_factor);
        // Never shorter than without measurements: many fast boots do not rule out a slow one.
        let expected_ms = self
            .expected_ms(offer, nominal_ms)
            .max(BootTime::new(nominal_ms).expected_ms());
        duration_from_millis(expected_ms as f64 * BASE_TIMEOUT_FACTOR) * factor
    }

    /// Records the boot time of a machine that was rented at `rented_at`, and ends any extension of the timeout.
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
        boot.newest_booted_rental = boot.newest_booted_rental.max(Some(rented_at));
        boot.timeout_factor = 1;
    }

    /// Records that a machine that was rented at `rented_at` has timed out. Returns true if the offer is to be avoided
    /// because no machine of it that was rented at the same time or later has come up. The timeout is then extended, unless that
    /// has been done since the machine was rented: other timeouts of the same request provide no new information.
    pub(super) fn record_timeout(
        &mut self,
        offer: Offer,
        nominal_ms: f64,
        rented_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let boot = self.entry(offer, nominal_ms);
        if boot.newest_booted_rental.is_some_and(|up| up >= rented_at) {
            return false;
        }
        if rented_at >= boot.extended_at {
            boot.timeout_factor = (boot.timeout_factor * 2).min(MAX_TIMEOUT_FACTOR);
            boot.extended_at = now;
        }
        true
    }

    /// Returns the measurements of an offer, creating them on first use.
    fn entry(&mut self, offer: Offer, nominal_ms: f64) -> &mut BootTime {
        self.by_offer
            .entry(offer)
            .or_insert_with(|| BootTime::new(nominal_ms))
    }
}
