//! Each meeting of two troubles, brought about in order, in the scripted world.

use super::world::World;
use crate::protocol::{Change, Kind, Priority, Txn};
use crate::scheduler::tests::spec;
use crate::store;

const LEASE: u64 = 12_000;
const CANCEL: u64 = 42_000;

fn whole(w: &World) {
    assert!(w.broken.is_empty(), "{:#?}", w.broken);
}

/// After all troubles: everything is served, and no rule was broken.
fn settled(mut w: World) {
    w.settles(120_000);
    whole(&w);
}

fn other(node: usize) -> usize {
    (node + 1) % 3
}

/// The state service refuses the leader alone, another confirms cancellations, and then it is down for all for longer
/// than `cancel_s`, while the workers keep reporting to the old leader.
#[test]
fn a_refused_leader_an_outage_and_cancellations() {
    for (refused_ms, told_after, peers) in [
        (1000, 500, true),
        (1000, 500, false),
        (2500, 2000, false),
        (5000, 300, false),
        (14_000, 1000, false),
        (20_000, 4000, true),
    ] {
        let mut w = World::new(7, 6);
        (0..6).for_each(|n| w.submit(spec(&format!("wk-{n}"), 4), 600_000));
        w.run(10_000);
        assert_eq!(w.running("wk-0"), 4);
        let leader = w.leader().unwrap();
        if !peers {
            w.peers_cut_until = u64::MAX;
        }
        // More work waits for room that a cancellation brings.
        w.submit(spec("wk-7", 8), 600_000);
        w.run(500);
        w.refuse(leader, true);
        w.run(told_after.min(refused_ms));
        for id in ["wk-0", "wk-1", "wk-7"] {
            assert!(w.cancel(other(leader), id));
        }
        w.run(refused_ms - told_after.min(refused_ms));
        w.outage(true);
        w.refuse(leader, false);
        w.run(CANCEL + 20_000);
        for id in ["wk-0", "wk-1", "wk-7"] {
            assert_eq!(w.running(id), 0, "{id}, refused for {refused_ms} ms");
            assert!(w.jobs[id].told.is_some());
        }
        w.outage(false);
        w.peers_cut_until = 0;
        w.run(60_000);
        // What was called off is gone, the rest runs.
        assert!((2..6).all(|n| w.running(&format!("wk-{n}")) == 4));
        whole(&w);
    }
}

/// The same at the very moment of the refusal, a second before the outage; with hung machines, without word between the
/// controllers, and with the leader ending in it.
#[test]
fn cancellations_at_the_moment_of_the_refusal() {
    for ends in [false, true] {
        let mut w = World::new(8, 6);
        (0..6).for_each(|n| w.submit(spec(&format!("wk-{n}"), 4), 600_000));
        w.run(10_000);
        let leader = w.leader().unwrap();
        w.peers_cut_until = u64::MAX;
        w.refuse(leader, true);
        for id in ["wk-0", "wk-1", "wk-2"] {
            assert!(w.cancel(other(leader), id));
        }
        let machine = w.machines_of("wk-0")[0].clone();
        let now = w.now();
        w.workers.get_mut(&machine).unwrap().hung_until = now + LEASE - 3000;
        w.run(1000);
        w.outage(true);
        w.refuse(leader, false);
        w.run(5000);
        if ends {
            w.crash(leader, 300);
        }
        w.run(CANCEL);
        assert!((0..3).all(|n| w.running(&format!("wk-{n}")) == 0));
        w.outage(false);
        w.peers_cut_until = 0;
        w.run(60_000);
        assert!((3..6).all(|n| w.running(&format!("wk-{n}")) == 4));
        whole(&w);
    }
}

