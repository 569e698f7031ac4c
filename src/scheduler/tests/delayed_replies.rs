//! A start in the reply to a heartbeat while that reply is held up on its way to the worker: which events prove that the task is
//! not there, and which do not.

use super::cluster::scheduler_of_epoch;
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
    /// Returns a probe of n-1 under its current token.
    fn probe(&self) -> DirectCommands {
        let scheduler = &self.cluster.scheduler;
        let machine = scheduler.machine(scheduler.machine_index("n-1").unwrap());
        DirectCommands {
            token: scheduler.token(machine),
            commands: Vec::new(),
            ..self.stop.clone()
        }
    }

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

/// Guards against `ran_twice`: a probe is a direct command without commands, and its response overtakes a reply just as well.
#[test]
fn a_probe_response_proves_nothing_about_a_start_in_a_reply_that_raises_the_token() {
    let mut delayed = delayed_reply(true);
    let (probe, token) = (delayed.probe(), delayed.reply.token);
    let response = delayed.cluster.next_status("n-1", token, &[]);
    let scheduler = &mut delayed.cluster.scheduler;
    scheduler.handle_direct_response(&probe, Some(&response));
    assert!(!delayed.is_taken_for_gone());
}

/// Guards against `ran_twice`: another attempt of the task that is listed does not show that the sent one is void.
#[test]
fn another_attempt_in_a_direct_response_does_not_replace_a_start_in_a_reply_in_transit() {
    for raises_token in [false, true] {
        let mut delayed = delayed_reply(raises_token);
        let sent = starts(&delayed.reply.commands);
        let other = ("wk-new/0", 7, TaskState::Running, None);
        let (stop, token) = (delayed.stop.clone(), delayed.reply.token);
        let response = delayed.cluster.next_status("n-1", token, &[other]);
        let scheduler = &mut delayed.cluster.scheduler;
        scheduler.handle_direct_response(&stop, Some(&response));
        let task = scheduler.find_task("wk-new/0").unwrap();
        let active = scheduler.attempt(task).map(|active| active.attempt);
        assert_eq!(active, Some(sent[0].1), "raises_token: {raises_token}");
    }
}

/// Guards against `ran_twice`: before its next request under the raised token, a worker may still execute the reply.
#[test]
fn only_the_next_request_under_the_raised_token_proves_that_the_reply_was_lost() {
    let mut delayed = delayed_reply(true);
    delayed.cluster.heartbeat("n-1", &[]);
    assert!(
        !delayed.is_taken_for_gone(),
        "a request under the old token"
    );
    let status = delayed.cluster.next_status("n-1", delayed.reply.token, &[]);
    let source = HeartbeatSource::Request { may_start: true };
    delayed.cluster.scheduler.handle_heartbeat(&status, source);
    assert!(
        delayed.is_taken_for_gone(),
        "a request under the raised token"
    );
}

/// Guards against `ran_twice`: a copy of a request from before the start is no newer than the request that got the reply.
#[test]
fn a_copy_of_an_earlier_request_proves_nothing_about_a_start_in_a_reply_in_transit() {
    let mut delayed = delayed_reply(true);
    let mut copy = delayed.cluster.next_status("n-1", delayed.reply.token, &[]);
    copy.sequence = 1;
    let source = HeartbeatSource::Request { may_start: true };
    delayed.cluster.scheduler.handle_heartbeat(&copy, source);
    assert!(!delayed.is_taken_for_gone());
}

/// Guards against `ran_twice`: without a response the token advances, and only a worker that has seen the new token ignores the
/// reply that is still on its way.
#[test]
fn a_start_in_a_reply_is_void_only_for_a_worker_that_has_seen_a_later_token() {
    let mut delayed = delayed_reply(true);
    let stop = delayed.stop.clone();
    delayed
        .cluster
        .scheduler
        .handle_direct_response(&stop, None);
    let probe = delayed.probe();
    for (token, is_gone) in [(delayed.reply.token, false), (probe.token, true)] {
        let response = delayed.cluster.next_status("n-1", token, &[]);
        let scheduler = &mut delayed.cluster.scheduler;
        scheduler.handle_direct_response(&probe, Some(&response));
        assert_eq!(delayed.is_taken_for_gone(), is_gone);
    }
    assert!(delayed.reply.token < probe.token);
}

/// Guards against `ran_twice`: the reply renews the lease, so it may be executed until the lease has expired from its sending on.
#[test]
fn a_start_in_a_reply_in_transit_counts_until_the_lease_has_certainly_expired() {
    let mut delayed = delayed_reply(true);
    delayed.cluster.advance_to(2500 + LEASE_MS);
    assert!(!delayed.is_taken_for_gone());
    delayed.cluster.advance_to(2500 + LEASE_MS + 1000);
    assert!(delayed.is_taken_for_gone());
}

