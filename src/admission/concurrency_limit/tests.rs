//! Tests of `limiter`.

use super::*;

fn rounds(l: &mut Limiter, at_once: usize, took: u64, n: usize) {
    for _ in 0..n {
        let admitted = (0..at_once).filter(|_| l.enter(Request::Change)).count();
        (0..admitted).for_each(|_| l.leave(took, true));
    }
}

#[test]
fn grows_while_fast_and_shrinks_when_slow() {
    let mut l = Limiter::new(128);
    rounds(&mut l, 30, 10, 20);
    let grown = l.limit();
    assert!(grown > 32);
    rounds(&mut l, 60, 400, 30);
    assert!(l.limit() >= grown, "slower, but nobody minds");
    rounds(&mut l, 60, 900, 30);
    assert!(l.limit() < grown / 2);
    (0..1000).for_each(|_| {
        l.enter(Request::Change);
    });
    assert!(!l.enter(Request::Change));
}

#[test]
fn an_outage_elsewhere_teaches_nothing() {
    let mut l = Limiter::new(128);
    for _ in 0..100 {
        assert!(l.enter(Request::Change));
        l.leave(4000, false);
    }
    assert_eq!(l.limit(), 32);
}

#[test]
fn a_crowd_that_asks_leaves_room_for_changes() {
    let mut l = Limiter::new(128);
    let questions = (0..1000).filter(|_| l.enter(Request::Question)).count();
    assert_eq!(questions, 24);
    let changes = (0..1000).filter(|_| l.enter(Request::Change)).count();
    assert_eq!(questions + changes, l.limit());
    // Changes may fill all of it.
    (0..32).for_each(|_| l.leave(1, false));
    assert_eq!((0..1000).filter(|_| l.enter(Request::Change)).count(), 32);
    assert!(!l.enter(Request::Question));
}