#[test]
fn short_refusals_in_a_row_do_not_keep_cancelled_tasks_alive() {
    let mut w = World::new(9, 6);
    (0..4).for_each(|n| w.submit(spec(&format!("wk-{n}"), 4), 600_000));
    w.run(10_000);
    let leader = w.leader().unwrap();
    w.peers_cut_until = u64::MAX;
    w.watches_stuck = true;
    w.refuse(leader, true);
    w.run(200);
    assert!(w.cancel(other(leader), "wk-0"));
    // Its leader lease lives on, since it is renewed between the refusals, but its mirror never moves.
    for _ in 0..30 {
        w.run(1200);
        w.refuse(leader, false);
        w.run(600);
        w.refuse(leader, true);
    }
    assert_eq!(w.running("wk-0"), 0);
    w.refuse(leader, false);
    w.watches_stuck = false;
    w.peers_cut_until = 0;
    w.run(30_000);
    assert!((1..4).all(|n| w.running(&format!("wk-{n}")) == 4));
    whole(&w);
}

/// A cancellation is confirmed once the leader knows, or can start nothing any more: starts whose lines were durable
/// before it may be on their way out of a leader that the state service refuses and that no other reaches.
#[test]
fn no_start_is_sent_after_a_confirmed_cancellation() {
    for peers in [true, false] {
        for offset in 0..12 {
            let mut w = World::new(21, 4);
            w.write_ms = 400;
            w.submit(spec("wk-1", 6), 60_000);
            w.run(50 * offset);
            let leader = w.leader().unwrap();
            if !peers {
                w.peers_cut_until = w.now() + 20_000;
            }
            w.refuse(leader, true);
            if !w.cancel(other(leader), "wk-1") {
                // Not known there yet.
                continue;
            }
            w.run(6000);
            w.refuse(leader, false);
            w.run(20_000);
            assert!(w.jobs["wk-1"].told.is_some() && w.running("wk-1") == 0);
            whole(&w);
        }
    }
}

/// A leader stands still between a decision and its sending, for longer and for less than its authority lasts, while users call
/// the job off through another node.
#[test]
fn a_leader_stands_still_between_a_decision_and_its_sending() {
    for pause in [1500, 3000, 6000, 30_000] {
        for offset in [0, 100, 700, 2600] {
            let mut w = World::new(25, 4);
            w.stands_still_ms = pause;
            w.submit(spec("wk-1", 6), 60_000);
            w.submit(spec("wk-2", 6), 5000);
            w.run(100 + offset);
            w.cancel(0, "wk-1");
            if w.jobs["wk-1"].told.is_none() {
                w.cancel(1, "wk-1");
            }
            w.run(pause + 30_000);
            whole(&w);
            settled(w);
        }
    }
}

/// A leader that goes on leading sends late what it decided: its connection to the worker took that long.
#[test]
fn a_start_that_waits_for_its_connection_is_not_sent_once_its_job_is_called_off() {
    for delay in [500, 1900] {
        let mut w = World::new(27, 4);
        w.slow_connections_ms = delay;
        w.submit(spec("wk-1", 6), 60_000);
        w.submit(spec("wk-2", 6), 5000);
        w.run(200);
        let leader = w.leader().unwrap();
        assert!(w.cancel(other(leader), "wk-1"));
        w.run(30_000);
        assert!(w.over("wk-2").is_some() && w.jobs["wk-1"].told.is_some());
        whole(&w);
        settled(w);
    }
}

/// What a controller may lose for a time.
#[derive(Debug, Clone, Copy)]
enum Loss {
    Network,
    Store,
    Workers,
    Time,
}

impl Loss {
    fn set(self, w: &mut World, node: usize, for_ms: u64, on: bool) {
        let network = matches!(self, Loss::Network);
        if network || matches!(self, Loss::Store) {
            w.refuse(node, on);
        }
        for (set, lost) in [
            (
                &mut w.without_workers,
                network || matches!(self, Loss::Workers),
            ),
            (&mut w.without_peers, network),
        ] {
            if on && lost {
                set.insert(node);
            } else {
                set.remove(&node);
            }
        }
        if on && matches!(self, Loss::Time) {
            w.nodes[node].frozen_until = w.now() + for_ms;
        }
    }
}

