//! Tests of the detection of process pauses, and of the deadlines of placement and of searches for machines to probe.

use super::*;

const START: Timestamp = Timestamp::from_millis(10_000);

fn after(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

#[test]
fn a_gap_of_more_than_a_second_between_two_rounds_is_a_process_pause() {
    let mut detector = PauseDetector::default();
    // There is no previous round to compare the first one with.
    assert_eq!(detector.start_round(START), None);
    assert_eq!(detector.start_round(after(1000)), None);
    // The pause is the gap without the tick interval after which the round was due.
    let pause = detector.start_round(after(2001));
    assert_eq!(pause, Some(Duration::from_millis(901)));
    assert_eq!(detector.start_round(after(2101)), None);
}

#[test]
fn placement_waits_four_times_its_last_duration_and_at_least_40_ms() {
    let mut deadlines = RoundDeadlines::default();
    assert!(deadlines.placement_due(START));
    deadlines.placement_done(START, Duration::from_millis(3));
    assert_eq!(deadlines.until_placement(START), Duration::from_millis(40));
    deadlines.placement_done(START, Duration::from_millis(50));
    assert_eq!(deadlines.until_placement(START), Duration::from_millis(200));
    assert!(!deadlines.placement_due(after(199)) && deadlines.placement_due(after(200)));
}

#[test]
fn next_probe_search_is_due_at_once_only_if_the_last_one_reached_its_limit() {
    let mut deadlines = RoundDeadlines::default();
    deadlines.probes_done(START, true);
    assert!(deadlines.probes_due(START));
    deadlines.probes_done(START, false);
    assert!(!deadlines.probes_due(after(99)) && deadlines.probes_due(after(100)));
}
