//! Admission of the changes that users cause in the state service, which limits the changes of all controllers together.
//!
//! The admitted rate adapts: it grows while changes are accepted and shrinks when the state service throttles one. Users who
//! are not admitted are told to come back one after the other, so that a crowd does not come back all at once. Without this,
//! the retries of a crowd once used up the requests of the state service, and a leader could not renew its leader lease.

#[cfg(test)]
mod tests;

use crate::time::Timestamp;
use std::time::Duration;

/// The part of the state service's changes that users have in any case.
const GUARANTEED_USER_SHARE: f64 = 2.0 / 3.0;
/// The part that users and the leader together may use; the rest is for what is not measured yet.
const PLANNED_SHARE: f64 = 0.95;
/// Factor on the measured changes of the leader that is reserved for it.
const LEADER_HEADROOM: f64 = 1.25;
/// The part of the highest rate at which a controller begins.
const INITIAL_SHARE: f64 = 0.5;
/// The rate grows by this part of the highest rate with each accepted change.
const INCREASE_SHARE: f64 = 0.02;
/// Factor by which the rate shrinks with each throttled change.
const DECREASE: f64 = 0.8;
/// The rate never shrinks below this part of the highest rate.
const MIN_SHARE: f64 = 0.05;
/// The shortest and the longest time after which a user is told to come back, in seconds.
const RETRY_AFTER_S: (f64, f64) = (1.0, 30.0);

/// How many changes per second the users of one controller may cause, where all `controllers` share `changes_per_s`: two
/// thirds, and of the rest what the leader leaves. In the first seconds of a deployment, with every job to be accepted and
/// nothing to be started, the leader needs next to none.
#[must_use]
pub fn users_share(
    changes_per_s: f64,
    controllers: usize,
    leader_changes_per_s: Option<f64>,
) -> f64 {
    let guaranteed = changes_per_s * GUARANTEED_USER_SHARE;
    let left_by_leader = leader_changes_per_s.map_or(0.0, |leader| {
        changes_per_s * PLANNED_SHARE - leader.max(0.0) * LEADER_HEADROOM
    });
    guaranteed.max(left_by_leader) / controllers.max(1) as f64
}

/// Admits changes at an adaptive rate.
pub struct WriteAdmission {
    rate_per_s: f64,
    max_rate_per_s: f64,
    /// Changes that may be made at once; below 0 after an admission of several.
    tokens: f64,
    refilled_at: Timestamp,
    /// When those that were told to come back will have been admitted, in milliseconds of the clock.
    retries_until_ms: f64,
}

impl WriteAdmission {
    /// An admission that begins at half of its highest rate.
    #[must_use]
    pub fn new(max_rate_per_s: f64) -> WriteAdmission {
        WriteAdmission {
            rate_per_s: max_rate_per_s * INITIAL_SHARE,
            max_rate_per_s,
            tokens: max_rate_per_s * INITIAL_SHARE,
            refilled_at: Timestamp::ZERO,
            retries_until_ms: 0.0,
        }
    }

    /// Changes the highest rate.
    pub fn set_max_rate(&mut self, max_rate_per_s: f64) {
        self.max_rate_per_s = max_rate_per_s;
        self.rate_per_s = self.rate_per_s.min(max_rate_per_s);
    }

    /// Admits a number of changes that are made together.
    ///
    /// # Errors
    ///
    /// The changes are not admitted; they may be after the returned time, which is in whole seconds.
    pub fn try_admit(&mut self, changes: u32, now: Timestamp) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= f64::from(changes);
            return Ok(());
        }
        Err(self.schedule_retry(changes, now))
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed_ms = now.saturating_duration_since(self.refilled_at).as_millis() as f64;
        // A burst of the changes of one second, as the state service itself allows.
        let burst = self.rate_per_s.max(1.0);
        self.tokens = (self.tokens + elapsed_ms * self.rate_per_s / 1000.0).min(burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Puts a retry behind those that were scheduled before. Returns the time until then.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "whole seconds within the bounds"
    )]
    fn schedule_retry(&mut self, changes: u32, now: Timestamp) -> Duration {
        let now_ms = now.as_millis() as f64;
        let begin_ms = self.retries_until_ms.max(now_ms);
        self.retries_until_ms = begin_ms + f64::from(changes) * 1000.0 / self.rate_per_s;
        let wait_s = ((self.retries_until_ms - now_ms) / 1000.0).ceil();
        let (shortest, longest) = RETRY_AFTER_S;
        Duration::from_secs(wait_s.clamp(shortest, longest) as u64)
    }

    /// Raises the rate: the state service has accepted a change.
    pub fn record_accepted(&mut self) {
        let raised = self.rate_per_s + INCREASE_SHARE * self.max_rate_per_s;
        self.rate_per_s = raised.min(self.max_rate_per_s);
    }

    /// Lowers the rate: the state service has throttled a change.
    pub fn record_throttled(&mut self) {
        let lowered = self.rate_per_s * DECREASE;
        self.rate_per_s = lowered.max(MIN_SHARE * self.max_rate_per_s);
        self.tokens = self.tokens.min(0.0);
    }
}
