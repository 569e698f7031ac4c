//! Tests of the token bucket and the rate meter.

use super::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn wait(millis: u64) -> Result<(), Duration> {
    Err(Duration::from_millis(millis))
}

#[test]
fn after_a_burst_tokens_are_available_at_the_refill_rate() {
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
fn idle_time_refills_at_most_the_capacity_and_a_clock_that_goes_back_refills_nothing() {
    let mut bucket = TokenBucket::new(10.0, 2.0);
    assert!(bucket.try_take(at(600_000)).is_ok() && bucket.try_take(at(600_000)).is_ok());
    assert!(bucket.try_take(at(600_000)).is_err());
    assert!(bucket.try_take(at(1000)).is_err());
}

#[test]
fn the_capacity_is_at_least_one_token() {
    let mut bucket = TokenBucket::new(0.5, 0.25);
    assert_eq!(bucket.try_take(at(0)), Ok(()));
    assert_eq!(bucket.try_take(at(0)), wait(2000));
    assert_eq!(bucket.try_take(at(2000)), Ok(()));
}

#[test]
fn the_meter_converges_to_a_steady_rate_and_decays_without_events() {
    let mut meter = RateMeter::new(Duration::from_secs(2));
    assert_eq!(meter.events_per_s(at(0)), 0.0);
    (0..200).for_each(|n| meter.record(2, at(n * 100)));
    assert!(
        (meter.events_per_s(at(19_900)) - 20.0).abs() < 1.5,
        "{}",
        meter.events_per_s(at(19_900))
    );
    assert!(meter.events_per_s(at(21_900)) < 8.0);
    assert!(meter.events_per_s(at(40_000)) < 0.01);
    // A clock that goes back does not change the rate.
    assert_eq!(meter.events_per_s(at(1000)), meter.events_per_s(at(19_900)));
}
