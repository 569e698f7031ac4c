//! Failover: a new leader rebuilds everything from a store as its predecessor has left it. The store is given as literal text
//! and literal records, so that this also holds between versions.

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

/// The predecessor's epoch is 6: its attempts begin with 6, and the new leader's token is this.
const TOKEN: u64 = 0x700_0000;
/// Revision of the claim.
const CLAIMED_AT: Revision = Revision::new(301);

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

/// Everything that the predecessor has stored, with its versions.
fn stored() -> Vec<(&'static str, Value, u64)> {
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
        // The predecessor has not seen the cloud's answer to this one.
        (
            "hollowswitch/hire/drover-1-70-2",
            cbor!({"machine_type" => "m8", "zone" => "b", "spot" => true, "count" => 3, "machines" => null}).unwrap(),
            204,
        ),
        // Task 0 is done, task 1 runs on n-1, task 2 may run on n-2, task 3 was never started.
        ("hollowswitch/live/wk-1", live_record("wk-1", 4), 205),
        ("hollowswitch/done/wk-1/0", cbor!("01").unwrap(), 206),
        // It was on a machine that no rental names any more.
        ("hollowswitch/live/wk-2", live_record("wk-2", 1), 207),
        // Cancelled, but its task still runs on n-1.
        ("hollowswitch/stopping/wk-3", live_record("wk-3", 1), 208),
        ("hollowswitch/over/wk-3", cbor!({"cancelled" => true, "tasks" => 1}).unwrap(), 208),
        // Finished: only a range of its results is left.
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

/// A controller that has read this store, has claimed the next epoch and leads it.
fn new_leader(records: Vec<(&'static str, Value, u64)>) -> ControllerState {
    let mut settings = settings();
    settings.operator.direct_starts = false;
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
        epoch_version: CLAIMED_AT,
        lease: 88,
    };
    controller.apply_leadership_event(LeadershipEvent::CampaignWon {
        term,
        lease_requested_at: now,
    });
    let own = cbor!({"node" => "drover-0", "incarnation" => 77}).unwrap();
    let epoch = cbor!({"number" => 7, "leader" => own, "members" => [own], "logs_starts" => true});
    let claimed = vec![
        ("hollowswitch/leader", own, CLAIMED_AT.as_u64()),
        ("hollowswitch/epoch", epoch.unwrap(), CLAIMED_AT.as_u64()),
    ];
    let _ = controller.apply_watch_events(CLAIMED_AT, &put_events(claimed));
    controller.apply_leadership_event(LeadershipEvent::RevisionRead {
        requested_at: now,
        revision: CLAIMED_AT,
    });
    controller.start_epoch(Epoch::new(7));
    controller
}

/// A worker's report under the new leader's token.
fn report(machine: &str, sequence: u64, tasks: &[(&str, u64, TaskState)]) -> WorkerStatus {
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

/// Lets 100 ms pass, places what can be placed, makes its lines durable, and answers a report.
fn answer(controller: &mut ControllerState, report: &WorkerStatus) -> Vec<Command> {
    if let Clock::Scripted(now) = controller.clock() {
        now.set(now.get() + 100);
    }
    let limits = SendLimits {
        messages: 0,
        probes: 0,
    };
    let round = controller.run_scheduling_round(limits);
    assert!(matches!(round, RoundOutcome::Send(messages) if messages.is_empty()));
    let mut revision = 400 + report.sequence;
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

/// The tasks that are started and those that are stopped by commands.
fn started_and_stopped(commands: &[Command]) -> (Vec<&str>, Vec<&str>) {
    let started = commands.iter().filter_map(|order| match order {
        Command::Start { task, .. } => Some(task.as_str()),
        _ => None,
    });
    let stopped = commands.iter().filter_map(|order| match order {
        Command::Stop { task, .. } => Some(task.as_str()),
        _ => None,
    });
    let mut started: Vec<&str> = started.collect();
    started.sort_unstable();
    (started, stopped.collect())
}

const N1_TASKS: [(&str, u64, TaskState); 2] = [
    ("wk-1/1", 0x600_0002, TaskState::Running),
    ("wk-3/0", 0x600_0003, TaskState::Running),
];

#[test]
fn a_new_leader_starts_nothing_twice() {
    let mut controller = new_leader(stored());
    // Both machines may run something, until they have been heard.
    assert_eq!(controller.scheduler().unwrap().unreconciled_machines(), 2);
    let commands = answer(&mut controller, &report("n-1", 1, &N1_TASKS));
    assert_eq!(started_and_stopped(&commands), (vec![], vec!["wk-3/0"]));
    // wk-1/0 is done, wk-1/1 runs here, wk-1/2 may run on n-2; the older line that shows it here is void.
    let commands = answer(&mut controller, &report("n-1", 2, &N1_TASKS));
    assert_eq!(started_and_stopped(&commands).0, ["wk-1/3", "wk-2/0"]);
    let attempts: Vec<u64> = commands
        .iter()
        .filter_map(|order| match order {
            Command::Start { attempt, .. } => Some(*attempt),
            _ => None,
        })
        .collect();
    assert!(attempts.iter().all(|attempt| *attempt > TOKEN));
    // n-2 still runs its task: nothing to do there.
    let on_n2 = [("wk-1/2", 0x600_0006, TaskState::Running)];
    for sequence in [3, 4] {
        let commands = answer(&mut controller, &report("n-2", sequence, &on_n2));
        assert!(commands.is_empty(), "{commands:?}");
    }
    assert_eq!(controller.scheduler().unwrap().unreconciled_machines(), 0);
}

#[test]
fn a_new_leader_starts_again_what_a_machine_no_longer_has() {
    let mut controller = new_leader(stored());
    answer(&mut controller, &report("n-2", 1, &[]));
    let commands = answer(&mut controller, &report("n-2", 2, &[]));
    // Not the task of wk-1 that may be on n-1, nor the one that is done.
    assert_eq!(
        started_and_stopped(&commands),
        (vec!["wk-1/2", "wk-1/3", "wk-2/0"], vec![])
    );
}

#[test]
fn a_new_leader_forgets_nothing() {
    let mut controller = new_leader(stored());
    let view = controller.job_view("wk-1").unwrap();
    assert_eq!((view.state, view.done), (JobState::Queued, Some(1)));
    assert_eq!(controller.job_view("wk-2").unwrap().state, JobState::Queued);
    assert_eq!(
        controller.job_view("wk-3").unwrap().state,
        JobState::Cancelled
    );
    assert_eq!(controller.job_view("wk-4").unwrap().state, JobState::Done);
    assert!(controller.job_view("wk-5").is_none());
    // The request without an answer is still there to be repeated under its name.
    let open = &controller.replica().rentals["drover-1-70-2"];
    assert_eq!((open.version.as_u64(), &open.record.machines), (204, &None));
    let scheduler = controller.scheduler().unwrap();
    assert!(scheduler.is_known("n-1") && scheduler.is_known("n-2") && !scheduler.is_known("n-9"));
    // The cancelled job stays among those being stopped until its task is gone; only results of finished jobs are dropped.
    let epoch = controller.write_guard().unwrap();
    assert_eq!(
        (epoch.key.as_str(), epoch.version),
        ("hollowswitch/epoch", CLAIMED_AT)
    );
    assert_eq!(dropped(&mut controller), ["hollowswitch/done/wk-4/0"]);
    answer(&mut controller, &report("n-1", 1, &N1_TASKS));
    assert_eq!(dropped(&mut controller), ["hollowswitch/done/wk-4/0"]);
    answer(&mut controller, &report("n-1", 2, &N1_TASKS[..1]));
    assert_eq!(
        dropped(&mut controller),
        ["hollowswitch/stopping/wk-3", "hollowswitch/done/wk-4/0"]
    );
    // A result is added to the stored range, under the versions that were read.
    let exited = [("wk-1/1", 0x600_0002, TaskState::Exited)];
    answer(&mut controller, &report("n-1", 3, &exited));
    let txn = controller.results_to_store(&epoch).unwrap().txn;
    let guarded: Vec<(&str, u64)> = txn
        .guards
        .iter()
        .map(|guard| (guard.key.as_str(), guard.version.as_u64()))
        .collect();
    assert_eq!(
        guarded,
        [
            ("hollowswitch/epoch", CLAIMED_AT.as_u64()),
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

/// The keys that would be dropped now.
fn dropped(controller: &mut ControllerState) -> Vec<String> {
    let epoch = controller.write_guard().unwrap();
    let txn = controller.final_job_cleanup(&epoch).unwrap();
    let key = |change: &Change| match change {
        Change::Delete { key } => key.clone(),
        Change::Put { .. } => panic!("{change:?}"),
    };
    txn.apply.iter().map(key).collect()
}

#[test]
fn after_a_version_before_the_start_log_every_lease_is_waited_for() {
    let mut records = stored();
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
        // The tasks that n-1 reports are taken over, the cancelled one is stopped, and nothing is started.
        let commands = answer(&mut controller, &report("n-1", sequence, &N1_TASKS));
        assert!(started_and_stopped(&commands).0.is_empty(), "{commands:?}");
    }
    assert_eq!(controller.job_view("wk-1").unwrap().running, Some(1));
}
