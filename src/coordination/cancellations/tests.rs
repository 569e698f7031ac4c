//! Tests of the delivery of cancellation notices and of the recorded progress of peers.

use super::*;

fn cancelled(job: &str, revision: u64) -> CancelledJob {
    CancelledJob {
        job: job.into(),
        tasks: 3,
        revision: Revision::new(revision),
    }
}

#[test]
fn a_peer_is_notified_until_it_acknowledges_or_its_replica_catches_up() {
    let mut cancellations = Cancellations::default();
    assert!(cancellations.message_for("b").is_none());
    let first = cancellations.add(cancelled("wk-1", 40));
    let second = cancellations.add(cancelled("wk-2", 42));
    let (Cancelled { jobs }, last) = cancellations.message_for("b").unwrap();
    assert_eq!((jobs.len(), last), (2, second));
    // The peer's replica has reached the first cancellation. A lower revision that arrives later has no effect.
    cancellations.record_peer_revision("b", Revision::new(41));
    cancellations.record_peer_revision("b", Revision::new(7));
    assert_eq!(
        cancellations.message_for("b").unwrap().0.jobs,
        vec![cancelled("wk-2", 42)]
    );
    assert!(cancellations.is_known_by("b", first) && !cancellations.is_known_by("b", second));
    cancellations.record_acknowledgement("b", last);
    assert!(cancellations.message_for("b").is_none() && cancellations.is_known_by("b", second));
    assert_eq!(cancellations.message_for("c").unwrap().0.jobs.len(), 2);
    // The number of notices kept for an unreachable peer is bounded, and so is the size of messages.
    (0..MAX_NOTICES as u64 * 2).for_each(|n| {
        cancellations.add(cancelled("wk-3", 100 + n));
    });
    let mut messages = 0;
    while let Some((Cancelled { jobs }, last)) = cancellations.message_for("c") {
        assert!(jobs.len() <= MAX_NOTICES_PER_MESSAGE);
        cancellations.record_acknowledgement("c", last);
        messages += 1;
    }
    assert_eq!(messages, MAX_NOTICES / MAX_NOTICES_PER_MESSAGE);
}

#[test]
fn a_peer_that_acknowledged_a_later_cancellation_does_not_know_of_an_earlier_one() {
    let mut cancellations = Cancellations::default();
    // Two concurrent transactions: the one with the higher revision is answered first.
    let later = cancellations.add(cancelled("wk-2", 42));
    let (_, last) = cancellations.message_for("b").unwrap();
    cancellations.record_acknowledgement("b", last);
    let earlier = cancellations.add(cancelled("wk-1", 40));
    assert!(cancellations.is_known_by("b", later) && !cancellations.is_known_by("b", earlier));
    assert_eq!(
        cancellations.message_for("b").unwrap().0.jobs,
        vec![cancelled("wk-1", 40)]
    );
}

#[test]
fn a_dropped_notice_is_known_only_from_the_replica_revision() {
    let mut cancellations = Cancellations::default();
    let dropped = cancellations.add(cancelled("wk-1", 40));
    for n in 0..MAX_NOTICES as u64 {
        cancellations.add(cancelled("wk-2", 41 + n));
    }
    while let Some((_, last)) = cancellations.message_for("b") {
        cancellations.record_acknowledgement("b", last);
    }
    assert!(!cancellations.is_known_by("b", dropped));
    cancellations.record_peer_revision("b", Revision::new(40));
    assert!(cancellations.is_known_by("b", dropped));
}
