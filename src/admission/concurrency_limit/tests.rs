//! Tests of the adaptive concurrency limit.

use super::*;

fn run_rounds(limit: &mut ConcurrencyLimit, at_once: usize, took_ms: u64, n: usize) {
    for _ in 0..n {
        let admitted = (0..at_once)
            .filter(|_| limit.try_acquire(RequestKind::Change))
            .count();
        (0..admitted)
            .for_each(|_| limit.release(Completion::Served(Duration::from_millis(took_ms))));
    }
}

#[test]
fn grows_while_fast_and_shrinks_when_slow() {
    let mut limit = ConcurrencyLimit::new(128);
    run_rounds(&mut limit, 30, 10, 20);
    let grown = limit.limit();
    assert!(grown > 32);
    run_rounds(&mut limit, 60, 400, 30);
    assert!(limit.limit() >= grown, "slower, but nobody minds");
    run_rounds(&mut limit, 60, 900, 30);
    assert!(limit.limit() < grown / 2);
    for _ in 0..1000 {
        let _ = limit.try_acquire(RequestKind::Change);
    }
    assert!(!limit.try_acquire(RequestKind::Change));
}

#[test]
fn an_outage_elsewhere_teaches_nothing() {
    let mut limit = ConcurrencyLimit::new(128);
    for _ in 0..100 {
        assert!(limit.try_acquire(RequestKind::Change));
        limit.release(Completion::NotServed);
    }
    assert_eq!(limit.limit(), 32);
}

#[test]
fn a_crowd_that_asks_leaves_room_for_changes() {
    let mut limit = ConcurrencyLimit::new(128);
    let questions = (0..1000)
        .filter(|_| limit.try_acquire(RequestKind::Query))
        .count();
    assert_eq!(questions, 24);
    let changes = (0..1000)
        .filter(|_| limit.try_acquire(RequestKind::Change))
        .count();
    assert_eq!(questions + changes, limit.limit());
    // Changes may fill all of it.
    (0..32).for_each(|_| limit.release(Completion::NotServed));
    assert_eq!(
        (0..1000)
            .filter(|_| limit.try_acquire(RequestKind::Change))
            .count(),
        32
    );
    assert!(!limit.try_acquire(RequestKind::Query));
}
