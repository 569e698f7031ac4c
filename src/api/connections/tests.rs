//! How many connections are accepted and kept open.

use super::*;

#[test]
fn connections_are_not_kept_open_when_three_quarters_are_taken() {
    let connections = Connections::new(8);
    let mut open: Vec<Connection> = (0..6).map(|_| connections.open()).collect();
    assert!(connections.may_keep_alive());
    // The uppermost quarter is kept by nobody.
    open.push(connections.open());
    assert!(!connections.may_keep_alive());
    open.truncate(6);
    assert!(connections.may_keep_alive());
}

#[test]
fn no_connection_is_accepted_beyond_the_limit() {
    use futures_util::FutureExt;
    let connections = Connections::new(2);
    let first = connections.open();
    assert!(connections.wait_for_capacity().now_or_never().is_some());
    let _second = connections.open();
    assert!(connections.wait_for_capacity().now_or_never().is_none());
    drop(first);
    assert!(connections.wait_for_capacity().now_or_never().is_some());
}
