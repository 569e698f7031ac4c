//! Booting machines that a new leader has inherited from earlier epochs.

use super::*;

#[test]
fn an_inherited_machine_counts_as_booting_only_once_it_is_listed() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.submit(spec("wk-1", 2), 101);
    cluster.run_round(1100);
    assert_eq!(cluster.unmet_tasks(), 2);
    let i = cluster.scheduler.machine_index("n-1").unwrap();
    cluster.scheduler.record_listing(i, false, "", ms(0));
    assert!(cluster.scheduler.unmet_demand(false).is_empty());
    // A machine that is listed as running is unresponsive if it sends no heartbeat.
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
fn the_boot_timeout_counts_from_the_rental_also_for_a_new_leader() {
    let mut cluster = Cluster::new();
    cluster.submit(spec("wk-1", 2), 101);
    cluster.inherit_machine("n-1");
    cluster.inherit_machine("n-2");
    let (booting, running) = (
        cluster.scheduler.machine_index("n-1").unwrap(),
        cluster.scheduler.machine_index("n-2").unwrap(),
    );
    cluster.run_round(5000);
    // Both were rented 70 s before this epoch began. A later list shows one of them as running.
    for i in [booting, running] {
        cluster.scheduler.record_listing(i, false, "", ms(74_000));
    }
    let timed_out = |cluster: &Cluster, i: MachineIndex| {
        cluster
            .scheduler
            .boot_timed_out(cluster.scheduler.machine(i))
    };
    // Both have exceeded their expected boot time of 60 s and no longer count as available soon.
    assert_eq!(cluster.unmet_tasks(), 2);
    cluster.advance_to(18_000);
    cluster
        .scheduler
        .record_listing(running, true, "1.2.3.4:9", ms(87_000));
    // A list may be older than the one received before it, so a lower age does not extend the timeout.
    cluster
        .scheduler
        .record_listing(booting, false, "", ms(80_000));
    assert!(!timed_out(&cluster, booting));
    // The timeout is 90 s: 1.5 times the expected boot time, which is twice the nominal 30 s. Counted from the beginning of the
    // epoch, it was once 72 s longer.
    cluster.advance_to(22_000);
    assert!(timed_out(&cluster, booting) && !timed_out(&cluster, running));
    let (offer, avoid_for) = cluster.scheduler.abandon_boot(booting).unwrap();
    assert_eq!(
        (offer, avoid_for),
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
    // An implausible age causes neither an overflow nor a boot timeout of a machine that was listed as running.
    cluster
        .scheduler
        .record_listing(running, false, "", ms(u64::MAX));
    assert!(!timed_out(&cluster, running));
}