/// A controller loses the whole network, the state service, the workers or its processor, for less and for much more than
/// any lease, as leader and as follower, and is back.
#[test]
fn a_controller_that_lost_something_for_seconds_or_a_minute_changes_nothing_when_it_returns() {
    for loss in [Loss::Network, Loss::Store, Loss::Workers, Loss::Time] {
        for leads in [true, false] {
            for for_ms in [5000, 75_000] {
                let mut w = World::new(31, 6);
                w.submit(spec("wk-1", 4), 40_000);
                w.submit(spec("wk-2", 6), 150_000);
                w.run(3000);
                let leader = w.leader().unwrap();
                let node = if leads { leader } else { other(leader) };
                loss.set(&mut w, node, for_ms, true);
                w.run(2000);
                let third = 3 - node - other(node);
                w.submit(spec("wk-3", 4), 10_000);
                // Where the others do not lead yet, its user asks again.
                let mut cancelled = false;
                for _ in 0..6 {
                    cancelled = cancelled || w.cancel(third, "wk-2");
                    w.run((for_ms - 2000) / 6);
                }
                assert!(cancelled, "{loss:?}");
                if for_ms > 10_000 {
                    // Somebody leads, and serves what came meanwhile.
                    assert!(w.leader().is_some_and(|l| !leads || l != node), "{loss:?}");
                    assert!(w.over("wk-3").is_some(), "{loss:?} {leads}");
                }
                let epoch = w.epoch();
                loss.set(&mut w, node, 0, false);
                w.run(15_000);
                // Its return costs nobody the leadership.
                assert!(w.epoch() == epoch || for_ms < 10_000, "{loss:?} {leads}");
                whole(&w);
                settled(w);
            }
        }
    }
}

#[test]
fn small_jobs_end_far_apart_across_changes_of_leader() {
    let mut w = World::new(1, 4);
    for n in 0..4 {
        w.submit(spec(&format!("wk-{n}"), 2 + n % 2), 2000);
        w.jobs.get_mut(&format!("wk-{n}")).unwrap().apart_ms = 11_000;
    }
    // Some results lie on their machines, some in the store, when a leader ends.
    for _ in 0..3 {
        w.run(5300);
        let leader = w.leader().unwrap();
        assert!(w
            .jobs
            .values()
            .any(|j| !j.done.is_empty() && j.done.len() < j.spec.tasks as usize));
        w.crash(leader, 1000);
    }
    w.settles(60_000);
    assert!((0..4).all(|n| w.over(&format!("wk-{n}")).is_some_and(|o| !o.cancelled)));
    whole(&w);
}

#[test]
fn commands_and_answers_held_up_while_machines_hang_and_go_on() {
    let mut w = World::new(2, 4);
    (w.held, w.held_ms) = (0.8, 1500);
    for round in 0..6 {
        w.submit(spec(&format!("wk-{round}"), 4), 9000);
        w.run(300);
        let now = w.now();
        let name = w
            .workers
            .keys()
            .nth(round % w.workers.len())
            .unwrap()
            .clone();
        w.workers.get_mut(&name).unwrap().hung_until = now + 7000;
        w.run(6000);
        if round % 2 == 1 {
            let id = format!("wk-{round}");
            if w.cancellable(&id) {
                w.cancel(round % 3, &id);
            }
        }
    }
    w.held = 0.0;
    settled(w);
}

#[test]
fn workers_that_reach_no_controller_while_direct_commands_reach_them() {
    let mut w = World::new(3, 4);
    w.submit(spec("wk-1", 10), 30_000);
    w.run(4000);
    assert!(w.running("wk-1") > 0);
    let until = w.now() + 3 * LEASE;
    w.workers.values_mut().for_each(|x| x.mute_until = until);
    w.cloud_down = true;
    w.submit(spec("wk-2", 4), 5000);
    w.run(3 * LEASE + 1000);
    w.cloud_down = false;
    settled(w);
}

