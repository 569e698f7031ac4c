//! Machines that boot, as a new leader finds them.

use super::*;

#[test]
fn a_new_leader_counts_on_a_machine_of_an_earlier_rental_only_once_it_is_listed() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.submit(spec("wk-1", 2), 101);
    cluster.run_round(1100);
    assert_eq!(cluster.unmet_tasks(), 2);
    let i = cluster.scheduler.machine_index("n-1").unwrap();
    cluster.scheduler.record_listing(i, false, "", ms(0));
    assert!(cluster.scheduler.unmet_demand(false).is_empty());
    // Listed as running, it is missed if it does not report.
    cluster
        .scheduler
        .record_listing(i, true, "1.2.3.4:9", ms(0));
    cluster.advance_to(9000);
    assert_eq!(
        cluster.scheduler.unresponsive_machines(ms(5000), ms(9000)),
        vec![i]
    );
    assert_eq!(cluster.scheduler.due_probes(9).len(), 1);
}

#[test]
fn a_machine_that_never_comes_up_is_given_up_by_its_age_also_by_a_new_leader() {
    let mut cluster = Cluster::new();
    cluster.submit(spec("wk-1", 2), 101);
    cluster.inherit_machine("n-1");
    cluster.inherit_machine("n-2");
    let (late, up) = (
        cluster.scheduler.machine_index("n-1").unwrap(),
        cluster.scheduler.machine_index("n-2").unwrap(),
    );
    cluster.run_round(5000);
    // Both were rented 70 s before this epoch began; then the list shows one of them running.
    for i in [late, up] {
        cluster.scheduler.record_listing(i, false, "", ms(74_000));
    }
    let never = |cluster: &Cluster, i: MachineIndex| {
        cluster
            .scheduler
            .boot_timed_out(cluster.scheduler.machine(i))
    };
    // Past the time in which it was expected, it counts no more as room to come.
    assert_eq!(cluster.unmet_tasks(), 2);
    cluster.advance_to(18_000);
    cluster
        .scheduler
        .record_listing(up, true, "1.2.3.4:9", ms(87_000));
    // A list may be older than the one before it, and is no reason to wait longer.
    cluster
        .scheduler
        .record_listing(late, false, "", ms(80_000));
    assert!(!never(&cluster, late));
    // 90 s: 1.5 times twice the nominal 30 s. Counted from the epoch's beginning it was once 72 s more.
    cluster.advance_to(22_000);
    assert!(never(&cluster, late) && !never(&cluster, up));
    let (offer, pause_ms) = cluster.scheduler.abandon_boot(late).unwrap();
    assert_eq!(
        (offer, pause_ms),
        (
            Offer {
                machine_type: MachineTypeIndex::from_position(0),
                zone: ZoneIndex::from_position(0),
                spot: false
            },
            ms(91_000)
        )
    );
    assert_eq!(cluster.scheduler.machines_to_release(9), ["n-1"]);
    // A list that nobody can believe does no harm.
    cluster
        .scheduler
        .record_listing(up, false, "", ms(u64::MAX));
    assert!(!never(&cluster, up));
}
