//! Tests of the adaptive concurrency limit.

use super::*;

/// Runs rounds in each of which `concurrency` requests arrive and those admitted are served with the same latency.
fn run_rounds(limit: &mut ConcurrencyLimit, concurrency: usize, latency_ms: u64, rounds: usize) {
    for _ in 0..rounds {
        let admitted = (0..concurrency)
            .filter(|_| limit.try_acquire(RequestKind::Change))
            .count();
        (0..admitted)
            .for_each(|_| limit.release(Completion::Served(Duration::from_millis(latency_ms))));
    }
}

#[test]
fn the_limit_increases_while_requests_are_fast_and_decreases_when_they_are_slow() {
    let mut limit = ConcurrencyLimit::new(128);
    run_rounds(&mut limit, 30, 10, 20);
    let increased = limit.limit();
    assert!(increased > 32);
    run_rounds(&mut limit, 60, 400, 30);
    assert!(
        limit.limit() >= increased,
        "slower, but within the latency that users tolerate"
    );
    run_rounds(&mut limit, 60, 900, 30);
    assert!(limit.limit() < increased / 2);
    for _ in 0..1000 {
        let _ = limit.try_acquire(RequestKind::Change);
    }
    assert!(!limit.try_acquire(RequestKind::Change));
}

#[test]
fn requests_that_were_not_served_do_not_change_the_limit() {
    let mut limit = ConcurrencyLimit::new(128);
    for _ in 0..100 {
        assert!(limit.try_acquire(RequestKind::Change));
        limit.release(Completion::NotServed);
    }
    assert_eq!(limit.limit(), 32);
}

#[test]
fn queries_leave_part_of_the_limit_to_changes() {
    let mut limit = ConcurrencyLimit::new(128);
    let queries = (0..1000)
        .filter(|_| limit.try_acquire(RequestKind::Query))
        .count();
    assert_eq!(queries, 24);
    let changes = (0..1000)
        .filter(|_| limit.try_acquire(RequestKind::Change))
        .count();
    assert_eq!(queries + changes, limit.limit());
    // Changes may use the whole limit.
    (0..32).for_each(|_| limit.release(Completion::NotServed));
    assert_eq!(
        (0..1000)
            .filter(|_| limit.try_acquire(RequestKind::Change))
            .count(),
        32
    );
    assert!(!limit.try_acquire(RequestKind::Query));
}