#[test]
fn a_report_held_back_until_a_new_leader_has_acted() {
    for held in [3500, 6000, 13_000, 30_000] {
        let mut w = World::new(4, 4);
        w.submit(spec("wk-1", 8), 25_000);
        w.run(5000);
        assert_eq!(w.running("wk-1"), 8);
        let leader = w.leader().unwrap();
        w.workers.values_mut().for_each(|x| x.hold_report = held);
        w.run(1000);
        w.crash(leader, 500);
        assert!(w.cancel(other(leader), "wk-1") || held != 3500);
        w.submit(spec("wk-2", 8), 5000);
        settled(w);
    }
}

#[test]
fn a_cancellation_or_a_repeated_submission_meets_the_end_of_the_last_task() {
    for offset in 0..30 {
        let mut w = World::new(5, 2);
        w.submit(spec("wk-1", 2), 5000);
        w.run(5500 + offset * 100);
        let node = offset as usize % 3;
        // A late submission of the same job, and its cancellation, each where it crosses the last results.
        let record = store::LiveRecord {
            spec: spec("wk-1", 2),
            at_ms: 1,
        };
        let again = store::submit_txn("wk-1", &record);
        w.later(50 * (offset % 7), again.clone());
        let asked = w.cancel(node, "wk-1");
        w.run(2000);
        w.later(10, again);
        w.settles(30_000);
        assert_eq!(w.over("wk-1").unwrap().cancelled, asked);
        // Its key is not created anew.
        w.run(2000);
        assert!(!w.service.keys.contains_key(&store::live_key("wk-1")));
        whole(&w);
    }
}

#[test]
fn a_leader_without_store_and_peers_keeps_its_workers_while_the_new_leader_cancels() {
    let mut w = World::new(6, 6);
    (0..5).for_each(|n| w.submit(spec(&format!("wk-{n}"), 4), 600_000));
    w.run(10_000);
    let old = w.leader().unwrap();
    w.refuse(old, true);
    w.peers_cut_until = w.now() + 40_000;
    w.run(6000);
    let new_leader = w.leader().unwrap();
    assert_ne!(new_leader, old);
    assert!(w.cancel(new_leader, "wk-0") && w.cancel(3 - new_leader - old, "wk-1"));
    w.run(15_000);
    assert!(w.running("wk-0") + w.running("wk-1") == 0);
    w.refuse(old, false);
    w.run(40_000);
    assert!((2..5).all(|n| w.running(&format!("wk-{n}")) == 4));
    whole(&w);
}

#[test]
fn all_controllers_away_for_longer_than_the_lease() {
    let mut w = World::new(10, 5);
    w.submit(spec("wk-1", 6), 20_000);
    w.submit(spec("wk-2", 6), 600_000);
    w.run(5000);
    w.cancel(0, "wk-2");
    (0..3).for_each(|n| w.crash(n, LEASE + 5000));
    w.run(LEASE + 2000);
    // Every worker is in its next session, with nothing on it.
    assert_eq!(w.running("wk-1") + w.running("wk-2"), 0);
    settled(w);
}

#[test]
fn a_leader_ends_while_machines_with_long_tasks_cannot_be_reached_or_do_not_hear_the_new_one() {
    for (hears_no_worker, mute) in [(true, false), (false, true), (true, true)] {
        let mut w = World::new(11, 5);
        w.submit(spec("wk-1", 10), 60_000);
        w.run(5000);
        let names = w.machines_of("wk-1");
        let until = w.now() + LEASE + 8000;
        for n in &names[..2] {
            let x = w.workers.get_mut(n).unwrap();
            (x.deaf_until, x.mute_until) = (
                if hears_no_worker { until } else { 0 },
                if mute { until } else { 0 },
            );
        }
        w.cloud_down = true;
        let leader = w.leader().unwrap();
        w.crash(leader, 10_000);
        w.submit(spec("wk-2", 8), 5000);
        w.run(LEASE + 9000);
        w.cloud_down = false;
        settled(w);
    }
}

