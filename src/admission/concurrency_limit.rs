//! An adaptive limit on the user requests in progress.
//!
//! The limit grows while requests take about as long as they ever did. It shrinks when they take much longer, and longer than
//! users tolerate: then they wait for each other, and each further request only delays all of them.

#[cfg(test)]
mod tests;

use crate::time::whole_millis;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Number of measured requests after which the limit is adjusted.
const WINDOW: u64 = 20;
/// Refusing requests that take less helps nobody: it is a quarter of the 2 s that users allow a poll. Without this bound, a
/// state service that answered slowly, but did answer, once had nearly everyone refused.
const TOLERABLE_MS: f64 = 500.0;
/// The limit shrinks when requests take this many times as long as the best ones.
const SLOWDOWN: f64 = 4.0;
/// The best time is taken to be at least this.
const MIN_BEST_MS: f64 = 5.0;
/// Growth of the best time per window, so that a service that has become slower for good is learned.
const BEST_TIME_DECAY: f64 = 1.02;
/// Factor by which the limit grows.
const INCREASE: f64 = 1.06;
/// Factor by which the limit shrinks.
const DECREASE: f64 = 0.85;
/// The limit never shrinks below this part of its maximum.
const MIN_SHARE: f64 = 1.0 / 32.0;
/// The limit never shrinks below this.
const MIN_LIMIT: f64 = 2.0;
/// The maximum is at least this.
const MIN_MAX_LIMIT: usize = 8;
/// The part of the maximum at which the limit begins. A controller that was left alone with the users of all, or whose state
/// service had become slow, once refused hundreds of requests that it could take while its limit grew from little.
const INITIAL_SHARE: f64 = 0.25;
/// The part of the limit that queries may fill: users query far more often than they submit or cancel, and a crowd that
/// queries must not keep out those who have something to change.
const QUERY_SHARE: f64 = 0.75;
/// Requests that take longer are recorded with this time.
const LONGEST_RECORDED_MS: u64 = 60_000;
/// Significant digits of the recorded times.
const RECORDED_DIGITS: u8 = 2;

/// What a user requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// The state of a job.
    Query,
    /// The submission or cancellation of a job.
    Change,
}

/// How a request has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// It was served within this time.
    Served(Duration),
    /// It was not served, for example in an outage of the state service. Its time says nothing about the load of this
    /// controller.
    NotServed,
}

/// The limit, and the number of requests in progress.
pub struct ConcurrencyLimit {
    limit: f64,
    max_limit: f64,
    in_progress: usize,
    /// Most requests in progress since the last adjustment.
    peak: usize,
    /// Times of the requests since the last adjustment, in milliseconds.
    window: Histogram<u32>,
    best_ms: f64,
}

impl ConcurrencyLimit {
    /// A limit that begins at a quarter of its maximum.
    #[must_use]
    #[expect(
        clippy::missing_panics_doc,
        reason = "the constant bounds of the histogram are valid"
    )]
    pub fn new(max_limit: usize) -> ConcurrencyLimit {
        let max_limit = max_limit.max(MIN_MAX_LIMIT) as f64;
        ConcurrencyLimit {
            limit: max_limit * INITIAL_SHARE,
            max_limit,
            in_progress: 0,
            peak: 0,
            window: Histogram::new_with_max(LONGEST_RECORDED_MS, RECORDED_DIGITS)
                .expect("valid bounds"),
            best_ms: f64::INFINITY,
        }
    }

    /// Admits a request, if the limit allows it. Each admitted request must be released.
    #[must_use]
    pub fn try_acquire(&mut self, kind: RequestKind) -> bool {
        let limit = match kind {
            RequestKind::Query => self.limit * QUERY_SHARE,
            RequestKind::Change => self.limit,
        };
        if self.in_progress >= whole(limit) {
            return false;
        }
        self.in_progress += 1;
        self.peak = self.peak.max(self.in_progress);
        true
    }

    /// Releases an admitted request, and learns from its time.
    pub fn release(&mut self, completion: Completion) {
        self.in_progress = self.in_progress.saturating_sub(1);
        let Completion::Served(time) = completion else {
            return;
        };
        self.window.saturating_record(whole_millis(time).max(1));
        if self.window.len() >= WINDOW {
            self.adjust();
        }
    }

    /// Adjusts the limit to the times in the window, and begins another window.
    fn adjust(&mut self) {
        let median_ms = self.window.value_at_quantile(0.5) as f64;
        self.best_ms = (self.best_ms * BEST_TIME_DECAY)
            .min(median_ms)
            .max(MIN_BEST_MS);
        if median_ms > (SLOWDOWN * self.best_ms).max(TOLERABLE_MS) {
            let min_limit = (self.max_limit * MIN_SHARE).max(MIN_LIMIT);
            self.limit = (self.limit * DECREASE).max(min_limit);
        } else if self.peak * 2 >= self.limit() {
            self.limit = (self.limit * INCREASE).min(self.max_limit);
        }
        self.window.reset();
        self.peak = self.in_progress;
    }

    /// How many requests may be in progress at present.
    #[must_use]
    pub fn limit(&self) -> usize {
        whole(self.limit)
    }
}

/// A limit as a number of requests.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "limits are positive and small"
)]
fn whole(limit: f64) -> usize {
    limit as usize
}
