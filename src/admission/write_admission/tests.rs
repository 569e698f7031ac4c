//! Tests of the admission of users' changes.

use super::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn a_crowd_is_told_to_come_back_in_turn() {
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
fn the_pace_follows_what_the_service_takes() {
    let mut admission = WriteAdmission::new(10.0);
    (0..100).for_each(|_| admission.record_accepted());
    assert!((admission.rate_per_s - 10.0).abs() < 1e-9);
    (0..5).for_each(|_| admission.record_throttled());
    assert!(admission.rate_per_s < 4.0 && admission.try_admit(1, at(0)).is_err());
    (0..100).for_each(|_| admission.record_throttled());
    assert!(admission.try_admit(1, at(10_000)).is_ok(), "it never stops");
}

#[test]
fn users_have_what_the_leader_leaves_and_two_thirds_in_any_case() {
    assert_eq!(users_share(60.0, 3, None) * 3.0, 40.0);
    assert_eq!(users_share(60.0, 3, Some(0.0)) * 3.0, 57.0);
    assert_eq!(users_share(60.0, 3, Some(8.0)) * 3.0, 47.0);
    assert_eq!(users_share(60.0, 3, Some(50.0)) * 3.0, 40.0);
    let mut admission = WriteAdmission::new(12.0);
    (0..100).for_each(|_| admission.record_accepted());
    admission.set_max_rate(6.0);
    assert!(admission.try_admit(1, at(1000)).is_ok());
    // A burst of a second at the new pace, not at the old one.
    assert!(
        (0..20)
            .filter(|_| admission.try_admit(1, at(1000)).is_ok())
            .count()
            <= 6
    );
}