#[test]
fn a_team_at_its_limit_a_new_leader_machines_that_cannot_be_asked_and_a_cancellation() {
    let mut w = World::limited(12, 6, Some(16.0));
    w.submit(spec("wk-1", 4), 600_000);
    w.submit(spec("wk-2", 4), 600_000);
    w.submit(spec("wk-3", 6), 10_000);
    w.run(6000);
    assert_eq!(w.running("wk-1") + w.running("wk-2"), 8);
    let until = w.now() + LEASE + 5000;
    for n in w.machines_of("wk-1") {
        let x = w.workers.get_mut(&n).unwrap();
        (x.deaf_until, x.mute_until) = (until, until);
    }
    w.cloud_down = true;
    let leader = w.leader().unwrap();
    w.crash(leader, 3000);
    w.run(1000);
    // What is called off counts until it is proven gone.
    assert!(w.cancel(other(leader), "wk-1"));
    w.run(LEASE);
    w.cloud_down = false;
    w.run(60_000);
    assert!(w.over("wk-3").is_some_and(|o| !o.cancelled));
    assert_eq!((w.running("wk-1"), w.running("wk-2")), (0, 4));
    whole(&w);
}

#[test]
fn controllers_hand_over_and_back_all_end_and_one_returns_within_a_second() {
    let mut w = World::new(13, 5);
    w.submit(spec("wk-1", 10), 40_000);
    w.submit(spec("wk-2", 2), 600_000);
    w.run(4000);
    for round in 0..4 {
        let leader = w.leader().unwrap();
        w.crash(leader, 200);
        w.run(700);
        w.crash(other(leader), 100);
        w.run(300);
        (0..3).for_each(|n| w.crash(n, if n == round % 3 { 300 } else { 6000 }));
        if round == 2 {
            w.run(800);
            w.cancel(round % 3, "wk-2");
        }
        w.run(7000);
    }
    w.run(10_000);
    if w.cancellable("wk-2") {
        w.cancel(0, "wk-2");
    }
    settled(w);
}

#[test]
fn a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_the_lease() {
    for leads in [true, false] {
        let mut w = World::new(14, 8);
        let mut service = spec("wk-1", 4);
        (service.kind, service.scatter) = (Kind::Service, true);
        w.submit(service, 0);
        w.submit(spec("wk-2", 10), 60_000);
        w.submit(spec("wk-3", 4), 600_000);
        w.run(6000);
        let leader = w.leader().unwrap();
        let node = if leads { leader } else { other(leader) };
        w.island = Some(("a", node));
        w.refuse(node, true);
        w.run(3000);
        assert!(w.cancel(other(other(leader)), "wk-3"));
        w.run(2 * LEASE);
        w.island = None;
        w.refuse(node, false);
        w.run(5000);
        assert_eq!(w.running("wk-3"), 0);
        w.settles(120_000);
        assert_eq!(w.running("wk-1"), 4);
        whole(&w);
    }
}

#[test]
fn jobs_bound_to_one_zone_lose_machines() {
    let mut w = World::new(15, 8);
    let (mut service, mut array, mut joined) = (spec("wk-1", 3), spec("wk-2", 6), spec("wk-3", 4));
    (service.kind, service.zone) = (Kind::Service, Some("a".into()));
    (array.zone, joined.together) = (Some("a".into()), true);
    w.submit(service, 0);
    w.submit(array, 15_000);
    w.submit(joined, 15_000);
    w.run(5000);
    for n in w
        .machines_of("wk-1")
        .into_iter()
        .chain(w.machines_of("wk-2"))
    {
        w.workers.remove(&n);
    }
    let leader = w.leader().unwrap();
    w.crash(leader, 2000);
    settled(w);
}

#[test]
fn old_reports_after_newer_ones_of_earlier_sessions_and_attempts_too() {
    let mut w = World::new(16, 4);
    w.copies = 1.0;
    w.submit(spec("wk-1", 8), 6000);
    for round in 0..6 {
        w.submit(spec(&format!("wk-1{round}"), 3), 4000);
        w.run(5000);
        let now = w.now();
        let name = w
            .workers
            .keys()
            .nth(round % w.workers.len())
            .unwrap()
            .clone();
        if round % 2 == 0 {
            w.workers.get_mut(&name).unwrap().deaf_until = now + LEASE + 1000;
        }
        if round == 3 {
            let leader = w.leader().unwrap();
            w.crash(leader, 100);
        }
    }
    w.copies = 0.0;
    settled(w);
}

