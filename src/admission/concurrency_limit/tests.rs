//! Tests of the adaptive concurrency limit.

use super::*;

/// Runs rounds in each of which `concurrency` requests arrive and those admitted are served with the same latency.
fn run_rounds(limit: &ConcurrencyLimit, concurrency: usize, latency_ms: u64, rounds: usize) {
    for _ in 0..rounds {
        for permit in acquire(limit, RequestKind::Change, concurrency) {
            permit.complete(Completion::Served(Duration::from_millis(latency_ms)));
        }
    }
}

/// Returns the permits of those of `concurrency` requests that are admitted.
fn acquire(limit: &ConcurrencyLimit, kind: RequestKind, concurrency: usize) -> Vec<Permit> {
    (0..concurrency)
        .filter_map(|_| limit.try_acquire(kind))
        .collect()
}

#[test]
fn the_limit_increases_while_requests_are_fast_and_decreases_when_they_are_slow() {
    let limit = ConcurrencyLimit::new(128);
    run_rounds(&limit, 30, 10, 20);
    let increased = limit.limit();
    assert!(increased > 32);
    run_rounds(&limit, 60, 400, 30);
    assert!(
        limit.limit() >= increased,
        "slower, but within the latency that users tolerate"
    );
    run_rounds(&limit, 60, 900, 30);
    assert!(limit.limit() < increased / 2);
    let _permits = acquire(&limit, RequestKind::Change, 1000);
    assert!(limit.try_acquire(RequestKind::Change).is_none());
}

#[test]
fn requests_that_were_not_served_do_not_change_the_limit() {
    let limit = ConcurrencyLimit::new(128);
    for _ in 0..100 {
        let permit = limit.try_acquire(RequestKind::Change).unwrap();
        permit.complete(Completion::NotServed);
    }
    assert_eq!(limit.limit(), 32);
}

#[test]
fn queries_leave_part_of_the_limit_to_changes() {
    let limit = ConcurrencyLimit::new(128);
    let queries = acquire(&limit, RequestKind::Query, 1000);
    assert_eq!(queries.len(), 24);
    let changes = acquire(&limit, RequestKind::Change, 1000);
    assert_eq!(queries.len() + changes.len(), limit.limit());
    // Changes may use the whole limit.
    for permit in queries.into_iter().chain(changes) {
        permit.complete(Completion::NotServed);
    }
    let changes = acquire(&limit, RequestKind::Change, 1000);
    assert_eq!(changes.len(), 32);
    assert!(limit.try_acquire(RequestKind::Query).is_none());
}

#[test]
fn a_request_that_is_cancelled_frees_its_slot() {
    let limit = ConcurrencyLimit::new(128);
    let permits = acquire(&limit, RequestKind::Query, 1000);
    assert!(limit.try_acquire(RequestKind::Query).is_none());
    drop(permits);
    assert_eq!(limit.in_progress(), 0);
    assert_eq!(acquire(&limit, RequestKind::Query, 1000).len(), 24);
}
