//! Cancellations between controllers: nobody is told of one before the leader knows.

use super::world::World;
use crate::coordination::peers::{Cancelled, CancelledJob};
use crate::scheduler::tests::spec;

/// The two controllers that do not lead.
fn followers(w: &World) -> (usize, usize) {
    let leader = w.leader().unwrap();
    ((leader + 1) % 3, (leader + 2) % 3)
}

/// The leader's watch waits silently, and the node that took the cancellation does not reach it. The third node passes the
/// word on, so that the leader stops the job at once.
#[test]
fn a_cancellation_reaches_the_leader_by_way_of_the_third_node() {
    let mut w = World::new(3, 4);
    w.submit(spec("wk-1", 4), 600_000);
    w.run(5000);
    assert_eq!(w.running("wk-1"), 4);
    let (leader, (first, _)) = (w.leader().unwrap(), followers(&w));
    w.paths_cut.extend([(first, leader), (leader, first)]);
    w.watches_stuck = true;
    assert!(w.cancel(first, "wk-1"));
    w.run(1000);
    assert!(
        w.nodes[leader]
            .controller
            .as_ref()
            .unwrap()
            .replica
            .over("wk-1")
            .is_some(),
        "the leader was not told"
    );
    assert_eq!(w.running("wk-1"), 0);
    // The node that was asked does not know that the leader knows, and waits for the end of its authority.
    assert!(w.jobs["wk-1"].told.is_none());
    w.run(2000);
    assert!(w.jobs["wk-1"].told.is_some());
    assert!(w.broken.is_empty(), "{:#?}", w.broken);
}

/// A request to cancel that is repeated at another node is answered by that node's knowledge. A node that was told by the
/// first, but not the leader, once answered at once.
#[test]
fn a_node_that_was_told_of_a_cancellation_waits_for_the_leader_too() {
    let mut w = World::new(4, 4);
    w.submit(spec("wk-1", 4), 600_000);
    w.run(5000);
    let (leader, (_, second)) = (w.leader().unwrap(), followers(&w));
    let name = |node: usize| format!("drover-{node}");
    let controller = w.nodes[second].controller.as_mut().unwrap();
    let revision = controller.replica.revision + 1;
    controller.receive_cancellations(&Cancelled {
        jobs: vec![CancelledJob {
            job: "wk-1".into(),
            tasks: 4,
            revision,
        }],
    });
    assert!(controller.unsettled_cancellation("wk-1").is_some());
    // Its own mirror alone says nothing of the leader.
    controller.replica.revision = revision;
    assert!(controller.unsettled_cancellation("wk-1").is_some());
    let (Cancelled { jobs }, last) = controller.cancellations.message_for(&name(leader)).unwrap();
    assert_eq!(jobs[0].job, "wk-1");
    controller.cancellations.acknowledged(&name(leader), last);
    assert!(controller.unsettled_cancellation("wk-1").is_none());
}

/// A cancellation that a node reads from the store, told by nobody, is passed on as well.
#[test]
fn a_cancellation_that_was_read_from_the_store_is_told_to_the_leader() {
    let mut w = World::new(5, 4);
    let (leader, (first, _)) = (w.leader().unwrap(), followers(&w));
    let leader = format!("drover-{leader}");
    let controller = w.nodes[first].controller.as_mut().unwrap();
    let cancelled = |version| crate::store::Versioned {
        record: crate::store::OverRecord {
            cancelled: true,
            tasks: 4,
        },
        version,
    };
    // What the leader's mirror is known to hold costs no word.
    let revision = controller.replica.revision;
    controller
        .cancellations
        .peer_replica_reached(&leader, revision);
    controller.learn_final_state("wk-8", &cancelled(revision));
    assert!(controller.cancellations.message_for(&leader).is_none());
    controller.learn_final_state("wk-9", &cancelled(revision + 1));
    assert_eq!(
        controller
            .cancellations
            .message_for(&leader)
            .unwrap()
            .0
            .jobs[0]
            .job,
        "wk-9"
    );
    assert!(controller.replica.over("wk-8").is_some() && controller.replica.over("wk-9").is_some());
}
