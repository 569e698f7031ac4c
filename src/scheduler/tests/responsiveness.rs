//! Machines, zones and workers that are not heard, and the order in which they are probed and released.

use super::*;
use std::collections::HashSet;

#[test]
fn machines_that_may_hold_replicas_are_probed_and_released_first() {
    let mut w = World::new();
    ["n-1", "n-2", "n-3"].iter().for_each(|n| w.known(n));
    w.job(spec("wk-1", 4), 50);
    w.job(
        JobSpec {
            kind: Kind::Service,
            priority: Priority::Production,
            spot: false,
            ..spec("wk-2", 1)
        },
        50,
    );
    w.inherit(&[
        ("n-2", "wk-1/0", 7),
        ("n-2", "wk-1/1", 8),
        ("n-3", "wk-2/0", 9),
    ]);
    let asked: Vec<String> = w
        .scheduler
        .due_probes(9)
        .into_iter()
        .map(|d| d.machine)
        .collect();
    assert_eq!(asked, vec!["n-3", "n-2"]);
    for i in (0..3).map(MachineIndex::from_position) {
        w.scheduler
            .set_machine_state(i, MachineState::Releasing, "silent");
    }
    assert_eq!(w.scheduler.machines_to_release(2), vec!["n-3", "n-2"]);
}

#[test]
fn machines_that_direct_commands_did_not_reach_are_unresponsive_and_probed() {
    let mut w = World::new();
    w.machine("n-1", "a");
    w.known("n-2");
    w.job(spec("wk-2", 1), 50);
    w.inherit(&[("n-2", "wk-2/0", 7)]);
    w.job(spec("wk-1", 1), 101);
    w.tick(2000);
    let probe = w.scheduler.due_probes(9);
    assert_eq!(
        probe.iter().map(|d| d.machine.as_str()).collect::<Vec<_>>(),
        vec!["n-2"]
    );
    let sent = w.scheduler.direct_commands(9);
    w.scheduler.handle_direct_response(&sent[0], None);
    w.pass_to(9000);
    // It was once left out, being no longer current, and its tasks waited for the lease.
    assert_eq!(
        w.scheduler.unresponsive_machines(ms(5000), ms(9000)).len(),
        2
    );
    // An unanswered probe gave no orders: the token stays.
    w.scheduler.handle_direct_response(&probe[0], None);
    assert_eq!(
        w.scheduler
            .machines()
            .find(|(_, m)| m.name() == "n-2")
            .map(|(_, m)| m.commands.token_counter()),
        Some(0)
    );
}

#[test]
fn a_machine_that_nothing_reaches_gets_no_work_and_is_unresponsive_though_it_reports() {
    let mut w = World::new();
    w.machine("n-1", "a");
    w.job(spec("wk-1", 1), 101);
    w.tick(2000);
    assert_eq!(starts(&w.tell("n-1", &[])).len(), 1);
    // From now on its reports arrive and nothing else does. The start was lost: its token is raised, and it gets nothing.
    for s in 1..8 {
        w.tick(2000 + s * 1500);
        assert!(starts(&w.tell("n-1", &[])).is_empty());
        assert!(w.scheduler.direct_commands(9).is_empty());
    }
    // Whatever it reports under the old token, it is not heard.
    assert_eq!(
        w.scheduler.unresponsive_machines(ms(5000), ms(9000)).len(),
        1
    );
    // It holds nothing for ever: another machine gets the task as soon as the release is confirmed.
    let i = w.scheduler.unresponsive_machines(ms(5000), ms(9000))[0];
    w.scheduler
        .set_machine_state(i, MachineState::Releasing, "silent");
    w.machine("n-2", "a");
    w.scheduler.machine_gone("n-1");
    w.scheduler.reconsider();
    assert_eq!(starts(&w.tell("n-2", &[])).len(), 1);
}

