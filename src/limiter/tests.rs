//! Tests of `limiter`.

use super::*;

fn rounds(l: &mut Limiter, at_once: usize, took: u64, n: usize) {
    for _ in 0..n {
        let admitted = (0..at_once).filter(|_| l.enter()).count();
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
        l.enter();
    });
    assert!(!l.enter());
}

#[test]
fn an_outage_elsewhere_teaches_nothing() {
    let mut l = Limiter::new(128);
    for _ in 0..100 {
        assert!(l.enter());
        l.leave(4000, false);
    }
    assert_eq!(l.limit(), 32);
}
