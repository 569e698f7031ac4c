//! Failover: a new leader rebuilds its state from the records that its predecessor left in the store.
//!
//! Keys and records are literals and not built by the code under test, so that the tests also guard the takeover from a
//! predecessor of another version.

mod late_responses;
mod lowered_limits;

use crate::config::tests::settings;
use crate::controller::clock::Clock;
use crate::controller::state::{
    ControllerState, EpochClaim, PreparedStartLogWrite, RoundOutcome, SendLimits,
};
use crate::controller::HeartbeatOutcome;
use crate::coordination::leadership::{LeadershipEvent, Term};
use crate::protocol::{
    Change, Command, Event, ExitReason, FencingToken, JobState, TaskState, TaskStatus, WorkerStatus,
};
use crate::store::{Epoch, Replica, Revision, TxnOutcome};
use ciborium::{cbor, Value};
use std::cell::Cell;
use std::rc::Rc;

/// Fencing token of the new leader, whose epoch is 7. The epoch stands above the lower 24 bits of tokens and attempt numbers:
/// those of the predecessor, whose epoch is 6, begin at `0x600_0000`.
const TOKEN: u64 = 0x700_0000;
/// Revision at which the new leader's claim of its epoch was committed.
const CLAIM_REVISION: Revision = Revision::new(301);

/// Returns the record of an array job that is not final.
fn live_record(id: &str, tasks: u32) -> Value {
    cbor!({
        "spec" => {
            "id" => id, "lane" => "c", "crew" => "t", "shape" => "array", "rank" => "standard", "chores" => tasks,
            "cores" => 1.0, "cards" => 0.0, "memGb" => 1.0, "bundle" => "i", "pullGb" => 1.0, "breeds" => null,
            "yard" => null, "together" => false, "scatter" => false, "loaners" => true, "reckonS" => 60.0,
            "markEveryS" => 0.0, "stowS" => 0.0, "dueS" => null
        },
        "at_ms" => 500
    })
    .unwrap()
}

/// Returns the records that the predecessor stored, as keys, values and versions.
fn stored_records() -> Vec<(&'static str, Value, u64)> {
    let leader = cbor!({"node" => "drover-1", "incarnation" => 70}).unwrap();
    vec![
        (
            "hollowswitch/catalogue",
            cbor!([{
                "sku" => "m8", "cores" => 8.0, "cards" => 0.0, "memGb" => 32.0, "cacheGb" => 50.0,
                "fetchGbPerS" => 1.0, "price" => 1.0, "lowPrice" => 0.3, "startupS" => 30.0, "yards" => ["a", "b"]
            }])
            .unwrap(),
            201,
        ),
        (
            "hollowswitch/epoch",
            cbor!({"number" => 6, "leader" => leader, "members" => [leader], "logs_starts" => true}).unwrap(),
            202,
        ),
        (
            "hollowswitch/hire/drover-1-70-1",
            cbor!({
                "machine_type" => "m8", "zone" => "a", "spot" => false, "count" => 2, "machines" => ["n-1", "n-2"]
            })
            .unwrap(),
            203,
        ),
        // The predecessor did not receive the cloud's response to this request.
        (
            "hollowswitch/hire/drover-1-70-2",
            cbor!({"machine_type" => "m8", "zone" => "b", "spot" => true, "count" => 3, "machines" => null}).unwrap(),
            204,
        ),
        // Task 0 is done, task 1 runs on n-1, task 2 may run on n-2, and task 3 was never started.
        ("hollowswitch/live/wk-1", live_record("wk-1", 4), 205),
        ("hollowswitch/done/wk-1/0", cbor!("01").unwrap(), 206),
        // Its task was started on n-9, which no rental record names any more.
        ("hollowswitch/live/wk-2", live_record("wk-2", 1), 207),
        // Cancelled, but its task still runs on n-1.
        ("hollowswitch/stopping/wk-3", live_record("wk-3", 1), 208),
        ("hollowswitch/over/wk-3", cbor!({"cancelled" => true, "tasks" => 1}).unwrap(), 208),
        // Finished, with a chunk of results that is still to be deleted.
        ("hollowswitch/over/wk-4", cbor!({"cancelled" => false, "tasks" => 1}).unwrap(), 209),
        ("hollowswitch/done/wk-4/0", cbor!("01").unwrap(), 210),
        (
            "hollowswitch/starts/0",
            cbor!("n-1 1.2.3.4:9 /wk-1 1.6000002 /wk-3 0.6000003;n-9 - /wk-2 0.6000004").unwrap(),
            211,
        ),
        (
            "hollowswitch/starts/4",
            cbor!("n-1 1.2.3.4:9 /wk-1 2.6000001;n-2 1.2.3.5:9 /wk-1 0.6000005 2.6000006").unwrap(),
            212,
        ),
    ]
}

