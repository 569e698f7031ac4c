//! Tests of the detection of isolation and of the encoding of messages.

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
fn isolation_is_distinguished_from_an_outage_of_the_store() {
    let mut health = PeerHealth::default();
    // Outage of the store: the peers report it as well, or refuse connections.
    health.record_view("b".into(), false, at(1000));
    assert!(!health.is_isolated(at(5000)));
    health.record_refusal(at(6000));
    assert!(!health.is_isolated(at(10_000)));
    // The store answers a peer.
    health.record_view("c".into(), true, at(10_000));
    assert!(health.is_isolated(at(11_000)) && !health.is_isolated(at(14_000)));
    // No peer is reachable. Unless this counts as isolation, the controller keeps its users and answers them 503 throughout.
    assert!(health.is_isolated(at(16_000)));
}

#[test]
fn messages_are_decoded_unless_malformed() {
    let task_counts = Some(vec![JobTaskCounts {
        job: "wk-1".into(),
        done: 1,
        running: 2,
    }]);
    let leader_changes_per_s = Some(7.5);
    let view = View {
        node: "a".into(),
        epoch: Epoch::new(4),
        revision: Revision::new(8),
        store_reachable: true,
        leader_changes_per_s,
        task_counts,
    };
    assert_eq!(
        decode::<View>(&encode(&view)).unwrap().task_counts,
        view.task_counts
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
    // The process was paused and received nothing for 30 s.
    assert!(health.is_isolated(at(31_000)));
    health.exclude_pause(Duration::from_millis(29_900), at(31_000));
    assert!(!health.is_isolated(at(31_000)));
    // No contact while the process runs: it is isolated.
    assert!(health.is_isolated(at(31_000) + ISOLATED_AFTER));
    // A pause longer than the time without contact moves the last contact to the current time, not into the future.
    health.exclude_pause(Duration::from_millis(1 << 40), at(32_000));
    assert!(health.is_isolated(at(32_001) + ISOLATED_AFTER));
}
