//! Machines, zones and workers that are not heard, and the order in which they are probed and released.

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
    let asked: Vec<String> = cluster
        .scheduler
        .due_probes(9)
        .into_iter()
        .map(|d| d.machine)
        .collect();
    assert_eq!(asked, vec!["n-3", "n-2"]);
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
    let probe = cluster.scheduler.due_probes(9);
    assert_eq!(
        probe.iter().map(|d| d.machine.as_str()).collect::<Vec<_>>(),
        vec!["n-2"]
    );
    let sent = cluster.scheduler.direct_commands(9);
    cluster.scheduler.handle_direct_response(&sent[0], None);
    cluster.advance_to(9000);
    // It was once left out, being no longer current, and its tasks waited for the lease.
    assert_eq!(
        cluster
            .scheduler
            .unresponsive_machines(ms(5000), ms(9000))
            .len(),
        2
    );
    // An unanswered probe gave no commands: the token stays.
    cluster.scheduler.handle_direct_response(&probe[0], None);
    assert_eq!(
        cluster
            .scheduler
            .machines()
            .find(|(_, m)| m.name() == "n-2")
            .map(|(_, m)| m.commands.token_counter()),
        Some(0)
    );
}

#[test]
fn a_machine_that_nothing_reaches_gets_no_work_and_is_unresponsive_though_it_reports() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    cluster.run_round(2000);
    assert_eq!(starts(&cluster.heartbeat("n-1", &[])).len(), 1);
    // From now on its reports arrive and nothing else does. The start was lost: its token is raised, and it gets nothing.
    for s in 1..8 {
        cluster.run_round(2000 + s * 1500);
        assert!(starts(&cluster.heartbeat("n-1", &[])).is_empty());
        assert!(cluster.scheduler.direct_commands(9).is_empty());
    }
    // Whatever it reports under the old token, it is not heard.
    assert_eq!(
        cluster
            .scheduler
            .unresponsive_machines(ms(5000), ms(9000))
            .len(),
        1
    );
    // It holds nothing for ever: another machine gets the task as soon as the release is confirmed.
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
fn silence_that_spreads_over_a_zone_is_an_outage_of_the_zone() {
    let mut cluster = Cluster::new();
    for n in 0..8 {
        cluster.add_machine(&format!("a-{n}"), "a");
        cluster.add_machine(&format!("b-{n}"), "b");
    }
    let up: Vec<String> = (0..8).map(|n| format!("b-{n}")).collect();
    let tell_some = |cluster: &mut Cluster, names: &[String]| {
        for name in names {
            cluster.heartbeat(name, &[]);
        }
    };
    // Reports come one after the other, so that those of a cut zone reach the time of a silence one after the other too.
    for n in 0..8 {
        cluster.advance_to(1500 + n * 180);
        tell_some(&mut cluster, &[format!("a-{n}")]);
        tell_some(&mut cluster, &up);
    }
    for s in 4..8 {
        cluster.advance_to(s * 1000);
        tell_some(&mut cluster, &up);
        assert!(
            cluster.unresponsive_machines().is_empty(),
            "at {s} s the first ones were given up once"
        );
    }
    let a = cluster.scheduler.zone_index("a").unwrap();
    assert_eq!(cluster.scheduler.unreachable_zones(), HashSet::from([a]));
    assert!(!cluster.scheduler.is_isolated_from_workers());
    // One that falls silent in the other zone is given up at once, as ever.
    cluster.advance_to(8000);
    tell_some(&mut cluster, &up[1..]);
    for s in 9..14 {
        cluster.advance_to(s * 1000);
        tell_some(&mut cluster, &up[1..]);
    }
    assert_eq!(cluster.unresponsive_machines().len(), 1);
    // A zone that stays away is not paid for for ever.
    for s in 14..45 {
        cluster.advance_to(s * 1000);
        tell_some(&mut cluster, &up[1..]);
    }
    assert_eq!(cluster.unresponsive_machines().len(), 9);
}

#[test]
fn machines_of_a_recovered_zone_have_time_to_report() {
    let mut cluster = Cluster::new();
    let all: Vec<String> = (0..8).map(|n| format!("n-{n}")).collect();
    for name in &all {
        cluster.add_machine(name, "a");
    }
    for s in 2..20 {
        cluster.advance_to(s * 1000);
        assert!(cluster.unresponsive_machines().is_empty());
    }
    // Most have reported; the others are about to.
    for s in 20..24 {
        cluster.advance_to(s * 1000);
        for name in &all[..5] {
            cluster.heartbeat(name, &[]);
        }
        assert!(cluster.unresponsive_machines().is_empty());
    }
    cluster.advance_to(25_500);
    for name in &all[..5] {
        cluster.heartbeat(name, &[]);
    }
    assert_eq!(cluster.unresponsive_machines().len(), 3);
}

#[test]
fn a_leader_that_hears_no_worker_is_isolated_unless_its_process_was_paused() {
    let mut cluster = Cluster::new();
    (0..4).for_each(|n| cluster.add_machine(&format!("n-{n}"), "a"));
    let tell_all = |cluster: &mut Cluster| {
        for n in 0..4 {
            cluster.heartbeat(&format!("n-{n}"), &[]);
        }
    };
    for s in 2..8 {
        cluster.advance_to(s * 1000);
        tell_all(&mut cluster);
    }
    // It did not run for most of a minute: the reports of that time wait at its door.
    cluster.scheduler.tick(50_000);
    assert!(
        !cluster.scheduler.is_isolated_from_workers() && cluster.unresponsive_machines().is_empty()
    );
    tell_all(&mut cluster);
    cluster.advance_to(52_000);
    assert!(!cluster.scheduler.is_isolated_from_workers());
    // Nobody within the time in which everybody reports: given up before a single lease has run out.
    cluster.advance_to(53_000);
    assert!(
        cluster.scheduler.is_isolated_from_workers() && cluster.unresponsive_machines().is_empty()
    );
}
