//! The bucket under a fake clock.

use super::*;

#[test]
fn a_burst_is_followed_by_the_rate() {
    let mut bucket = TokenBucket::new(2.0, 3.0);
    assert_eq!(
        (0..3).map(|_| bucket.take(1000)).collect::<Vec<_>>(),
        [Ok(()); 3]
    );
    assert_eq!(bucket.take(1000), Err(500));
    assert_eq!(bucket.take(1499), Err(1));
    assert_eq!(bucket.take(1500), Ok(()));
    assert_eq!(bucket.take(1500), Err(500));
}

#[test]
fn idle_time_fills_no_more_than_a_burst_and_a_clock_that_goes_back_fills_nothing() {
    let mut bucket = TokenBucket::new(10.0, 2.0);
    assert!(bucket.take(600_000).is_ok() && bucket.take(600_000).is_ok());
    assert!(bucket.take(600_000).is_err());
    assert!(bucket.take(1000).is_err());
}

#[test]
fn a_bucket_always_holds_one_token() {
    let mut bucket = TokenBucket::new(0.5, 0.25);
    assert_eq!(bucket.take(0), Ok(()));
    assert_eq!(bucket.take(0), Err(2000));
    assert_eq!(bucket.take(2000), Ok(()));
}

#[test]
fn a_meter_follows_a_steady_rate_and_forgets() {
    let mut meter = RateMeter::new(2000);
    assert_eq!(meter.per_s(0), 0.0);
    (0..200).for_each(|n| meter.record(2, n * 100));
    assert!(
        (meter.per_s(19_900) - 20.0).abs() < 1.5,
        "{}",
        meter.per_s(19_900)
    );
    assert!(meter.per_s(21_900) < 8.0);
    assert!(meter.per_s(40_000) < 0.01);
    // A clock that goes back changes nothing.
    assert_eq!(meter.per_s(1000), meter.per_s(19_900));
}