#[test]
fn silence_that_spreads_over_a_zone_is_an_outage_of_the_zone() {
    let mut w = World::new();
    for n in 0..8 {
        w.machine(&format!("a-{n}"), "a");
        w.machine(&format!("b-{n}"), "b");
    }
    let up: Vec<String> = (0..8).map(|n| format!("b-{n}")).collect();
    let tell_some =
        |w: &mut World, names: &[String]| names.iter().for_each(|n| drop(w.tell(n, &[])));
    // Reports come one after the other, so that those of a cut zone reach the time of a silence one after the other too.
    for n in 0..8 {
        w.pass_to(1500 + n * 180);
        tell_some(&mut w, &[format!("a-{n}")]);
        tell_some(&mut w, &up);
    }
    for s in 4..8 {
        w.pass_to(s * 1000);
        tell_some(&mut w, &up);
        assert!(
            w.scheduler
                .unresponsive_machines(ms(5000), ms(40_000))
                .is_empty(),
            "at {s} s the first ones were given up once"
        );
    }
    let a = w.scheduler.zone_index("a").unwrap();
    assert_eq!(w.scheduler.unreachable_zones(), HashSet::from([a]));
    assert!(!w.scheduler.is_isolated_from_workers());
    // One that falls silent in the other zone is given up at once, as ever.
    w.pass_to(8000);
    tell_some(&mut w, &up[1..]);
    for s in 9..14 {
        w.pass_to(s * 1000);
        tell_some(&mut w, &up[1..]);
    }
    assert_eq!(
        w.scheduler
            .unresponsive_machines(ms(5000), ms(40_000))
            .len(),
        1
    );
    // A zone that stays away is not paid for for ever.
    for s in 14..45 {
        w.pass_to(s * 1000);
        tell_some(&mut w, &up[1..]);
    }
    assert_eq!(
        w.scheduler
            .unresponsive_machines(ms(5000), ms(40_000))
            .len(),
        9
    );
}

#[test]
fn machines_of_a_recovered_zone_have_time_to_report() {
    let mut w = World::new();
    let all: Vec<String> = (0..8).map(|n| format!("n-{n}")).collect();
    all.iter().for_each(|n| w.machine(n, "a"));
    for s in 2..20 {
        w.pass_to(s * 1000);
        assert!(w
            .scheduler
            .unresponsive_machines(ms(5000), ms(40_000))
            .is_empty());
    }
    // Most have reported; the others are about to.
    for s in 20..24 {
        w.pass_to(s * 1000);
        all[..5].iter().for_each(|n| drop(w.tell(n, &[])));
        assert!(w
            .scheduler
            .unresponsive_machines(ms(5000), ms(40_000))
            .is_empty());
    }
    w.pass_to(25_500);
    all[..5].iter().for_each(|n| drop(w.tell(n, &[])));
    assert_eq!(
        w.scheduler
            .unresponsive_machines(ms(5000), ms(40_000))
            .len(),
        3
    );
}

#[test]
fn a_leader_that_hears_no_worker_is_isolated_unless_its_process_was_paused() {
    let mut w = World::new();
    (0..4).for_each(|n| w.machine(&format!("n-{n}"), "a"));
    let tell_all = |w: &mut World| (0..4).for_each(|n| drop(w.tell(&format!("n-{n}"), &[])));
    for s in 2..8 {
        w.pass_to(s * 1000);
        tell_all(&mut w);
    }
    // It did not run for most of a minute: the reports of that time wait at its door.
    w.scheduler.tick(50_000);
    assert!(
        !w.scheduler.is_isolated_from_workers()
            && w.scheduler
                .unresponsive_machines(ms(5000), ms(40_000))
                .is_empty()
    );
    tell_all(&mut w);
    w.pass_to(52_000);
    assert!(!w.scheduler.is_isolated_from_workers());
    // Nobody within the time in which everybody reports: given up before a single lease has run out.
    w.pass_to(53_000);
    assert!(
        w.scheduler.is_isolated_from_workers()
            && w.scheduler
                .unresponsive_machines(ms(5000), ms(40_000))
                .is_empty()
    );
}
