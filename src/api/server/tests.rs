//! Connections.

use super::*;

#[test]
fn more_workers_than_sockets_take_turns() {
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
fn no_more_connections_are_accepted_than_there_may_be() {
    use futures_util::FutureExt;
    let c = Connections::new(2);
    let first = c.enter();
    assert!(c.room().now_or_never().is_some());
    let _second = c.enter();
    assert!(c.room().now_or_never().is_none());
    drop(first);
    assert!(c.room().now_or_never().is_some());
}