/// Returns the watch events that put the records.
fn put_events(records: Vec<(&'static str, Value, u64)>) -> Vec<Event> {
    records
        .into_iter()
        .map(|(key, value, version)| Event::Put {
            put: key.into(),
            value,
            version: Revision::new(version),
        })
        .collect()
}

/// Returns a controller that has loaded the records, has claimed the next epoch and leads it without direct starts.
fn new_leader(records: Vec<(&'static str, Value, u64)>) -> ControllerState {
    new_leader_with(records, false)
}

/// Returns a controller like [`new_leader`], with direct starts or without.
fn new_leader_with(
    records: Vec<(&'static str, Value, u64)>,
    direct_starts: bool,
) -> ControllerState {
    let mut settings = settings();
    settings.operator.direct_starts = direct_starts;
    let clock = Clock::Scripted(Rc::new(Cell::new(10_000)));
    let mut controller = ControllerState::new(settings, 77, clock);
    let mut replica = Replica::default();
    replica.apply(Revision::new(300), &put_events(records));
    replica.initialized = true;
    let _ = controller.replace_replica(replica);
    let now = controller.now();
    controller.apply_leadership_event(LeadershipEvent::CampaignStarted);
    let EpochClaim { txn, record } = controller.claim_epoch(88).expect("nobody leads");
    assert_eq!(record.number, Epoch::new(7));
    let guarded: Vec<(&str, u64)> = txn
        .guards
        .iter()
        .map(|guard| (guard.key.as_str(), guard.version.as_u64()))
        .collect();
    assert_eq!(
        guarded,
        [("hollowswitch/leader", 0), ("hollowswitch/epoch", 202)]
    );
    let term = Term {
        epoch: Epoch::new(7),
        epoch_version: CLAIM_REVISION,
        lease_id: 88,
    };
    controller.apply_leadership_event(LeadershipEvent::CampaignWon {
        term,
        lease_requested_at: now,
    });
    let own = cbor!({"node" => "drover-0", "incarnation" => 77}).unwrap();
    let epoch = cbor!({"number" => 7, "leader" => own, "members" => [own], "logs_starts" => true});
    let claimed = vec![
        ("hollowswitch/leader", own, CLAIM_REVISION.as_u64()),
        (
            "hollowswitch/epoch",
            epoch.unwrap(),
            CLAIM_REVISION.as_u64(),
        ),
    ];
    let _ = controller.apply_watch_events(CLAIM_REVISION, &put_events(claimed));
    controller.apply_leadership_event(LeadershipEvent::RevisionRead {
        requested_at: now,
        revision: CLAIM_REVISION,
    });
    controller.start_epoch(Epoch::new(7));
    controller
}

/// Returns a heartbeat that carries the new leader's token.
fn heartbeat(machine: &str, sequence: u64, tasks: &[(&str, u64, TaskState)]) -> WorkerStatus {
    let task = |(task, attempt, state): &(&str, u64, TaskState)| TaskStatus {
        task: (*task).into(),
        attempt: *attempt,
        state: *state,
        reason: (*state == TaskState::Exited).then_some(ExitReason::Done),
        saved: None,
    };
    WorkerStatus {
        machine: machine.into(),
        address: "1.2.3.4:9".into(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: false,
        session: 1,
        sequence,
        token: FencingToken::new(TOKEN),
        termination_notice_s: None,
        tasks: tasks.iter().map(task).collect(),
    }
}

/// Advances the clock by 100 ms, runs a scheduling round that sends nothing, and completes the writes of the start log, at
/// revisions after this one.
fn run_round(controller: &mut ControllerState, mut revision: u64) {
    if let Clock::Scripted(now) = controller.clock() {
        now.set(now.get() + 100);
    }
    let limits = SendLimits {
        messages: 0,
        probes: 0,
    };
    let round = controller.run_scheduling_round(limits);
    assert!(matches!(round, RoundOutcome::Send(messages) if messages.is_empty()));
    while let Some(write) = controller.next_start_log_write() {
        let PreparedStartLogWrite {
            slot_write, term, ..
        } = write;
        revision += 1;
        controller.finish_start_log_write(
            term,
            slot_write,
            &Ok(TxnOutcome::Applied(Revision::new(revision))),
            None,
        );
    }
}

/// Runs a scheduling round, and returns the commands in the reply to a heartbeat.
fn run_round_and_reply(controller: &mut ControllerState, report: &WorkerStatus) -> Vec<Command> {
    run_round(controller, 400 + report.sequence);
    match controller.handle_heartbeat(report) {
        HeartbeatOutcome::Reply(reply) => {
            assert_eq!(
                reply.token.as_u64() >> 24,
                7,
                "the epoch stands above the lower 24 bits"
            );
            reply.commands
        }
        other => panic!("{other:?}"),
    }
}

/// Returns the tasks that the commands start, sorted, and the tasks that they stop.
fn started_and_stopped(commands: &[Command]) -> (Vec<&str>, Vec<&str>) {
    let started = commands.iter().filter_map(|command| match command {
        Command::Start { task, .. } => Some(task.as_str()),
        _ => None,
    });
    let stopped = commands.iter().filter_map(|command| match command {
        Command::Stop { task, .. } => Some(task.as_str()),
        _ => None,
    });
    let mut started: Vec<&str> = started.collect();
    started.sort_unstable();
    (started, stopped.collect())
}

/// Tasks that n-1 still runs.
const N1_TASKS: [(&str, u64, TaskState); 2] = [
    ("wk-1/1", 0x600_0002, TaskState::Running),
    ("wk-3/0", 0x600_0003, TaskState::Running),
];

#[test]
fn a_new_leader_starts_no_task_twice() {
    let mut controller = new_leader(stored_records());
    // Both machines may hold tasks of earlier epochs until they have acknowledged the new leader's token.
    assert_eq!(controller.scheduler().unwrap().unreconciled_machines(), 2);
    let commands = run_round_and_reply(&mut controller, &heartbeat("n-1", 1, &N1_TASKS));
    assert_eq!(started_and_stopped(&commands), (vec![], vec!["wk-3/0"]));
    // wk-1/0 is done, wk-1/1 runs here, and wk-1/2 may run on n-2: its older entry, for n-1, is superseded.
    let commands = run_round_and_reply(&mut controller, &heartbeat("n-1", 2, &N1_TASKS));
    assert_eq!(started_and_stopped(&commands).0, ["wk-1/3", "wk-2/0"]);
    let attempts: Vec<u64> = commands
        .iter()
        .filter_map(|command| match command {
            Command::Start { attempt, .. } => Some(*attempt),
            _ => None,
        })
        .collect();
    assert!(attempts.iter().all(|attempt| *attempt > TOKEN));
    // n-2 still runs its task, and there is nothing left to start or to stop.
    let on_n2 = [("wk-1/2", 0x600_0006, TaskState::Running)];
    for sequence in [3, 4] {
        let commands = run_round_and_reply(&mut controller, &heartbeat("n-2", sequence, &on_n2));
        assert!(commands.is_empty(), "{commands:?}");
    }
    assert_eq!(controller.scheduler().unwrap().unreconciled_machines(), 0);
}

#[test]
fn a_new_leader_restarts_a_task_that_its_machine_no_longer_reports() {
    let mut controller = new_leader(stored_records());
    run_round_and_reply(&mut controller, &heartbeat("n-2", 1, &[]));
    let commands = run_round_and_reply(&mut controller, &heartbeat("n-2", 2, &[]));
    // wk-1/0 is done and wk-1/1 may still run on n-1, so neither is started.
    assert_eq!(
        started_and_stopped(&commands),
        (vec!["wk-1/2", "wk-1/3", "wk-2/0"], vec![])
    );
}

#[test]
fn a_new_leader_restores_jobs_rentals_cleanups_and_results() {
    let mut controller = new_leader(stored_records());
    let view = controller.job_view("wk-1").unwrap();
    assert_eq!((view.state, view.done), (JobState::Queued, Some(1)));
    assert_eq!(controller.job_view("wk-2").unwrap().state, JobState::Queued);
    assert_eq!(
        controller.job_view("wk-3").unwrap().state,
        JobState::Cancelled
    );
    assert_eq!(controller.job_view("wk-4").unwrap().state, JobState::Done);
    assert!(controller.job_view("wk-5").is_none());
    // The unanswered rental request is still open, to be repeated under its name.
    let open = &controller.replica().rentals["drover-1-70-2"];
    assert_eq!((open.version.as_u64(), &open.record.machines), (204, &None));
    let scheduler = controller.scheduler().unwrap();
    assert!(scheduler.is_known("n-1") && scheduler.is_known("n-2") && !scheduler.is_known("n-9"));
    // The stopping record of the cancelled job is kept until its task has ended; results of finished jobs are deleted at once.
    let epoch = controller.write_guard().unwrap();
    assert_eq!(
        (epoch.key.as_str(), epoch.version),
        ("hollowswitch/epoch", CLAIM_REVISION)
    );
    assert_eq!(cleanup_keys(&mut controller), ["hollowswitch/done/wk-4/0"]);
    run_round_and_reply(&mut controller, &heartbeat("n-1", 1, &N1_TASKS));
    assert_eq!(cleanup_keys(&mut controller), ["hollowswitch/done/wk-4/0"]);
    run_round_and_reply(&mut controller, &heartbeat("n-1", 2, &N1_TASKS[..1]));
    assert_eq!(
        cleanup_keys(&mut controller),
        ["hollowswitch/stopping/wk-3", "hollowswitch/done/wk-4/0"]
    );
    // A result is added to the stored chunk, guarded by the versions that were read.
    let exited = [("wk-1/1", 0x600_0002, TaskState::Exited)];
    run_round_and_reply(&mut controller, &heartbeat("n-1", 3, &exited));
    let txn = controller.results_to_store(&epoch).unwrap().txn;
    let guarded: Vec<(&str, u64)> = txn
        .guards
        .iter()
        .map(|guard| (guard.key.as_str(), guard.version.as_u64()))
        .collect();
    assert_eq!(
        guarded,
        [
            ("hollowswitch/epoch", CLAIM_REVISION.as_u64()),
            ("hollowswitch/live/wk-1", 205),
            ("hollowswitch/done/wk-1/0", 206)
        ]
    );
    let Change::Put { put, value, .. } = &txn.apply[0] else {
        panic!("{:?}", txn.apply)
    };
    assert_eq!(put, "hollowswitch/done/wk-1/0");
    assert_eq!(value, &cbor!("03").unwrap());
}

/// Returns the keys that the next cleanup would delete.
fn cleanup_keys(controller: &mut ControllerState) -> Vec<String> {
    let epoch = controller.write_guard().unwrap();
    let txn = controller.final_job_cleanup(&epoch).unwrap();
    let key = |change: &Change| match change {
        Change::Delete { key } => key.clone(),
        Change::Put { .. } => panic!("{change:?}"),
    };
    txn.apply.iter().map(key).collect()
}

/// A predecessor of a version before the start log left no record of its starts, so any machine may run any task until its lease
/// has expired.
#[test]
fn a_new_leader_starts_nothing_before_lease_expiry_if_its_predecessor_kept_no_start_log() {
    let mut records = stored_records();
    let old_leader = cbor!({"node" => "drover-1", "incarnation" => 70}).unwrap();
    let old = cbor!({"number" => 6, "leader" => old_leader, "members" => [old_leader]}).unwrap();
    for (key, value, _) in &mut records {
        if *key == "hollowswitch/epoch" {
            *value = old.clone();
        }
    }
    records.retain(|(key, ..)| !key.starts_with("hollowswitch/starts/"));
    let mut controller = new_leader(records);
    for sequence in 1..4 {
        // The tasks that n-1 reports are adopted, the cancelled one is stopped, and nothing is started.
        let commands = run_round_and_reply(&mut controller, &heartbeat("n-1", sequence, &N1_TASKS));
        assert!(started_and_stopped(&commands).0.is_empty(), "{commands:?}");
    }
    assert_eq!(controller.job_view("wk-1").unwrap().running, Some(1));
}
