//! Image holders, and how long a task waits for a slot on one.

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
    let sent = cluster.scheduler.direct_commands(9).remove(0);
    let task = starts(&sent.commands).remove(0);
    cluster.respond(&sent, &as_running(&[task]));
    // The holder is full and slightly faster than the machine with free resources.
    let holder = cluster.scheduler.machine_index(&sent.machine).unwrap();
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
fn no_job_waits_long_for_a_holder_while_another_machine_has_free_resources() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.add_machine("n-2", "a");
    // The holder is always full, its slot is always expected to become free soon, and fetching the image over the slow link
    // takes longer than that.
    cluster.submit(
        JobSpec {
            cpus: 8.0,
            run_time_estimate_s: 400.0,
            ..spec("wk-1", 1)
        },
        101,
    );
    cluster.run_round(1100);
    let started = starts(&cluster.heartbeat("n-1", &[]));
    assert_eq!(started.len(), 1);
    cluster.heartbeat("n-1", &as_running(&started[..1]));
    cluster.submit(
        JobSpec {
            image_gb: 60.0,
            ..spec("wk-2", 1)
        },
        102,
    );
    for second in 2..100 {
        cluster.advance_to(second * 1000);
        cluster.run_round(second * 1000);
        cluster.heartbeat("n-1", &as_running(&started[..1]));
        if !starts(&cluster.heartbeat("n-2", &[])).is_empty() {
            assert!(second > 30, "the transfer test lets the task wait at first");
            return;
        }
    }
    panic!("the task waited for 90 s while a machine had free resources");
}
