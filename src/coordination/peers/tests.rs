//! What a node knows of the others.

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
