//! Tests of the token bucket and the rate meter, with times that are handed in.

use super::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn wait(millis: u64) -> Result<(), Duration> {
    Err(Duration::from_millis(millis))
}

#[test]
fn a_burst_is_followed_by_the_rate() {
    let mut bucket = TokenBucket::new(2.0, 3.0);
    assert_eq!(
        (0..3)
            .map(|_| bucket.try_take(at(1000)))
            .collect::<Vec<_>>(),
        [Ok(()); 3]
    );
    assert_eq!(bucket.try_take(at(1000)), wait(500));
    assert_eq!(bucket.try_take(at(1499)), wait(1));
    assert_eq!(bucket.try_take(at(1500)), Ok(()));
    assert_eq!(bucket.try_take(at(1500)), wait(500));
}

#[test]
fn idle_time_fills_no_more_than_a_burst_and_a_clock_that_goes_back_fills_nothing() {
    let mut bucket = TokenBucket::new(10.0, 2.0);
    assert!(bucket.try_take(at(600_000)).is_ok() && bucket.try_take(at(600_000)).is_ok());
    assert!(bucket.try_take(at(600_000)).is_err());
    assert!(bucket.try_take(at(1000)).is_err());
}

#[test]
fn a_bucket_always_holds_one_token() {
    let mut bucket = TokenBucket::new(0.5, 0.25);
    assert_eq!(bucket.try_take(at(0)), Ok(()));
    assert_eq!(bucket.try_take(at(0)), wait(2000));
    assert_eq!(bucket.try_take(at(2000)), Ok(()));
}

#[test]
fn a_meter_follows_a_steady_rate_and_forgets() {
    let mut meter = RateMeter::new(Duration::from_secs(2));
    assert_eq!(meter.per_s(at(0)), 0.0);
    (0..200).for_each(|n| meter.record(2, at(n * 100)));
    assert!(
        (meter.per_s(at(19_900)) - 20.0).abs() < 1.5,
        "{}",
        meter.per_s(at(19_900))
    );
    assert!(meter.per_s(at(21_900)) < 8.0);
    assert!(meter.per_s(at(40_000)) < 0.01);
    // A clock that goes back changes nothing.
    assert_eq!(meter.per_s(at(1000)), meter.per_s(at(19_900)));
}
