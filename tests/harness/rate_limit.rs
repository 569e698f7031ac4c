//! A rate limit that allows bursts.

use std::time::Instant;

/// A token bucket.
#[derive(Debug)]
pub(crate) struct RateLimit {
    per_second: f64,
    /// Time whose worth of tokens a burst may take, in seconds.
    burst_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimit {
    /// Creates a limit of `per_second` with bursts worth `burst_s` seconds.
    pub(crate) fn new(per_second: f64, burst_s: f64) -> RateLimit {
        let mut limit = RateLimit {
            per_second,
            burst_s,
            tokens: 0.0,
            refilled_at: Instant::now(),
        };
        limit.tokens = limit.burst();
        limit
    }

    /// Changes the rate.
    pub(crate) fn set_rate(&mut self, per_second: f64) {
        self.per_second = per_second;
    }

    /// Returns the number of tokens that a burst may take.
    fn burst(&self) -> f64 {
        (self.per_second * self.burst_s).max(1.0)
    }

    /// Takes `count` tokens, if there are as many.
    pub(crate) fn try_take(&mut self, count: usize) -> bool {
        let now = Instant::now();
        let elapsed_s = now.duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.per_second).min(self.burst());
        self.refilled_at = now;
        let is_allowed = self.tokens >= count as f64;
        if is_allowed {
            self.tokens -= count as f64;
        }
        is_allowed
    }
}
