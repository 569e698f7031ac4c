//! Format of the start log's text.

use super::{concat, job_spec, machine_type};
use hollowswitch::protocol::{
    encode, Command, FencingToken, JobSpec, TaskState, TaskStatus, WorkerStatus,
};
use hollowswitch::resources::QuotaResources;
use hollowswitch::scheduler::{
    Hardware, HeartbeatDecision, HeartbeatSource, Origin, Params, Scheduler, StoredSlot, TeamQuota,
};
use hollowswitch::store::{guard, start_log_txn, Epoch, JobRecord, Revision};
use std::collections::HashMap;
use std::time::Duration;

/// Returns a scheduler in epoch 5 with one machine in each of two zones, and with jobs that fit on these machines.
fn scheduler() -> Scheduler {
    let params = Params {
        lease_duration: Duration::from_secs(12),
        heartbeat_interval: Duration::from_millis(1500),
        grace_period: Duration::from_secs(10),
        group_factor: 1.25,
        fetch_gb_per_s: 0.1,
        transfer_test: true,
        teams: vec![TeamQuota {
            name: "red".into(),
            guarantee: QuotaResources::ZERO,
            limit: QuotaResources::UNLIMITED,
        }],
        finish_within: HashMap::new(),
    };
    let mut scheduler = Scheduler::new(params, Epoch::new(5), 1000);
    scheduler.update_machine_types(&[machine_type()]);
    for (machine, zone) in [("n-1", "a"), ("n-2", "b")] {
        scheduler.add_machine(
            machine,
            Hardware {
                machine_type: "m8",
                zone,
                spot: false,
            },
            Origin::Inherited,
        );
    }
    for (id, tasks, zone, version) in [
        ("wk-1", 3, "a", 12),
        ("wk-2", 1, "a", 13),
        ("wk-3", 2, "b", 14),
    ] {
        let spec = JobSpec {
            id: id.into(),
            tasks,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
            zone: Some(zone.into()),
            ..job_spec()
        };
        scheduler.add_job(
            JobRecord { spec, at_ms: 0 },
            Revision::new(version),
            &[],
            0,
            false,
        );
    }
    scheduler
}

/// Returns a heartbeat with running tasks.
fn worker_status(
    machine: &str,
    zone: &str,
    address: &str,
    token: u64,
    tasks: &[(&str, u64)],
) -> WorkerStatus {
    WorkerStatus {
        machine: machine.into(),
        address: address.into(),
        machine_type: "m8".into(),
        zone: zone.into(),
        spot: false,
        session: 1,
        sequence: 1 + token % 7,
        token: FencingToken::new(token),
        termination_notice_s: None,
        tasks: tasks
            .iter()
            .map(|(task, attempt)| TaskStatus {
                task: (*task).into(),
                attempt: *attempt,
                state: TaskState::Running,
                reason: None,
                saved: None,
            })
            .collect(),
    }
}

/// Returns the commands in the scheduler's reply to a heartbeat.
fn reply_commands(scheduler: &mut Scheduler, status: &WorkerStatus) -> Vec<Command> {
    match scheduler.handle_heartbeat(status, HeartbeatSource::Request { may_start: true }) {
        HeartbeatDecision::Reply(reply) => reply.commands,
        other => panic!("{other:?}"),
    }
}

/// Fencing token of epoch 5.
const TOKEN: u64 = 0x500_0000;

#[test]
fn the_start_log_is_encoded_as_text() {
    let mut scheduler = scheduler();
    for token in [0, TOKEN] {
        reply_commands(
            &mut scheduler,
            &worker_status("n-1", "a", "1.2.3.4:9", token, &[]),
        );
        // An address with a space cannot be logged.
        reply_commands(
            &mut scheduler,
            &worker_status("n-2", "b", "a b", token, &[]),
        );
    }
    scheduler.place();
    let log_write = scheduler.next_log_write(8000, 60).unwrap();
    // The job with one task is placed first and the largest job last, which determines the order of guards and attempts.
    let expected = concat(&[
        b"\xa2\x66guards\x85",
        b"\xa2\x64path\x72hollowswitch/epoch\x65stamp\x0b",
        b"\xa2\x64path\x75hollowswitch/starts/0\x65stamp\x00",
        b"\xa2\x64path\x76hollowswitch/live/wk-2\x65stamp\x0d",
        b"\xa2\x64path\x76hollowswitch/live/wk-3\x65stamp\x0e",
        b"\xa2\x64path\x76hollowswitch/live/wk-1\x65stamp\x0c",
        b"\x65apply\x81",
        b"\xa2\x63put\x75hollowswitch/starts/0\x61v\x78\x61",
        b"n-1 1.2.3.4:9 /wk-1 0.5000004 1.5000005 2.5000006 /wk-2 0.5000001;",
        b"n-2 - /wk-3 0.5000002 1.5000003",
    ]);
    let epoch = guard("hollowswitch/epoch".into(), Revision::new(11));
    assert_eq!(
        String::from_utf8_lossy(&encode(&start_log_txn(&epoch, log_write.start_log_write()))),
        String::from_utf8_lossy(&expected)
    );
    assert_eq!(
        encode(&start_log_txn(&epoch, log_write.start_log_write())),
        expected
    );
}

fn stored_slot(number: u32, version: u64, text: &str) -> StoredSlot<'_> {
    StoredSlot {
        number,
        version: Revision::new(version),
        text,
    }
}

#[test]
fn the_start_log_is_replayed_from_its_text() {
    let mut scheduler = scheduler();
    let slots = [
        stored_slot(
            3,
            9,
            "n-1 1.2.3.4:9 /wk-1 0.4000001 2.400000a /wk-2 0.4000003;n-2 - /wk-3 1.4000004",
        ),
        // Malformed parts are ignored. Of several attempts of a task, the largest is the latest.
        stored_slot(
            8,
            10,
            "n-1 1.2.3.4:9 /wk-1 0.3ffffff x.1 1.xyz 99.1 /wk-77 0.1;n-2;;n-2 - 0.4000005",
        ),
        stored_slot(9, 11, ""),
    ];
    scheduler.replay_start_log(slots.into_iter());
    let pending: Vec<(&str, u32)> = scheduler
        .jobs()
        .map(|job| (job.record.spec.id.as_str(), job.pending()))
        .collect();
    assert_eq!(pending, [("wk-1", 1), ("wk-2", 0), ("wk-3", 1)]);
    assert_eq!(scheduler.unreconciled_machines(), 2);
    // The log contains the address, so that a machine can be probed before its first heartbeat.
    let probed: Vec<(String, String)> = scheduler
        .due_probes(9)
        .into_iter()
        .map(|probe| (probe.machine, probe.address))
        .collect();
    assert_eq!(probed, [("n-1".to_string(), "1.2.3.4:9".to_string())]);
    // Logged attempts are not stopped. A task that the log contains on another machine is.
    let logged = [
        ("wk-1/0", 0x400_0001),
        ("wk-1/2", 0x400_000a),
        ("wk-2/0", 0x400_0003),
    ];
    assert_eq!(
        reply_commands(
            &mut scheduler,
            &worker_status("n-1", "a", "1.2.3.4:9", TOKEN, &logged)
        ),
        []
    );
    let reported = [("wk-3/1", 0x400_0004), ("wk-1/0", 0x3ff_ffff)];
    let commands = reply_commands(
        &mut scheduler,
        &worker_status("n-2", "b", "1.2.3.5:9", TOKEN, &reported),
    );
    assert!(
        matches!(&commands[..], [Command::Stop { task, .. }] if task == "wk-1/0"),
        "{commands:?}"
    );
}
