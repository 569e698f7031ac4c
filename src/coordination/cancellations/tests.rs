//! Whom a controller notifies of cancellations, and who knows of them.

use super::*;

fn cancelled(job: &str, revision: u64) -> CancelledJob {
    CancelledJob {
        job: job.into(),
        tasks: 3,
        revision: Revision::new(revision),
    }
}

#[test]
fn a_peer_is_notified_until_it_knows() {
    let mut cancellations = Cancellations::default();
    assert!(cancellations.message_for("b").is_none());
    let first = cancellations.add(cancelled("wk-1", 40));
    let second = cancellations.add(cancelled("wk-2", 42));
    let (Cancelled { jobs }, last) = cancellations.message_for("b").unwrap();
    assert_eq!((jobs.len(), last), (2, second));
    // Its replica has reached the first; a message that says less takes nothing back.
    cancellations.peer_replica_reached("b", Revision::new(41));
    cancellations.peer_replica_reached("b", Revision::new(7));
    assert_eq!(
        cancellations.message_for("b").unwrap().0.jobs,
        vec![cancelled("wk-2", 42)]
    );
    assert!(cancellations.is_known_by("b", first) && !cancellations.is_known_by("b", second));
    cancellations.acknowledged("b", last);
    assert!(cancellations.message_for("b").is_none() && cancellations.is_known_by("b", second));
    assert_eq!(cancellations.message_for("c").unwrap().0.jobs.len(), 2);
    // Memory for a peer that is never reached is bounded, and so are messages.
    (0..NOTICE_LIMIT as u64 * 2).for_each(|n| {
        cancellations.add(cancelled("wk-3", 100 + n));
    });
    let mut messages = 0;
    while let Some((Cancelled { jobs }, last)) = cancellations.message_for("c") {
        assert!(jobs.len() <= MESSAGE_LIMIT);
        cancellations.acknowledged("c", last);
        messages += 1;
    }
    assert_eq!(messages, NOTICE_LIMIT / MESSAGE_LIMIT);
}

#[test]
fn a_peer_that_acknowledged_a_later_cancellation_does_not_know_of_an_earlier_one() {
    let mut cancellations = Cancellations::default();
    // Of two concurrent transactions the later one was answered first.
    let later = cancellations.add(cancelled("wk-2", 42));
    let (_, last) = cancellations.message_for("b").unwrap();
    cancellations.acknowledged("b", last);
    let earlier = cancellations.add(cancelled("wk-1", 40));
    assert!(cancellations.is_known_by("b", later) && !cancellations.is_known_by("b", earlier));
    assert_eq!(
        cancellations.message_for("b").unwrap().0.jobs,
        vec![cancelled("wk-1", 40)]
    );
}

#[test]
fn a_notice_that_was_dropped_is_known_only_through_the_store() {
    let mut cancellations = Cancellations::default();
    let lost = cancellations.add(cancelled("wk-1", 40));
    for n in 0..NOTICE_LIMIT as u64 {
        cancellations.add(cancelled("wk-2", 41 + n));
    }
    while let Some((_, last)) = cancellations.message_for("b") {
        cancellations.acknowledged("b", last);
    }
    assert!(!cancellations.is_known_by("b", lost));
    cancellations.peer_replica_reached("b", Revision::new(40));
    assert!(cancellations.is_known_by("b", lost));
}
