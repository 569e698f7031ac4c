//! Exchange of cancellations between controllers. A cancellation is confirmed to its user only once the leader knows of it or
//! has lost the authority to start tasks.

use super::simulation::{node_name, Simulation, NODES, SECOND};
use crate::coordination::peers::{Cancelled, CancelledJob};
use crate::scheduler::tests::spec;
use crate::store::{FinalRecord, Versioned};

/// The two controllers that do not lead.
struct Followers {
    first: usize,
    second: usize,
}

/// Returns the controllers other than the leader.
fn followers(leader: usize) -> Followers {
    Followers {
        first: (leader + 1) % NODES,
        second: (leader + 2) % NODES,
    }
}

/// The leader's watch is stalled, and the leader and the controller that accepted the cancellation do not reach each other. The
/// third controller must forward the cancellation, so that the leader stops the job at once.
#[test]
fn a_third_controller_forwards_a_cancellation_when_the_accepting_one_cannot_reach_the_leader() {
    let mut simulation = Simulation::new(3, 4);
    simulation.submit(spec("wk-1", 4), 600 * SECOND);
    simulation.run(5 * SECOND);
    assert_eq!(simulation.running_task_count("wk-1"), 4);
    let leader = simulation.leader().unwrap();
    let Followers { first, .. } = followers(leader);
    let cut_paths = [(first, leader), (leader, first)];
    simulation.faults.cut_paths.extend(cut_paths);
    simulation.faults.watches_stay_stalled = true;
    assert!(simulation.cancel(first, "wk-1"));
    simulation.run(SECOND);
    assert!(
        simulation.nodes[leader]
            .running_controller()
            .replica()
            .final_state("wk-1")
            .is_some(),
        "the leader does not know of the cancellation"
    );
    assert_eq!(simulation.running_task_count("wk-1"), 0);
    // The controller that accepted the cancellation cannot tell that the leader knows of it, and waits until the leader's
    // authority has expired.
    assert!(!simulation.cancellation_is_confirmed("wk-1"));
    simulation.run(2 * SECOND);
    assert!(simulation.cancellation_is_confirmed("wk-1"));
    simulation.assert_no_violations();
}

/// A repeated cancellation request is answered from the state of the controller that receives it. A controller that had been
/// notified by the first one used to confirm the cancellation at once, before the leader had been notified.
#[test]
fn a_controller_notified_of_a_cancellation_confirms_it_only_once_the_leader_knows() {
    let mut simulation = Simulation::new(4, 4);
    simulation.submit(spec("wk-1", 4), 600 * SECOND);
    simulation.run(5 * SECOND);
    let leader = simulation.leader().unwrap();
    let Followers { second, .. } = followers(leader);
    let controller = simulation.nodes[second].running_controller_mut();
    let revision = controller.replica().revision.next();
    controller.receive_cancellations(&Cancelled {
        jobs: vec![CancelledJob {
            job: "wk-1".into(),
            tasks: 4,
            revision,
        }],
    });
    assert!(controller.unsettled_cancellation("wk-1").is_some());
    // Its own replica has reached the revision, but the leader's may not have.
    controller.replica_mut().revision = revision;
    assert!(controller.unsettled_cancellation("wk-1").is_some());
    let leader = node_name(leader);
    let (Cancelled { jobs }, last) = controller.cancellation_message_for(&leader).unwrap();
    assert_eq!(jobs[0].job, "wk-1");
    controller
        .cancellations_mut()
        .record_acknowledgement(&leader, last);
    assert!(controller.unsettled_cancellation("wk-1").is_none());
}

/// A controller must also forward a cancellation that it learns of only by reading the final state of the job from the store.
#[test]
fn a_cancellation_read_from_the_store_is_sent_to_the_leader() {
    let mut simulation = Simulation::new(5, 4);
    let leader = simulation.leader().unwrap();
    let Followers { first, .. } = followers(leader);
    let leader = node_name(leader);
    let controller = simulation.nodes[first].running_controller_mut();
    let cancelled = |version| Versioned {
        record: FinalRecord {
            cancelled: true,
            tasks: 4,
        },
        version,
    };
    // The leader's replica is known to contain the first cancellation, which is therefore not sent.
    let revision = controller.replica().revision;
    controller
        .cancellations_mut()
        .record_peer_revision(&leader, revision);
    controller.record_final_state("wk-8", &cancelled(revision));
    assert!(controller.cancellation_message_for(&leader).is_none());
    controller.record_final_state("wk-9", &cancelled(revision.next()));
    assert_eq!(
        controller.cancellation_message_for(&leader).unwrap().0.jobs[0].job,
        "wk-9"
    );
    assert!(
        controller.replica().final_state("wk-8").is_some()
            && controller.replica().final_state("wk-9").is_some()
    );
}
