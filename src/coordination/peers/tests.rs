//! The health of peers, and the messages between them.

use super::health::ISOLATED_AFTER;
use super::*;
use crate::store::{Epoch, Revision};
use crate::time::Timestamp;
use std::time::Duration;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn cancelled(job: &str, revision: u64) -> CancelledJob {
    CancelledJob {
        job: job.into(),
        tasks: 3,
        revision: Revision::new(revision),
    }
}

#[test]
fn a_controller_without_the_store_knows_whether_it_is_isolated() {
    let mut health = PeerHealth::default();
    // An outage: the peers report it as well, or refuse connections.
    health.record_view("b".into(), false, at(1000));
    assert!(!health.is_isolated(at(5000)));
    health.record_refusal(at(6000));
    assert!(!health.is_isolated(at(10_000)));
    // The store answers a peer.
    health.record_view("c".into(), true, at(10_000));
    assert!(health.is_isolated(at(11_000)) && !health.is_isolated(at(14_000)));
    // No peer is reached. A controller in that state once kept its users, who were answered 503 for as long as it lasted.
    assert!(health.is_isolated(at(16_000)));
}

#[test]
fn malformed_messages_are_refused() {
    let task_counts = Some(vec![JobTaskCounts {
        job: "wk-1".into(),
        done: 1,
        running: 2,
    }]);
    let leader_changes_per_s = Some(7.5);
    let v = View {
        node: "a".into(),
        epoch: Epoch::new(4),
        revision: Revision::new(8),
        store_reachable: true,
        leader_changes_per_s,
        task_counts,
    };
    assert_eq!(
        decode::<View>(&encode(&v)).unwrap().task_counts,
        v.task_counts
    );
    assert!(decode::<View>(&[255; 40]).is_none());
    assert!(decode::<View>(&[]).is_none());
    let message = Cancelled {
        jobs: vec![cancelled("wk-1", 8)],
    };
    assert_eq!(decode::<Cancelled>(&encode(&message)).unwrap(), message);
    assert!(decode::<Cancelled>(&[255; 40]).is_none());
}

#[test]
fn a_process_pause_does_not_count_as_isolation() {
    let mut health = PeerHealth::default();
    health.record_view("b".into(), false, at(1000));
    // It heard nothing for 30 s, through no fault of its peers.
    assert!(health.is_isolated(at(31_000)));
    health.excuse_pause(Duration::from_millis(29_900), at(31_000));
    assert!(!health.is_isolated(at(31_000)));
    // It hears nothing while it runs: now it is isolated.
    assert!(health.is_isolated(at(31_000) + ISOLATED_AFTER));
    // No contact counts as later than now.
    health.excuse_pause(Duration::from_millis(1 << 40), at(32_000));
    assert!(health.is_isolated(at(32_001) + ISOLATED_AFTER));
}
