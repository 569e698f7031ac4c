//! Machines that hold a job's image, and how long a task waits for one.

use super::*;
use crate::placement::ResourceClass;

#[test]
fn a_replica_does_not_wait_for_a_slightly_faster_holder() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.add_machine("n-2", "a");
    cluster.submit(
        JobSpec {
            cpus: 8.0,
            run_time_estimate_s: 300.0,
            ..spec("wk-1", 1)
        },
        101,
    );
    cluster.run_round(1100);
    let got = cluster.scheduler.direct_commands(9).remove(0);
    let task = starts(&got.commands).remove(0);
    cluster.respond(&got, &as_running(&[task]));
    // The holder is full and a little faster than the machine that has room.
    let holder = cluster.scheduler.machine_index(&got.machine).unwrap();
    cluster
        .scheduler
        .machine_mut(holder)
        .capability
        .record(ResourceClass::Cpu, 0.95);
    let other = MachineIndex::from_position(1 - holder.position());
    cluster
        .scheduler
        .machine_mut(other)
        .capability
        .record(ResourceClass::Cpu, 1.0);
    cluster.submit(
        JobSpec {
            kind: JobKind::Service,
            run_time_estimate_s: 0.0,
            ..spec("wk-2", 1)
        },
        102,
    );
    cluster.run_round(1200);
    assert_eq!(cluster.scheduler.direct_commands(9).len(), 1);
}

#[test]
fn no_job_waits_for_a_holder_while_another_machine_has_had_room_for_long() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.add_machine("n-2", "a");
    // A holder that is always full, whose place always seems about to come free, and a link on which a fetch takes longer.
    cluster.submit(
        JobSpec {
            cpus: 8.0,
            run_time_estimate_s: 400.0,
            ..spec("wk-1", 1)
        },
        101,
    );
    cluster.run_round(1100);
    let got = starts(&cluster.heartbeat("n-1", &[]));
    assert_eq!(got.len(), 1);
    cluster.heartbeat("n-1", &as_running(&got[..1]));
    cluster.submit(
        JobSpec {
            image_gb: 60.0,
            ..spec("wk-2", 1)
        },
        102,
    );
    for at in 2..100 {
        cluster.advance_to(at * 1000);
        cluster.run_round(at * 1000);
        cluster.heartbeat("n-1", &as_running(&got[..1]));
        if !starts(&cluster.heartbeat("n-2", &[])).is_empty() {
            assert!(at > 30, "the transfer test holds it back first");
            return;
        }
    }
    panic!("left waiting for 90 s while a machine had room");
}
