//! What a node knows of the others.

use super::notices::{MESSAGE_LIMIT, NOTICE_LIMIT};
use super::*;

fn cancelled(job: &str, revision: u64) -> CancelledJob {
    CancelledJob {
        job: job.into(),
        tasks: 3,
        revision,
    }
}

#[test]
fn a_node_without_the_store_knows_whether_it_is_alone_with_that() {
    let mut o = PeerHealth::default();
    // An outage: the others are in the same case, or their connections are refused.
    o.told("b".into(), false, 1000);
    assert!(!o.alone(5000));
    o.refused(6000);
    assert!(!o.alone(10_000));
    // The store answers another one.
    o.told("c".into(), true, 10_000);
    assert!(o.alone(11_000) && !o.alone(14_000));
    // Cut off from all of them: a node like that kept its users, who were answered 503 for as long as it lasted.
    assert!(o.alone(16_000));
}

#[test]
fn garbage_is_no_view() {
    let counts = Some(vec![("wk-1".into(), 1, 2)]);
    let leader_changes_per_s = Some(7.5);
    let v = View {
        node: "a".into(),
        epoch: 4,
        revision: 8,
        state_ok: true,
        leader_changes_per_s,
        counts,
    };
    assert_eq!(decode::<View>(&encode(&v)).unwrap().counts, v.counts);
    assert!(decode::<View>(&[255; 40]).is_none());
    assert!(decode::<View>(&[]).is_none());
    let told = Cancelled {
        jobs: vec![cancelled("wk-1", 8)],
    };
    assert_eq!(decode::<Cancelled>(&encode(&told)).unwrap(), told);
    assert!(decode::<Cancelled>(&[255; 40]).is_none());
}

#[test]
fn a_cancellation_is_told_until_the_other_knows() {
    let mut notices = CancellationNotices::default();
    assert!(notices.unknown_to("b").is_none());
    let first = notices.add(cancelled("wk-1", 40));
    let second = notices.add(cancelled("wk-2", 42));
    let (jobs, last) = notices.unknown_to("b").unwrap();
    assert_eq!((jobs.len(), last), (2, second));
    // Its mirror has seen the first; a word of less takes nothing back.
    notices.mirrored("b", 41);
    notices.mirrored("b", 7);
    assert_eq!(
        notices.unknown_to("b").unwrap().0,
        vec![cancelled("wk-2", 42)]
    );
    assert!(notices.is_known_by("b", first) && !notices.is_known_by("b", second));
    notices.told("b", last);
    assert!(notices.unknown_to("b").is_none() && notices.is_known_by("b", second));
    assert_eq!(notices.unknown_to("c").unwrap().0.len(), 2);
    // One that is never reached costs bounded memory, and messages are bounded.
    (0..NOTICE_LIMIT as u64 * 2).for_each(|n| {
        notices.add(cancelled("wk-3", 100 + n));
    });
    let mut messages = 0;
    while let Some((jobs, last)) = notices.unknown_to("c") {
        assert!(jobs.len() <= MESSAGE_LIMIT);
        notices.told("c", last);
        messages += 1;
    }
    assert_eq!(messages, NOTICE_LIMIT / MESSAGE_LIMIT);
}

#[test]
fn a_peer_that_was_told_of_a_later_cancellation_does_not_know_of_an_earlier_one() {
    let mut notices = CancellationNotices::default();
    // Its transaction was the later one, but was answered first.
    let later = notices.add(cancelled("wk-2", 42));
    let (_, last) = notices.unknown_to("b").unwrap();
    notices.told("b", last);
    let earlier = notices.add(cancelled("wk-1", 40));
    assert!(notices.is_known_by("b", later) && !notices.is_known_by("b", earlier));
    assert_eq!(
        notices.unknown_to("b").unwrap().0,
        vec![cancelled("wk-1", 40)]
    );
}

#[test]
fn a_notice_that_was_not_kept_is_known_only_through_the_store() {
    let mut notices = CancellationNotices::default();
    let lost = notices.add(cancelled("wk-1", 40));
    for n in 0..NOTICE_LIMIT as u64 {
        notices.add(cancelled("wk-2", 41 + n));
    }
    while let Some((_, last)) = notices.unknown_to("b") {
        notices.told("b", last);
    }
    assert!(!notices.is_known_by("b", lost));
    notices.mirrored("b", 40);
    assert!(notices.is_known_by("b", lost));
}

#[test]
fn a_node_that_stood_still_does_not_take_itself_for_cut_off() {
    let mut o = PeerHealth::default();
    o.told("b".into(), false, 1000);
    // Silent for 30 s, through no fault of the others.
    assert!(o.alone(31_000));
    o.stood_still(29_900, 31_000);
    assert!(!o.alone(31_000));
    // They are silent while it runs: now it is.
    assert!(o.alone(31_000 + ISOLATED_AFTER_MS));
    // Nothing is believed to have been heard in the future.
    o.stood_still(1 << 40, 32_000);
    assert!(o.alone(32_000 + ISOLATED_AFTER_MS + 1));
}