#[test]
fn transactions_carried_out_late_after_newer_ones_of_the_same_controller() {
    let mut w = World::new(17, 4);
    w.service.late_share = 0.5;
    for round in 0..8 {
        w.submit(spec(&format!("wk-{round}"), 3), 3000);
        w.run(4000);
        if round % 3 == 1 {
            w.cancel(round % 3, &format!("wk-{round}"));
        }
        if round == 5 {
            let leader = w.leader().unwrap_or(0);
            w.crash(leader, 500);
        }
    }
    w.service.late_share = 0.0;
    w.run(13_000);
    settled(w);
}

#[test]
fn late_writes_of_an_earlier_term_or_of_a_job_that_is_over_create_no_key_anew() {
    let mut w = World::new(18, 3);
    w.submit(spec("wk-1", 3), 1000);
    w.jobs.get_mut("wk-1").unwrap().apart_ms = 8000;
    w.run(4000);
    // A row of results, written again once the job is over and its rows are deleted: version 0 fits, the job does not.
    let epoch = w.epoch_guard();
    let live = store::guard(
        store::live_key("wk-1"),
        w.service.keys[&store::live_key("wk-1")].1,
    );
    let row = store::done_key("wk-1", 0);
    let late = |guards| Txn {
        guards,
        apply: vec![store::put(row.clone(), &"07", None)],
    };
    w.later(
        40_000,
        late(vec![epoch.clone(), live, store::guard(row.clone(), 0)]),
    );
    let record = store::RentalRecord {
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: false,
        count: 1,
        machines: None,
    };
    w.later(41_000, store::rental_txn(&epoch, "r-late", 0, &record));
    w.run(1000);
    let leader = w.leader().unwrap();
    w.crash(leader, 100);
    w.run(45_000);
    assert!(w.over("wk-1").is_some());
    assert!(
        !w.service.keys.contains_key(&row)
            && !w.service.keys.contains_key(&store::rental_key("r-late"))
    );
    assert!(matches!(late(Vec::new()).apply[0], Change::Put { .. }));
    whole(&w);
}

#[test]
fn more_work_than_room_urgent_and_not_over_slow_links() {
    let mut w = World::new(19, 3);
    w.fetch_ms = 9000;
    for n in 0..8 {
        let mut s = spec(&format!("wk-{n}"), 6);
        s.image = format!("i{n}");
        s.image_gb = 9.0;
        s.priority = [
            Priority::Low,
            Priority::Normal,
            Priority::High,
            Priority::Production,
        ][n % 4];
        w.submit(s, 8000);
        w.run(1000);
        if n == 5 {
            let leader = w.leader().unwrap();
            w.crash(leader, 300);
        }
    }
    w.settles(400_000);
    assert!((0..8).all(|n| w.over(&format!("wk-{n}")).is_some()));
    whole(&w);
}

#[test]
fn ten_changes_of_leader_in_two_minutes_also_inside_an_outage() {
    let mut w = World::new(20, 5);
    w.submit(spec("wk-1", 8), 50_000);
    w.submit(spec("wk-2", 4), 600_000);
    w.run(4000);
    let before = w.epoch();
    for round in 0..10 {
        if round == 4 || round == 7 {
            w.outage(true);
        }
        let leader = w.leader().unwrap_or(round % 3);
        match round % 3 {
            0 => w.crash(leader, 700),
            1 => w.nodes[leader].frozen_until = w.now() + 6000,
            _ => w.crash(leader, 5000),
        }
        w.run(6000);
        w.outage(false);
        w.run(5500);
        if round == 6 {
            w.cancel(w.leader().unwrap_or(0), "wk-2");
        }
    }
    assert!(w.epoch() >= before + 8, "{} {before}", w.epoch());
    if w.cancellable("wk-2") {
        w.cancel(0, "wk-2");
    }
    settled(w);
}
