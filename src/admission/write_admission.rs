//! Admission of users' changes to the store, whose write rate limit all controllers share.
//!
//! The admitted rate adapts: it increases with each accepted change and decreases when the store throttles one. Users who are not
//! admitted get retry times that are spread at the admitted rate, so that they do not all retry at once. Without this, the
//! retries of many users once used up the store's request rate, and a leader could not renew its leader lease.

#[cfg(test)]
mod tests;

use crate::time::Timestamp;
use std::time::Duration;

/// Share of the store's write rate that users get regardless of the leader's writes.
const GUARANTEED_USER_SHARE: f64 = 2.0 / 3.0;
/// Share of the store's write rate that users and the leader use together. The remainder is for writes that are not measured
/// yet.
const ALLOCATED_SHARE: f64 = 0.95;
/// Factor by which the rate reserved for the leader exceeds the measured rate of its changes.
const LEADER_HEADROOM_FACTOR: f64 = 1.25;
/// Share of the maximum rate at which the rate starts.
const INITIAL_RATE_SHARE: f64 = 0.5;
/// Share of the maximum rate by which the rate increases with each accepted change.
const INCREASE_SHARE: f64 = 0.02;
/// Factor by which the rate is multiplied with each throttled change.
const DECREASE_FACTOR: f64 = 0.8;
/// Share of the maximum rate below which the rate does not decrease.
const MIN_RATE_SHARE: f64 = 0.05;
/// Minimum and maximum time after which a user is told to retry, in seconds.
const RETRY_AFTER_S: (f64, f64) = (1.0, 30.0);

/// Returns the maximum rate of changes, per second, by the users of one controller. All `controllers` share `changes_per_s`.
///
/// Users get two thirds of the shared rate, or what the leader leaves if that is more. In the first seconds of a deployment,
/// when all jobs are submitted and none is started yet, the leader needs hardly any of it. Where the leader's rate is not known,
/// users get two thirds.
#[must_use]
pub fn max_user_change_rate(
    changes_per_s: f64,
    controllers: usize,
    leader_changes_per_s: Option<f64>,
) -> f64 {
    let guaranteed = changes_per_s * GUARANTEED_USER_SHARE;
    let left_by_leader = leader_changes_per_s.map_or(0.0, |leader| {
        changes_per_s * ALLOCATED_SHARE - leader.max(0.0) * LEADER_HEADROOM_FACTOR
    });
    guaranteed.max(left_by_leader) / controllers.max(1) as f64
}

/// Token bucket that admits changes at an adaptive rate.
pub struct WriteAdmission {
    rate_per_s: f64,
    max_rate_per_s: f64,
    /// Number of changes that may be made at once. Negative after the admission of more changes than there were tokens.
    tokens: f64,
    refilled_at: Timestamp,
    /// Time at which all users that were told to retry will have been admitted, in milliseconds of the clock.
    retry_queue_end_ms: f64,
}

impl WriteAdmission {
    /// Creates an admission that starts at half of its maximum rate.
    #[must_use]
    pub fn new(max_rate_per_s: f64) -> WriteAdmission {
        WriteAdmission {
            rate_per_s: max_rate_per_s * INITIAL_RATE_SHARE,
            max_rate_per_s,
            tokens: max_rate_per_s * INITIAL_RATE_SHARE,
            refilled_at: Timestamp::ZERO,
            retry_queue_end_ms: 0.0,
        }
    }

    /// Sets the maximum rate, and lowers the current rate to it if it is higher.
    pub fn set_max_rate(&mut self, max_rate_per_s: f64) {
        self.max_rate_per_s = max_rate_per_s;
        self.rate_per_s = self.rate_per_s.min(max_rate_per_s);
    }

    /// Admits a number of changes that are made in one transaction.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry, in whole seconds, if the changes are not admitted.
    pub fn try_admit(&mut self, changes: u32, now: Timestamp) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= f64::from(changes);
            return Ok(());
        }
        Err(self.schedule_retry(changes, now))
    }

    /// Adds the tokens of the time since the last refill.
    fn refill(&mut self, now: Timestamp) {
        let elapsed_ms = now.saturating_duration_since(self.refilled_at).as_millis() as f64;
        // The bucket holds the changes of one second, which is the burst that the store allows.
        let burst = self.rate_per_s.max(1.0);
        self.tokens = (self.tokens + elapsed_ms * self.rate_per_s / 1000.0).min(burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Schedules a retry after those that were scheduled before. Returns the time until then.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "whole seconds within the bounds"
    )]
    fn schedule_retry(&mut self, changes: u32, now: Timestamp) -> Duration {
        let now_ms = now.as_millis() as f64;
        let retry_start_ms = self.retry_queue_end_ms.max(now_ms);
        self.retry_queue_end_ms = retry_start_ms + f64::from(changes) * 1000.0 / self.rate_per_s;
        let wait_s = ((self.retry_queue_end_ms - now_ms) / 1000.0).ceil();
        let (shortest, longest) = RETRY_AFTER_S;
        Duration::from_secs(wait_s.clamp(shortest, longest) as u64)
    }

    /// Increases the rate after the store has accepted a change.
    pub fn record_accepted(&mut self) {
        let raised = self.rate_per_s + INCREASE_SHARE * self.max_rate_per_s;
        self.rate_per_s = raised.min(self.max_rate_per_s);
    }

    /// Decreases the rate after the store has throttled a change.
    pub fn record_throttled(&mut self) {
        let lowered = self.rate_per_s * DECREASE_FACTOR;
        self.rate_per_s = lowered.max(MIN_RATE_SHARE * self.max_rate_per_s);
        self.tokens = self.tokens.min(0.0);
    }
}
