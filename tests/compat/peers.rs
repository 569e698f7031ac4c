//! Messages between controllers, as literal bincode. Bincode contains no field names, and old and new versions of the program
//! exchange messages during an upgrade. The order and the types of all fields must therefore not change.

use hollowswitch::coordination::peers::{
    decode, encode, Cancelled, CancelledJob, JobTaskCounts, View,
};
use hollowswitch::store::{Epoch, Revision};

/// View of a follower: name of the controller, epoch, revision, whether the store is reachable. The last two fields are absent.
const FOLLOWER_VIEW: &[u8] = b"\x08\0\0\0\0\0\0\0drover-1\
    \x07\0\0\0\0\0\0\0\
    \x02\x01\0\0\0\0\0\0\
    \x01\
    \x00\
    \x00";

/// View of a leader: the same fields, its changes per second (2.5), and the numbers of done and running tasks of two jobs.
const LEADER_VIEW: &[u8] = b"\x08\0\0\0\0\0\0\0drover-0\
    \x08\0\0\0\0\0\0\0\
    \x03\x01\0\0\0\0\0\0\
    \x00\
    \x01\0\0\0\0\0\0\x04\x40\
    \x01\x02\0\0\0\0\0\0\0\
    \x04\0\0\0\0\0\0\0wk-1\x05\0\0\0\x06\0\0\0\
    \x05\0\0\0\0\0\0\0wk-22\x00\x01\0\0\x0a\0\0\0";

/// Notification of two cancelled jobs, each with its id, number of tasks and revision.
const CANCELLATIONS: &[u8] = b"\x02\0\0\0\0\0\0\0\
    \x04\0\0\0\0\0\0\0wk-1\x03\0\0\0\x28\0\0\0\0\0\0\0\
    \x05\0\0\0\0\0\0\0wk-22\xa0\x86\x01\0\x00\0\0\0\x01\0\0\0";

/// Response to a notification of cancelled jobs: the revision that the peer's replica of the store has reached.
const CANCELLATIONS_RESPONSE: &[u8] = b"\x03\x01\0\0\0\0\0\0";

fn task_counts(job: &str, done: u32, running: u32) -> JobTaskCounts {
    JobTaskCounts {
        job: job.into(),
        done,
        running,
    }
}

#[test]
fn the_view_of_a_follower_is_encoded_and_decoded() {
    let view = View {
        node: "drover-1".into(),
        epoch: Epoch::new(7),
        revision: Revision::new(258),
        store_reachable: true,
        leader_changes_per_s: None,
        task_counts: None,
    };
    assert_eq!(encode(&view), FOLLOWER_VIEW);
    let decoded: View = decode(FOLLOWER_VIEW).unwrap();
    assert_eq!(decoded.node, "drover-1");
    assert_eq!(decoded.epoch.as_u64(), 7);
    assert_eq!(decoded.revision, Revision::new(258));
    assert!(decoded.store_reachable);
    assert_eq!(decoded.leader_changes_per_s, None);
    assert_eq!(decoded.task_counts, None);
}

#[test]
fn the_view_of_a_leader_is_encoded_and_decoded() {
    let view = View {
        node: "drover-0".into(),
        epoch: Epoch::new(8),
        revision: Revision::new(259),
        store_reachable: false,
        leader_changes_per_s: Some(2.5),
        task_counts: Some(vec![
            task_counts("wk-1", 5, 6),
            task_counts("wk-22", 256, 10),
        ]),
    };
    assert_eq!(encode(&view), LEADER_VIEW);
    let decoded: View = decode(LEADER_VIEW).unwrap();
    assert_eq!(decoded.node, "drover-0");
    assert_eq!(decoded.epoch.as_u64(), 8);
    assert_eq!(decoded.revision, Revision::new(259));
    assert!(!decoded.store_reachable);
    assert_eq!(decoded.leader_changes_per_s, Some(2.5));
    assert_eq!(
        decoded.task_counts,
        Some(vec![
            task_counts("wk-1", 5, 6),
            task_counts("wk-22", 256, 10)
        ])
    );
}

#[test]
fn cancellations_are_encoded_and_decoded() {
    let jobs = vec![
        CancelledJob {
            job: "wk-1".into(),
            tasks: 3,
            revision: Revision::new(40),
        },
        CancelledJob {
            job: "wk-22".into(),
            tasks: 100_000,
            revision: Revision::new(1 << 32),
        },
    ];
    assert_eq!(encode(&Cancelled { jobs: jobs.clone() }), CANCELLATIONS);
    let decoded: Cancelled = decode(CANCELLATIONS).unwrap();
    assert_eq!(decoded.jobs, jobs);
}

#[test]
fn the_response_to_cancellations_is_encoded_and_decoded() {
    assert_eq!(encode(&Revision::new(259)), CANCELLATIONS_RESPONSE);
    assert_eq!(
        decode::<Revision>(CANCELLATIONS_RESPONSE),
        Some(Revision::new(259))
    );
}

#[test]
fn a_truncated_message_is_rejected() {
    assert!(decode::<View>(&FOLLOWER_VIEW[..FOLLOWER_VIEW.len() - 1]).is_none());
    assert!(decode::<Cancelled>(&CANCELLATIONS[..CANCELLATIONS.len() - 1]).is_none());
    assert!(decode::<Revision>(&CANCELLATIONS_RESPONSE[..7]).is_none());
}
