//! Tests of the admission of users' changes and of its adaptive rate.

use super::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn retries_are_spread_at_the_admitted_rate() {
    let mut admission = WriteAdmission::new(10.0);
    let answers: Vec<_> = (0..25).map(|_| admission.try_admit(1, at(1000))).collect();
    assert_eq!(answers.iter().filter(|a| a.is_ok()).count(), 5);
    let waits: Vec<u64> = answers
        .iter()
        .filter_map(|a| a.err())
        .map(|wait| wait.as_secs())
        .collect();
    assert_eq!((waits[0], waits[19]), (1, 4));
    assert!(admission.try_admit(1, at(1300)).is_ok());
}

#[test]
fn the_rate_adapts_to_accepted_and_throttled_changes() {
    let mut admission = WriteAdmission::new(10.0);
    (0..100).for_each(|_| admission.record_accepted());
    assert!((admission.rate_per_s - 10.0).abs() < 1e-9);
    (0..5).for_each(|_| admission.record_throttled());
    assert!(admission.rate_per_s < 4.0 && admission.try_admit(1, at(0)).is_err());
    (0..100).for_each(|_| admission.record_throttled());
    assert!(
        admission.try_admit(1, at(10_000)).is_ok(),
        "the rate does not decrease to zero"
    );
}

#[test]
fn users_get_the_rate_that_the_leader_leaves_but_at_least_two_thirds() {
    assert_eq!(max_user_change_rate(60.0, 3, None) * 3.0, 40.0);
    assert_eq!(max_user_change_rate(60.0, 3, Some(0.0)) * 3.0, 57.0);
    assert_eq!(max_user_change_rate(60.0, 3, Some(8.0)) * 3.0, 47.0);
    assert_eq!(max_user_change_rate(60.0, 3, Some(50.0)) * 3.0, 40.0);
    let mut admission = WriteAdmission::new(12.0);
    (0..100).for_each(|_| admission.record_accepted());
    admission.set_max_rate(6.0);
    assert!(admission.try_admit(1, at(1000)).is_ok());
    // The burst is that of one second at the new rate, not at the old one.
    assert!(
        (0..20)
            .filter(|_| admission.try_admit(1, at(1000)).is_ok())
            .count()
            <= 6
    );
}
