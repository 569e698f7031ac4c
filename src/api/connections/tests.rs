//! Tests of the limits on accepting connections and on keeping them open.

use super::*;

#[test]
fn connections_are_not_kept_open_when_more_than_three_quarters_are_in_use() {
    let connections = Connections::new(8);
    let mut guards: Vec<ConnectionGuard> = (0..6).map(|_| connections.track()).collect();
    assert!(connections.may_keep_alive());
    // The last quarter is not used for idle connections.
    guards.push(connections.track());
    assert!(!connections.may_keep_alive());
    guards.truncate(6);
    assert!(connections.may_keep_alive());
}

#[test]
fn no_connection_is_accepted_beyond_the_limit() {
    use futures_util::FutureExt;
    let connections = Connections::new(2);
    let first = connections.track();
    assert!(connections.wait_for_capacity().now_or_never().is_some());
    let _second = connections.track();
    assert!(connections.wait_for_capacity().now_or_never().is_none());
    drop(first);
    assert!(connections.wait_for_capacity().now_or_never().is_some());
}
