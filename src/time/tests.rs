//! Tests of saturating timestamps and of rounding to milliseconds.

use super::{duration_from_secs, millis_from_secs, Timestamp};
use std::time::Duration;

#[test]
fn timestamps_saturate_at_both_ends_of_their_range() {
    let late = Timestamp::from_millis(u64::MAX);
    assert_eq!(late + Duration::from_secs(1), late);
    let early = Timestamp::from_millis(5);
    assert_eq!(
        early.saturating_sub(Duration::from_millis(6)),
        Timestamp::ZERO
    );
    assert_eq!(early.saturating_duration_since(late), Duration::ZERO);
}

#[test]
fn seconds_are_rounded_down_to_milliseconds_and_negative_values_give_zero() {
    assert_eq!(millis_from_secs(1.2345), 1234);
    assert_eq!(millis_from_secs(-1.0), 0);
    assert_eq!(millis_from_secs(f64::NAN), 0);
    assert_eq!(duration_from_secs(0.25), Duration::from_millis(250));
}
