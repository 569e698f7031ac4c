use super::{duration, millis, Timestamp};
use std::time::Duration;

#[test]
fn timestamps_saturate_at_both_ends_of_the_clock() {
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
fn seconds_are_rounded_down_to_milliseconds_and_never_negative() {
    assert_eq!(millis(1.2345), 1234);
    assert_eq!(millis(-1.0), 0);
    assert_eq!(millis(f64::NAN), 0);
    assert_eq!(duration(0.25), Duration::from_millis(250));
}
