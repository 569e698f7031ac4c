//! A start in the reply to a heartbeat while that reply is held up on its way to the worker: which events prove that the task is
//! not there, and which do not.

use super::*;

/// Started tasks, each with its attempt number.
type Started = Vec<(String, u64)>;

/// A machine whose worker waits for the reply to a heartbeat. The reply starts `wk-new/0`.
struct DelayedReply {
    cluster: Cluster,
    reply: HeartbeatReply,
    /// A direct command that stops another task of the machine, sent after the reply.
    stop: DirectCommands,
}

/// Returns a cluster with the machine n-1, to which `wk-ended/0` and `wk-cancelled/0` were sent directly, and these two.
fn cluster_with_direct_starts() -> (Cluster, [Started; 2]) {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-ended", 1), 101);
    cluster.submit(spec("wk-cancelled", 1), 102);
    cluster.run_round(2000);
    let sent = cluster.scheduler.direct_commands(9);
    let started = starts(&sent[0].commands);
    cluster.respond(&sent[0], &as_running(&started));
    let of_job = |name: &str| {
        let tasks = started.iter().filter(|(task, _)| task == name);
        tasks.cloned().collect()
    };
    let tasks = ["wk-ended/0", "wk-cancelled/0"].map(of_job);
    (cluster, tasks)
}

/// Returns a cluster in which n-1 got a reply with a start, of which nothing has arrived. If `raises_token`, the reply also lets
/// the worker forget a task that was started directly, and therefore carries a higher token than the heartbeat.
fn delayed_reply(raises_token: bool) -> DelayedReply {
    let (mut cluster, [ended, cancelled]) = cluster_with_direct_starts();
    let mut reported = as_running(&cancelled);
    if raises_token {
        reported.extend(as_exited(&ended, ExitReason::Done));
        cluster.heartbeat("n-1", &reported);
        assert_eq!(cluster.scheduler.complete_jobs().len(), 1);
        cluster.scheduler.stop_job("wk-ended");
        cluster.scheduler.remove_stopped_jobs();
    } else {
        reported.extend(as_running(&ended));
    }
    cluster.submit(spec("wk-new", 1), 103);
    cluster.run_round(2500);
    let status = cluster.next_status("n-1", first_token(EPOCH), &reported);
    let source = HeartbeatSource::Request { may_start: true };
    let reply = match cluster.scheduler.handle_heartbeat(&status, source) {
        HeartbeatDecision::Reply(reply) => reply,
        other => panic!("{other:?}"),
    };
    assert_eq!(starts(&reply.commands)[0].0, "wk-new/0");
    assert_eq!(reply.token, first_token(EPOCH) + u64::from(raises_token));
    cluster.scheduler.stop_job("wk-cancelled");
    let stop = cluster.scheduler.direct_commands(9).remove(0);
    DelayedReply {
        cluster,
        reply,
        stop,
    }
}

impl DelayedReply {
    /// Reports whether the scheduler takes the task for gone, so that it is started again.
    fn is_taken_for_gone(&self) -> bool {
        let mut jobs = self.cluster.scheduler.jobs();
        jobs.any(|job| job.id() == "wk-new" && job.pending() > 0)
    }
}

/// Guards against `ran_twice`: a second start while the first one is in a reply on its way, under a token that the reply raises.
#[test]
fn a_direct_response_proves_nothing_about_a_start_in_a_reply_that_raises_the_token() {
    for raises_token in [false, true] {
        let mut delayed = delayed_reply(raises_token);
        // The worker executes the direct stop, which shows it the token of the reply but not the start in it.
        let (stop, token) = (delayed.stop.clone(), delayed.reply.token);
        assert_eq!(stop.token, token);
        let response = delayed.cluster.next_status("n-1", token, &[]);
        delayed
            .cluster
            .scheduler
            .handle_direct_response(&stop, Some(&response));
        assert!(!delayed.is_taken_for_gone(), "raises_token: {raises_token}");
    }
}
