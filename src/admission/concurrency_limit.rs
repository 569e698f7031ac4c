//! A limit on user requests in progress that adjusts itself to measured times.
//!
//! The limit grows while requests finish about as fast as they ever do, and shrinks when they take much longer, and
//! longer than users care about: then they are waiting for each other, and one more only makes all of them later.

#[cfg(test)]
mod tests;

use hdrhistogram::Histogram;

const WINDOW: u64 = 20;
/// Nobody is helped by a refusal of what takes less: a quarter of the 2 s that users allow a poll. A state service that
/// answered slowly, but answered, once had nearly everyone refused.
const TOLERABLE_MS: f64 = 500.0;

/// Share of the limit that questions may fill: users ask far more often than they submit or cancel, and a crowd that asks must
/// not keep out those who have something to change.
const QUERY_SHARE: f64 = 0.75;

/// What a user wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    /// To know a job's state.
    Question,
    /// To submit or cancel a job.
    Change,
}

/// The limiter; all times in milliseconds.
pub struct Limiter {
    limit: f64,
    most: f64,
    in_progress: usize,
    peak: usize,
    window: Histogram<u32>,
    best_ms: f64,
}

impl Limiter {
    /// One that may reach `most` requests in progress. It begins at a quarter: a node that was left alone with the users of
    /// all, or whose state service had become slow, refused hundreds that it could take while its limit grew from little.
    #[must_use]
    pub fn new(most: usize) -> Limiter {
        let most = most.max(8) as f64;
        Limiter {
            limit: most / 4.0,
            most,
            in_progress: 0,
            peak: 0,
            // Two digits over a minute: the bounds are valid, so the fallback is never taken.
            window: Histogram::new_with_max(60_000, 2)
                .unwrap_or_else(|_| Histogram::new(1).expect("valid precision")),
            best_ms: f64::INFINITY,
        }
    }

    /// Admits a request, or not.
    pub fn enter(&mut self, request: Request) -> bool {
        let limit = match request {
            Request::Question => self.limit * QUERY_SHARE,
            Request::Change => self.limit,
        };
        if self.in_progress >= limit as usize {
            return false;
        }
        self.in_progress += 1;
        self.peak = self.peak.max(self.in_progress);
        true
    }

    /// A request has ended. `ours` is false where its time says nothing about this node's load (an outage elsewhere).
    pub fn leave(&mut self, took_ms: u64, ours: bool) {
        self.in_progress = self.in_progress.saturating_sub(1);
        if !ours {
            return;
        }
        self.window.saturating_record(took_ms.max(1));
        if self.window.len() < WINDOW {
            return;
        }
        let usual = self.window.value_at_quantile(0.5) as f64;
        // The best time is forgotten slowly, so that a service that has become slower for good is learned.
        self.best_ms = (self.best_ms * 1.02).min(usual).max(5.0);
        if usual > (4.0 * self.best_ms).max(TOLERABLE_MS) {
            self.limit = (self.limit * 0.85).max(self.most / 32.0).max(2.0);
        } else if self.peak * 2 >= self.limit as usize {
            self.limit = (self.limit * 1.06).min(self.most);
        }
        self.window.reset();
        self.peak = self.in_progress;
    }

    /// The limit at present.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit as usize
    }
}
