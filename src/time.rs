//! Moments and lengths of time.
//!
//! Settings and the wire give durations in seconds, the logic counts milliseconds: [`Timestamp`] is a moment of a clock,
//! [`Duration`] a length of time, and [`millis`] and [`duration`] convert.

#[cfg(test)]
mod tests;

use std::fmt;
use std::ops::{Add, AddAssign};
use std::time::Duration;

/// A moment in milliseconds of a steady clock. The clock starts at an arbitrary moment of each process, so timestamps of
/// different processes must not be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The earliest moment, used for what has never happened.
    pub const ZERO: Timestamp = Timestamp(0);

    /// The moment that many milliseconds after [`Timestamp::ZERO`].
    #[must_use]
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis)
    }

    /// Milliseconds since [`Timestamp::ZERO`].
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The time that passed since an earlier moment; zero if that moment is later.
    #[must_use]
    pub const fn saturating_duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The moment that long before this one, at the earliest [`Timestamp::ZERO`].
    #[must_use]
    pub fn saturating_sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(whole_millis(duration)))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    /// The moment that long after this one, at the latest the end of the clock.
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

/// The whole milliseconds of a duration.
#[must_use]
pub fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Seconds as milliseconds, rounded down; what is negative or no number is 0.
#[must_use]
pub fn millis(seconds: f64) -> u64 {
    round_down(seconds * 1000.0)
}

/// Seconds as a duration of whole milliseconds, rounded down; what is negative or no number is zero.
#[must_use]
pub fn duration(seconds: f64) -> Duration {
    Duration::from_millis(millis(seconds))
}

/// Milliseconds as a duration, rounded down to whole ones; what is negative or no number is zero.
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
