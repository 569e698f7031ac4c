//! Timestamps and conversions of durations.
//!
//! Settings and the messages of users, workers and the cloud give durations in seconds, as floating-point numbers. The program
//! computes in whole milliseconds, with [`Timestamp`] for points in time and [`Duration`] for lengths of time.
//! [`millis_from_secs`] and [`duration_from_secs`] convert.

#[cfg(test)]
mod tests;

use std::fmt;
use std::ops::{Add, AddAssign};
use std::time::Duration;

/// A point in time on the monotonic clock of this process, in milliseconds. The clock's zero point is arbitrary, so timestamps
/// of different processes must not be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The earliest timestamp. Stands for the time of an event that has never happened.
    pub const ZERO: Timestamp = Timestamp(0);

    /// Creates a timestamp from the milliseconds since [`Timestamp::ZERO`].
    #[must_use]
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis)
    }

    /// Returns the milliseconds since [`Timestamp::ZERO`].
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than this timestamp.
    #[must_use]
    pub const fn saturating_duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the timestamp that is `duration` before this one, or [`Timestamp::ZERO`] if it would be earlier.
    #[must_use]
    pub fn saturating_sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(whole_millis(duration)))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    /// Returns the timestamp that is `duration` after this one, or the latest timestamp if the sum overflows.
    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(whole_millis(duration)))
    }
}

impl AddAssign<Duration> for Timestamp {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}

/// Returns the number of whole milliseconds in a duration, or `u64::MAX` if it does not fit.
#[must_use]
pub fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Converts seconds to milliseconds, rounded down. Negative values and NaN give 0.
#[must_use]
pub fn millis_from_secs(seconds: f64) -> u64 {
    round_down(seconds * 1000.0)
}

/// Converts seconds to a duration, rounded down to whole milliseconds. Negative values and NaN give zero.
#[must_use]
pub fn duration_from_secs(seconds: f64) -> Duration {
    Duration::from_millis(millis_from_secs(seconds))
}

/// Converts milliseconds to a duration, rounded down to whole milliseconds. Negative values and NaN give zero.
#[must_use]
pub fn duration_from_millis(milliseconds: f64) -> Duration {
    Duration::from_millis(round_down(milliseconds))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float to integer casts saturate, which is what is wanted"
)]
fn round_down(milliseconds: f64) -> u64 {
    milliseconds as u64
}
