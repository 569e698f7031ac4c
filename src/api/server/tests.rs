//! How many connections are accepted and kept open.

use super::*;

#[test]
fn connections_are_not_kept_open_when_three_quarters_are_taken() {
    let c = Connections::new(8);
    let mut open: Vec<Connection> = (0..6).map(|_| c.enter()).collect();
    assert!(c.keep());
    // The uppermost quarter is kept by nobody.
    open.push(c.enter());
    assert!(!c.keep());
    open.truncate(6);
    assert!(c.keep());
}

#[test]
fn no_connection_is_accepted_beyond_the_limit() {
    use futures_util::FutureExt;
    let c = Connections::new(2);
    let first = c.enter();
    assert!(c.room().now_or_never().is_some());
    let _second = c.enter();
    assert!(c.room().now_or_never().is_none());
    drop(first);
    assert!(c.room().now_or_never().is_some());
}
