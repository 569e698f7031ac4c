//! How often something may be done, and how often something is done.

#[cfg(test)]
mod tests;

/// The bucket; all times in milliseconds of a steady clock.
#[derive(Debug)]
pub struct TokenBucket {
    per_ms: f64,
    burst: f64,
    tokens: f64,
    updated_at: u64,
}

impl TokenBucket {
    /// A full bucket that refills at `per_s` tokens a second and holds `burst` tokens, one at least.
    #[must_use]
    pub fn new(per_s: f64, burst: f64) -> TokenBucket {
        let burst = burst.max(1.0);
        TokenBucket {
            per_ms: per_s.max(0.001) / 1000.0,
            burst,
            tokens: burst,
            updated_at: 0,
        }
    }

    /// Takes a token, or tells after how many milliseconds there will be one.
    pub fn take(&mut self, now: u64) -> Result<(), u64> {
        let refilled = now.saturating_sub(self.updated_at) as f64 * self.per_ms;
        self.tokens = (self.tokens + refilled).min(self.burst);
        self.updated_at = self.updated_at.max(now);
        if self.tokens >= 1.0 - 1e-6 {
            self.tokens -= 1.0;
            return Ok(());
        }
        // Less than a thousandth of a millisecond is rounding.
        Err(((1.0 - self.tokens) / self.per_ms - 1e-3).ceil().max(1.0) as u64)
    }
}

/// Measures a rate: a mean over the last seconds, in which what is older counts less.
#[derive(Debug)]
pub struct RateMeter {
    window_ms: f64,
    per_s: f64,
    updated_at: u64,
}

impl RateMeter {
    /// One that forgets within a few times `window_ms`.
    #[must_use]
    pub fn new(window_ms: u64) -> RateMeter {
        RateMeter {
            window_ms: window_ms.max(1) as f64,
            per_s: 0.0,
            updated_at: 0,
        }
    }

    /// Takes in that something was done a number of times just now.
    pub fn record(&mut self, times: usize, now: u64) {
        self.per_s = self.per_s(now) + times as f64 * 1000.0 / self.window_ms;
        self.updated_at = self.updated_at.max(now);
    }

    /// The rate.
    #[must_use]
    pub fn per_s(&self, now: u64) -> f64 {
        self.per_s * (-(now.saturating_sub(self.updated_at) as f64) / self.window_ms).exp()
    }
}
