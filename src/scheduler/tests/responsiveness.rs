//! Silent machines, zone outages and an isolated leader, and the order in which machines are probed and released.

use super::*;
use std::collections::HashSet;

#[test]
fn machines_that_may_hold_replicas_are_probed_and_released_first() {
    let mut cluster = Cluster::new();
    for name in ["n-1", "n-2", "n-3"] {
        cluster.inherit_machine(name);
    }
    cluster.submit(spec("wk-1", 4), 50);
    cluster.submit(
        JobSpec {
            kind: JobKind::Service,
            priority: Priority::Production,
            spot: false,
            ..spec("wk-2", 1)
        },
        50,
    );
    cluster.replay(&[
        ("n-2", "wk-1/0", 7),
        ("n-2", "wk-1/1", 8),
        ("n-3", "wk-2/0", 9),
    ]);
    let probed: Vec<String> = cluster
        .scheduler
        .due_probes(9)
        .into_iter()
        .map(|probe| probe.machine)
        .collect();
    assert_eq!(probed, vec!["n-3", "n-2"]);
    for i in (0..3).map(MachineIndex::from_position) {
        cluster
            .scheduler
            .set_machine_state(i, MachineState::Releasing, "silent");
    }
    assert_eq!(cluster.scheduler.machines_to_release(2), vec!["n-3", "n-2"]);
}

#[test]
fn machines_that_direct_commands_did_not_reach_are_unresponsive_and_probed() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.inherit_machine("n-2");
    cluster.submit(spec("wk-2", 1), 50);
    cluster.replay(&[("n-2", "wk-2/0", 7)]);
    cluster.submit(spec("wk-1", 1), 101);
    cluster.run_round(2000);
    let probes = cluster.scheduler.due_probes(9);
    assert_eq!(
        probes
            .iter()
            .map(|probe| probe.machine.as_str())
            .collect::<Vec<_>>(),
        vec!["n-2"]
    );
    let sent = cluster.scheduler.direct_commands(9);
    cluster.scheduler.handle_direct_response(&sent[0], None);
    cluster.advance_to(9000);
    // n-1 was once left out because it no longer acknowledged its token, and its tasks waited until the lease expired.
    assert_eq!(
        cluster
            .scheduler
            .unresponsive_machines(ms(5000), ms(9000))
            .len(),
        2
    );
    // A probe carries no commands, so the token is not advanced when the response is missing.
    cluster.scheduler.handle_direct_response(&probes[0], None);
    assert_eq!(
        cluster
            .scheduler
            .machines()
            .find(|(_, machine)| machine.name() == "n-2")
            .map(|(_, machine)| machine.commands.token_counter()),
        Some(0)
    );
}

#[test]
fn a_machine_that_receives_nothing_gets_no_work_and_is_unresponsive_although_it_sends_heartbeats() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    cluster.run_round(2000);
    assert_eq!(starts(&cluster.heartbeat("n-1", &[])).len(), 1);
    // From now on only its heartbeats arrive; nothing reaches the machine. The start was lost, so the token is advanced and the
    // machine gets no work.
    for interval in 1..8 {
        cluster.run_round(2000 + interval * 1500);
        assert!(starts(&cluster.heartbeat("n-1", &[])).is_empty());
        assert!(cluster.scheduler.direct_commands(9).is_empty());
    }
    // Heartbeats under the old token do not count as contact.
    assert_eq!(
        cluster
            .scheduler
            .unresponsive_machines(ms(5000), ms(9000))
            .len(),
        1
    );
    // It does not block the task for good: another machine gets it as soon as the release is confirmed.
    let i = cluster.scheduler.unresponsive_machines(ms(5000), ms(9000))[0];
    cluster
        .scheduler
        .set_machine_state(i, MachineState::Releasing, "silent");
    cluster.add_machine("n-2", "a");
    cluster.scheduler.machine_gone("n-1");
    cluster.scheduler.request_pass();
    assert_eq!(starts(&cluster.heartbeat("n-2", &[])).len(), 1);
}

