//! Messages between controllers, as literal bincode. An old and a new process run side by side during an upgrade, so that the
//! order and the types of all fields have to stay.

use hollowswitch::coordination::peers::{
    decode, encode, Cancelled, CancelledJob, JobTaskCounts, View,
};
use hollowswitch::store::{Epoch, Revision};

/// A follower's view: node, epoch, revision, whether the store answers, then two absent fields.
const FOLLOWER_VIEW: &[u8] = b"\x08\0\0\0\0\0\0\0drover-1\
    \x07\0\0\0\0\0\0\0\
    \x02\x01\0\0\0\0\0\0\
    \x01\
    \x00\
    \x00";

/// A leader's view, with its changes a second (2.5) and done and running tasks of two jobs.
const LEADER_VIEW: &[u8] = b"\x08\0\0\0\0\0\0\0drover-0\
    \x08\0\0\0\0\0\0\0\
    \x03\x01\0\0\0\0\0\0\
    \x00\
    \x01\0\0\0\0\0\0\x04\x40\
    \x01\x02\0\0\0\0\0\0\0\
    \x04\0\0\0\0\0\0\0wk-1\x05\0\0\0\x06\0\0\0\
    \x05\0\0\0\0\0\0\0wk-22\x00\x01\0\0\x0a\0\0\0";

/// Two cancelled jobs: id, number of tasks, revision.
const CANCELLATIONS: &[u8] = b"\x02\0\0\0\0\0\0\0\
    \x04\0\0\0\0\0\0\0wk-1\x03\0\0\0\x28\0\0\0\0\0\0\0\
    \x05\0\0\0\0\0\0\0wk-22\xa0\x86\x01\0\x00\0\0\0\x01\0\0\0";

/// The answer to cancellations: the revision that the peer's replica of the store has reached.
const REVISION: &[u8] = b"\x03\x01\0\0\0\0\0\0";

fn task_counts(job: &str, done: u32, running: u32) -> JobTaskCounts {
    JobTaskCounts {
        job: job.into(),
        done,
        running,
    }
}

#[test]
fn a_followers_view_is_written_and_read() {
    let view = View {
        node: "drover-1".into(),
        epoch: Epoch::new(7),
        revision: Revision::new(258),
        store_reachable: true,
        leader_changes_per_s: None,
        task_counts: None,
    };
    assert_eq!(encode(&view), FOLLOWER_VIEW);
    let read: View = decode(FOLLOWER_VIEW).unwrap();
    assert_eq!(read.node, "drover-1");
    assert_eq!(read.epoch.as_u64(), 7);
    assert_eq!(read.revision, Revision::new(258));
    assert!(read.store_reachable);
    assert_eq!(read.leader_changes_per_s, None);
    assert_eq!(read.task_counts, None);
}

#[test]
fn a_leaders_view_is_written_and_read() {
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
    let read: View = decode(LEADER_VIEW).unwrap();
    assert_eq!(read.node, "drover-0");
    assert_eq!(read.epoch.as_u64(), 8);
    assert_eq!(read.revision, Revision::new(259));
    assert!(!read.store_reachable);
    assert_eq!(read.leader_changes_per_s, Some(2.5));
    assert_eq!(
        read.task_counts,
        Some(vec![
            task_counts("wk-1", 5, 6),
            task_counts("wk-22", 256, 10)
        ])
    );
}

#[test]
fn cancellations_are_written_and_read() {
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
    let read: Cancelled = decode(CANCELLATIONS).unwrap();
    assert_eq!(read.jobs, jobs);
}

#[test]
fn the_answer_to_cancellations_is_written_and_read() {
    assert_eq!(encode(&Revision::new(259)), REVISION);
    assert_eq!(decode::<Revision>(REVISION), Some(Revision::new(259)));
}

#[test]
fn a_message_that_breaks_off_is_refused() {
    assert!(decode::<View>(&FOLLOWER_VIEW[..FOLLOWER_VIEW.len() - 1]).is_none());
    assert!(decode::<Cancelled>(&CANCELLATIONS[..CANCELLATIONS.len() - 1]).is_none());
    assert!(decode::<Revision>(&REVISION[..7]).is_none());
}
