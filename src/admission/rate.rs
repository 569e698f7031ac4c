//! A token bucket, which limits the rate of calls, and a meter, which measures the rate of events.

#[cfg(test)]
mod tests;

use crate::time::{duration_from_millis, Timestamp};
use std::time::Duration;

/// Minimum refill rate of a bucket, in tokens per second. A bucket with a rate of 0 would never be refilled.
const MIN_RATE_PER_S: f64 = 0.001;
/// A bucket that lacks less than this for a whole token counts as refilled, since the difference is a rounding error.
const TOKEN_TOLERANCE: f64 = 1e-6;
/// A wait that exceeds whole milliseconds by less than this is not rounded up, since the difference is a rounding error.
const WAIT_TOLERANCE_MS: f64 = 1e-3;

/// A token bucket: each call takes a token, and tokens are refilled at a constant rate up to the capacity of the bucket.
#[derive(Debug)]
pub struct TokenBucket {
    tokens_per_ms: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket that is refilled with `rate_per_s` tokens per second and holds `capacity` tokens, but at least one.
    #[must_use]
    pub fn new(rate_per_s: f64, capacity: f64) -> TokenBucket {
        let capacity = capacity.max(1.0);
        TokenBucket {
            tokens_per_ms: rate_per_s.max(MIN_RATE_PER_S) / 1000.0,
            capacity,
            tokens: capacity,
            refilled_at: Timestamp::ZERO,
        }
    }

    /// Takes a token if there is one.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token is available, in whole milliseconds, if the bucket is empty.
    pub fn try_take(&mut self, now: Timestamp) -> Result<(), Duration> {
        let elapsed_ms = now.saturating_duration_since(self.refilled_at).as_millis() as f64;
        let refilled = self.tokens + elapsed_ms * self.tokens_per_ms;
        self.tokens = refilled.min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens >= 1.0 - TOKEN_TOLERANCE {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(self.time_until_token())
    }

    /// Returns the time until the bucket holds a whole token, rounded up to whole milliseconds.
    fn time_until_token(&self) -> Duration {
        let wait_ms = (1.0 - self.tokens) / self.tokens_per_ms;
        let whole_ms = (wait_ms - WAIT_TOLERANCE_MS).ceil().max(1.0);
        duration_from_millis(whole_ms)
    }
}

/// Measures the rate of events as an exponentially weighted moving average.
#[derive(Debug)]
pub struct RateMeter {
    window_ms: f64,
    rate_per_s: f64,
    updated_at: Timestamp,
}

impl RateMeter {
    /// Creates a meter in which the weight of an event decays to 1/e within `window`, which is taken to be at least 1 ms.
    #[must_use]
    pub fn new(window: Duration) -> RateMeter {
        RateMeter {
            window_ms: window.as_millis().max(1) as f64,
            rate_per_s: 0.0,
            updated_at: Timestamp::ZERO,
        }
    }

    /// Records events that happened at `now`.
    pub fn record(&mut self, events: usize, now: Timestamp) {
        self.rate_per_s = self.events_per_s(now) + events as f64 * 1000.0 / self.window_ms;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the rate at `now`, in events per second.
    #[must_use]
    pub fn events_per_s(&self, now: Timestamp) -> f64 {
        let elapsed_ms = now.saturating_duration_since(self.updated_at).as_millis() as f64;
        self.rate_per_s * (-elapsed_ms / self.window_ms).exp()
    }
}
