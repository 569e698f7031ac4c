//! An adaptive limit on the user requests in progress.
//!
//! The limit decreases when the median latency of requests is far above the best one measured and above the latency that users
//! tolerate. Requests then queue for each other, and admitting more only delays all of them. Otherwise the limit increases, if
//! at least half of it was used.

#[cfg(test)]
mod tests;

use crate::time::whole_millis;
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Number of served requests after which the limit is adjusted.
const WINDOW_REQUESTS: u64 = 20;
/// Median latency up to which the limit does not decrease, since refusing faster requests has no benefit. It is a quarter of the
/// 2 s that users allow for a poll. Without this bound, a store that answered slowly, but did answer, once caused nearly all
/// requests to be refused.
const TOLERABLE_LATENCY_MS: f64 = 500.0;
/// Ratio of the median latency to the baseline, which is the best median measured, above which the limit decreases.
const SLOWDOWN_FACTOR: f64 = 4.0;
/// Minimum of the baseline, in milliseconds.
const MIN_BASELINE_MS: f64 = 5.0;
/// Factor by which the baseline grows per window, so that it follows a service that has become slower permanently.
const BASELINE_GROWTH_FACTOR: f64 = 1.02;
/// Factor by which the limit increases.
const INCREASE_FACTOR: f64 = 1.06;
/// Factor by which the limit decreases.
const DECREASE_FACTOR: f64 = 0.85;
/// Share of the maximum below which the limit does not decrease.
const MIN_LIMIT_SHARE: f64 = 1.0 / 32.0;
/// Number of requests below which the limit does not decrease.
const MIN_LIMIT: f64 = 2.0;
/// Minimum of the limit's maximum.
const MIN_MAX_LIMIT: usize = 8;
/// Share of the maximum at which the limit starts. When the limit started low, a controller that alone served the users of all
/// controllers, or whose store had become slow, refused hundreds of requests that it could have served, until the limit had
/// increased.
const INITIAL_LIMIT_SHARE: f64 = 0.25;
/// Share of the limit that queries may use. Users query far more often than they submit or cancel jobs, and many queries must
/// not prevent changes from being admitted.
const QUERY_SHARE: f64 = 0.75;
/// Latency, in milliseconds, with which longer latencies are recorded.
const MAX_RECORDED_LATENCY_MS: u64 = 60_000;
/// Number of significant decimal digits of the recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The kind of a user request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Reads the state of a job.
    Query,
    /// Submits or cancels a job.
    Change,
}

/// The outcome of an admitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The request was served, with this latency.
    Served(Duration),
    /// The request was not served, for example because of an outage of the store. Its latency does not depend on the load of
    /// this controller and is not recorded.
    NotServed,
}

/// An adaptive concurrency limit, with the number of requests in progress. Clones share the limit.
#[derive(Clone)]
pub struct ConcurrencyLimit(Rc<RefCell<LimitState>>);

/// The right of one request to be in progress. It ends when this value is dropped.
pub struct Permit(ConcurrencyLimit);

struct LimitState {
    limit: f64,
    max_limit: f64,
    in_progress: usize,
    /// Maximum number of requests in progress since the last adjustment.
    peak_in_progress: usize,
    /// Latencies of the requests served since the last adjustment, in milliseconds.
    latencies: Histogram<u32>,
    /// Lowest median latency of a window, raised by [`BASELINE_GROWTH_FACTOR`] with each window.
    baseline_ms: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at a quarter of its maximum, which is `max_limit` but at least 8.
    #[must_use]
    pub fn new(max_limit: usize) -> ConcurrencyLimit {
        ConcurrencyLimit(Rc::new(RefCell::new(LimitState::new(max_limit))))
    }

    /// Admits a request if the limit allows it.
    #[must_use]
    pub fn try_acquire(&self, kind: RequestKind) -> Option<Permit> {
        let is_admitted = self.0.borrow_mut().try_acquire(kind);
        is_admitted.then(|| Permit(self.clone()))
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.0.borrow().in_progress
    }

    /// Returns the current limit on the number of requests in progress.
    #[must_use]
    pub fn limit(&self) -> usize {
        round_down(self.0.borrow().limit)
    }
}

impl Permit {
    /// Ends the request and records its outcome, to which the limit adapts.
    pub fn complete(self, completion: Completion) {
        let limit = self.0.clone();
        drop(self);
        limit.0.borrow_mut().record(completion);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0 .0.borrow_mut().in_progress -= 1;
    }
}

impl LimitState {
    fn new(max_limit: usize) -> LimitState {
        let max_limit = max_limit.max(MIN_MAX_LIMIT) as f64;
        LimitState {
            limit: max_limit * INITIAL_LIMIT_SHARE,
            max_limit,
            in_progress: 0,
            peak_in_progress: 0,
            latencies: Histogram::new_with_max(MAX_RECORDED_LATENCY_MS, SIGNIFICANT_DIGITS)
                .expect("valid bounds"),
            baseline_ms: f64::INFINITY,
        }
    }

    fn try_acquire(&mut self, kind: RequestKind) -> bool {
        let limit = match kind {
            RequestKind::Query => self.limit * QUERY_SHARE,
            RequestKind::Change => self.limit,
        };
        if self.in_progress >= round_down(limit) {
            return false;
        }
        self.in_progress += 1;
        self.peak_in_progress = self.peak_in_progress.max(self.in_progress);
        true
    }

    /// Records the outcome of a request that has ended.
    fn record(&mut self, completion: Completion) {
        let Completion::Served(latency) = completion else {
            return;
        };
        self.latencies
            .saturating_record(whole_millis(latency).max(1));
        if self.latencies.len() >= WINDOW_REQUESTS {
            self.adjust();
        }
    }

    /// Adjusts the limit to the latencies of this window and starts the next window.
    fn adjust(&mut self) {
        let median_ms = self.latencies.value_at_quantile(0.5) as f64;
        self.baseline_ms = (self.baseline_ms * BASELINE_GROWTH_FACTOR)
            .min(median_ms)
            .max(MIN_BASELINE_MS);
        if median_ms > (SLOWDOWN_FACTOR * self.baseline_ms).max(TOLERABLE_LATENCY_MS) {
            let min_limit = (self.max_limit * MIN_LIMIT_SHARE).max(MIN_LIMIT);
            self.limit = (self.limit * DECREASE_FACTOR).max(min_limit);
        } else if self.peak_in_progress * 2 >= round_down(self.limit) {
            self.limit = (self.limit * INCREASE_FACTOR).min(self.max_limit);
        }
        self.latencies.reset();
        self.peak_in_progress = self.in_progress;
    }
}

/// Converts a limit to a number of requests, rounded down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "limits are positive and small"
)]
fn round_down(limit: f64) -> usize {
    limit as usize
}