/// Guards against `ran_twice`: to a new leader, a start of an earlier epoch is void only once the worker has seen the new token.
#[test]
fn a_start_in_a_reply_of_an_earlier_leader_is_void_only_under_the_new_token() {
    let delayed = delayed_reply(true);
    let sent = starts(&delayed.reply.commands);
    let next = EPOCH.next();
    let mut successor = Cluster::with_scheduler(scheduler_of_epoch(next, u64::MAX, 3000));
    successor.inherit_machine("n-1");
    successor.submit(spec("wk-new", 1), 103);
    successor.replay(&[("n-1", "wk-new/0", sent[0].1)]);
    let mut successor = DelayedReply {
        cluster: successor,
        ..delayed
    };
    for (token, is_gone) in [(successor.reply.token, false), (first_token(next), true)] {
        let probe = successor.probe();
        let response = successor.cluster.next_status("n-1", token, &[]);
        let scheduler = &mut successor.cluster.scheduler;
        scheduler.handle_direct_response(&probe, Some(&response));
        assert_eq!(successor.is_taken_for_gone(), is_gone);
    }
    assert!(successor.reply.token < first_token(next));
}

/// Guards against `ran_twice`: a machine that is to be released may execute the reply until the cloud has confirmed the release.
#[test]
fn a_start_in_a_reply_in_transit_counts_until_the_release_is_confirmed() {
    let mut delayed = delayed_reply(true);
    let scheduler = &mut delayed.cluster.scheduler;
    let machine = scheduler.machine_index("n-1").unwrap();
    scheduler.set_machine_state(machine, MachineState::Releasing, "test");
    let (probe, token) = (delayed.probe(), delayed.reply.token);
    let response = delayed.cluster.next_status("n-1", token, &[]);
    let scheduler = &mut delayed.cluster.scheduler;
    scheduler.handle_direct_response(&probe, Some(&response));
    assert!(!delayed.is_taken_for_gone());
    delayed.cluster.scheduler.machine_gone("n-1");
    assert!(delayed.is_taken_for_gone());
}

/// Guards against `ran_twice`: the end of another attempt, with or without a result, is not the end of the one that was sent.
#[test]
fn the_end_of_another_attempt_does_not_end_a_start_in_a_reply_in_transit() {
    for reason in [
        ExitReason::Done,
        ExitReason::Error,
        ExitReason::ConflictingAttempt,
    ] {
        let mut delayed = delayed_reply(true);
        let (stop, token) = (delayed.stop.clone(), delayed.reply.token);
        let other = ("wk-new/0", 7, TaskState::Exited, Some(reason));
        let response = delayed.cluster.next_status("n-1", token, &[other]);
        let scheduler = &mut delayed.cluster.scheduler;
        scheduler.handle_direct_response(&stop, Some(&response));
        assert!(scheduler.complete_jobs().is_empty(), "{reason:?}");
        let task = scheduler.find_task("wk-new/0").unwrap();
        assert!(scheduler.attempt(task).is_some(), "{reason:?}");
    }
}

/// Guards against `ran_twice`: a response that shows a later epoch ends this one and proves nothing to it.
#[test]
fn a_direct_response_under_a_later_epoch_proves_nothing() {
    let mut delayed = delayed_reply(true);
    let stop = delayed.stop.clone();
    let later = first_token(EPOCH.next());
    let response = delayed.cluster.next_status("n-1", later, &[]);
    let scheduler = &mut delayed.cluster.scheduler;
    scheduler.handle_direct_response(&stop, Some(&response));
    assert!(!delayed.is_taken_for_gone());
}

/// Guards against `ran_twice`: in a new session the reply to the earlier one is void, but the worker has to acknowledge a token
/// that was given after the session became known.
#[test]
fn a_new_session_voids_a_reply_in_transit_only_under_the_token_that_follows_it() {
    let mut delayed = delayed_reply(true);
    for (advances, is_gone) in [(0, false), (1, true)] {
        let (probe, token) = (delayed.probe(), delayed.reply.token + advances);
        let mut response = delayed.cluster.next_status("n-1", token, &[]);
        response.session = 2;
        let scheduler = &mut delayed.cluster.scheduler;
        scheduler.handle_direct_response(&probe, Some(&response));
        assert_eq!(delayed.is_taken_for_gone(), is_gone);
    }
}

/// Guards against `ran_twice`: a write of the start log that took effect late, after its start was given up here.
#[test]
fn an_unanswered_log_write_names_a_place_that_a_new_leader_waits_for() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    cluster.scheduler.place();
    let write = cluster.scheduler.next_log_write(8000, 60).unwrap();
    let text = write.text.clone();
    cluster.scheduler.log_write_failed(write, None);
    let HeartbeatDecision::Reply(reply) = cluster.reply_without_pass("n-1") else {
        panic!("the machine is known");
    };
    assert!(
        starts(&reply.commands).is_empty(),
        "not durable as far as known"
    );
    let next = EPOCH.next();
    let mut successor = Cluster::with_scheduler(scheduler_of_epoch(next, u64::MAX, 3000));
    successor.inherit_machine("n-1");
    successor.submit(spec("wk-1", 1), 101);
    let slot = StoredSlot {
        number: 0,
        version: Revision::new(60),
        text: &text,
    };
    successor.scheduler.replay_start_log([slot].into_iter());
    let pending = |cluster: &Cluster| cluster.scheduler.jobs().map(Job::pending).sum::<u32>();
    assert_eq!(pending(&successor), 0);
    let status = successor.next_status("n-1", first_token(next), &[]);
    let source = HeartbeatSource::Request { may_start: false };
    successor.scheduler.handle_heartbeat(&status, source);
    assert_eq!(pending(&successor), 1);
}
