//! Conversions between the units of the wire and of the settings and those of the code.

/// Seconds as milliseconds, rounded down; what is negative or no number is 0.
#[must_use]
pub fn millis(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}