#[test]
fn machines_of_a_zone_that_fall_silent_one_after_the_other_are_an_outage_of_the_zone() {
    let mut cluster = Cluster::new();
    for n in 0..8 {
        cluster.add_machine(&format!("a-{n}"), "a");
        cluster.add_machine(&format!("b-{n}"), "b");
    }
    let names_in_b: Vec<String> = (0..8).map(|n| format!("b-{n}")).collect();
    let receive_heartbeats = |cluster: &mut Cluster, names: &[String]| {
        for name in names {
            cluster.heartbeat(name, &[]);
        }
    };
    // Heartbeats arrive one after the other, so the machines of an isolated zone reach the silence limit one after the other
    // too. The first ones were once released before the outage was detected.
    for n in 0..8 {
        cluster.advance_to(1500 + n * 180);
        receive_heartbeats(&mut cluster, &[format!("a-{n}")]);
        receive_heartbeats(&mut cluster, &names_in_b);
    }
    for second in 4..8 {
        cluster.advance_to(second * 1000);
        receive_heartbeats(&mut cluster, &names_in_b);
        assert!(
            cluster.unresponsive_machines().is_empty(),
            "machines of the isolated zone count as unresponsive at {second} s"
        );
    }
    let zone_a = cluster.scheduler.zone_index("a").unwrap();
    assert_eq!(
        cluster.scheduler.unreachable_zones(),
        HashSet::from([zone_a])
    );
    assert!(!cluster.scheduler.is_isolated_from_workers());
    // A machine that falls silent in the other zone is unresponsive as soon as it exceeds the silence limit, as usual.
    cluster.advance_to(8000);
    receive_heartbeats(&mut cluster, &names_in_b[1..]);
    for second in 9..14 {
        cluster.advance_to(second * 1000);
        receive_heartbeats(&mut cluster, &names_in_b[1..]);
    }
    assert_eq!(cluster.unresponsive_machines().len(), 1);
    // The machines of a zone whose outage lasts are released in the end rather than paid for forever.
    for second in 14..45 {
        cluster.advance_to(second * 1000);
        receive_heartbeats(&mut cluster, &names_in_b[1..]);
    }
    assert_eq!(cluster.unresponsive_machines().len(), 9);
}

#[test]
fn machines_of_a_recovered_zone_have_time_to_report() {
    let mut cluster = Cluster::new();
    let names: Vec<String> = (0..8).map(|n| format!("n-{n}")).collect();
    for name in &names {
        cluster.add_machine(name, "a");
    }
    for second in 2..20 {
        cluster.advance_to(second * 1000);
        assert!(cluster.unresponsive_machines().is_empty());
    }
    // Most machines have sent heartbeats again; the others have time to do so.
    for second in 20..24 {
        cluster.advance_to(second * 1000);
        for name in &names[..5] {
            cluster.heartbeat(name, &[]);
        }
        assert!(cluster.unresponsive_machines().is_empty());
    }
    cluster.advance_to(25_500);
    for name in &names[..5] {
        cluster.heartbeat(name, &[]);
    }
    assert_eq!(cluster.unresponsive_machines().len(), 3);
}

#[test]
fn a_leader_without_heartbeats_is_isolated_unless_its_process_was_paused() {
    let mut cluster = Cluster::new();
    (0..4).for_each(|n| cluster.add_machine(&format!("n-{n}"), "a"));
    let receive_all_heartbeats = |cluster: &mut Cluster| {
        for n in 0..4 {
            cluster.heartbeat(&format!("n-{n}"), &[]);
        }
    };
    for second in 2..8 {
        cluster.advance_to(second * 1000);
        receive_all_heartbeats(&mut cluster);
    }
    // The process was paused for most of a minute: the heartbeats of that time have not been received yet.
    cluster.scheduler.tick(50_000);
    assert!(
        !cluster.scheduler.is_isolated_from_workers() && cluster.unresponsive_machines().is_empty()
    );
    receive_all_heartbeats(&mut cluster);
    cluster.advance_to(52_000);
    assert!(!cluster.scheduler.is_isolated_from_workers());
    // No machine has sent a heartbeat within the time in which all of them should. The leader considers itself isolated before
    // any lease has expired.
    cluster.advance_to(53_000);
    assert!(
        cluster.scheduler.is_isolated_from_workers() && cluster.unresponsive_machines().is_empty()
    );
}
