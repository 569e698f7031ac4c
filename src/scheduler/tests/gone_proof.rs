//! Run-time checks of the invariant that a task is taken for gone only by a proof that fits what is recorded of its attempt.

use super::super::attempt::{Route, TaskEvent, TaskId};
use super::super::gone_proof::{GoneProof, Listing};
use super::*;

/// Returns a cluster in which `wk-1/0` was sent to n-1 directly, and that task.
fn cluster_with_a_sent_task() -> (Cluster, TaskId) {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    cluster.run_round(2000);
    assert_eq!(cluster.scheduler.direct_commands(9).len(), 1);
    let task = cluster.scheduler.find_task("wk-1/0").unwrap();
    (cluster, task)
}

/// Guards against `ran_twice`: a task whose start was sent, taken for one that was never sent.
#[test]
fn a_task_whose_start_was_sent_is_not_dropped_as_unsent() {
    let (mut cluster, task) = cluster_with_a_sent_task();
    let event = TaskEvent::Gone(GoneProof::NeverSent);
    cluster.scheduler.apply_event(task, event);
    assert!(cluster.scheduler.attempt(task).is_some());
}

/// Guards against `ran_twice`: a heartbeat under a token older than that of the start, taken for one under the current token.
#[test]
fn a_heartbeat_under_an_older_token_than_the_start_is_no_proof() {
    let (mut cluster, task) = cluster_with_a_sent_task();
    let listing = Listing {
        token: first_token(Epoch::new(4)),
        is_request: true,
        direct_in_flight: false,
    };
    let event = TaskEvent::Gone(GoneProof::NotListed(listing));
    cluster.scheduler.apply_event(task, event);
    assert!(cluster.scheduler.attempt(task).is_some());
}

/// Guards against `ran_twice`: a start that is recorded under another token than the one with which its message arrives.
#[test]
fn a_message_whose_token_has_changed_meanwhile_starts_nothing() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    cluster.run_round(2000);
    let machine = cluster.scheduler.machine_index("n-1").unwrap();
    for (advances, started) in [(true, 0), (false, 1)] {
        cluster.scheduler.request_pass();
        let mut message =
            cluster
                .scheduler
                .open_message(machine, Route::HeartbeatReply, Vec::new());
        cluster.scheduler.add_starts(&mut message);
        if advances {
            cluster.scheduler.advance_fencing_token(machine, "test");
        }
        let closed = cluster.scheduler.close_message(message);
        assert_eq!(starts(&closed.commands).len(), started);
        // The start that was not sent is given up at the worker's next request, and placed again.
        let token = first_token(EPOCH) + 1;
        cluster.heartbeat_with_token("n-1", token, &[]);
        cluster.run_round(2500);
    }
}
