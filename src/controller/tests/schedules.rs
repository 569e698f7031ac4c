//! Seeded random schedules of troubles: all rules are checked after each step, and in the end everything is served.

use super::world::World;
use crate::protocol::{Kind, Priority};
use crate::scheduler::tests::spec;
use rand::Rng;

/// Plays a schedule of troubles and returns what broke.
fn play(seed: u64) -> Vec<String> {
    let limit = [Some(30.0), None][seed as usize % 2];
    let mut w = World::limited(seed, 6, limit);
    let (mut made, mut services) = (0, 0);
    let mut submit = |w: &mut World| {
        made += 1;
        let tasks = w.rng.gen_range(1..9);
        let mut s = spec(&format!("wk-{made}"), tasks);
        match w.rng.gen_range(0..6) {
            // Not so many that they leave no room for the rest.
            0 if services < 2 => {
                services += 1;
                s.kind = Kind::Service;
                s.scatter = w.rng.gen_bool(0.5);
                s.tasks = tasks.min(3);
            }
            1 => s.zone = Some("a".into()),
            2 => s.together = true,
            _ => {}
        }
        let run = w.rng.gen_range(500..30_000);
        s.priority = [
            Priority::Low,
            Priority::Normal,
            Priority::High,
            Priority::Production,
        ][w.rng.gen_range(0..4)];
        let (id, apart) = (s.id.clone(), w.rng.gen_range(0..4) * 2500);
        w.submit(s, run);
        w.jobs.get_mut(&id).unwrap().apart_ms = apart;
    };
    (0..4).for_each(|_| submit(&mut w));
    let end = w.now() + 120_000;
    // What ends when.
    let mut ends: Vec<(u64, u8, usize)> = Vec::new();
    while w.now() < end {
        w.run(500);
        let now = w.now();
        if w.rng.gen_bool(0.10) {
            submit(&mut w);
        }
        if w.rng.gen_bool(0.08) {
            let open: Vec<String> = w
                .jobs
                .keys()
                .filter(|id| w.cancellable(id))
                .cloned()
                .collect();
            if !open.is_empty() {
                let (id, node) = (
                    open[w.rng.gen_range(0..open.len())].clone(),
                    w.rng.gen_range(0..3),
                );
                w.cancel(node, &id);
            }
        }
        if w.rng.gen_bool(0.12) {
            let node = w
                .leader()
                .filter(|_| w.rng.gen_bool(0.6))
                .unwrap_or(w.rng.gen_range(0..3));
            let names: Vec<String> = w.workers.keys().cloned().collect();
            let machine = names[w.rng.gen_range(0..names.len())].clone();
            let for_ms = w.rng.gen_range(300..20_000);
            let kind = w.rng.gen_range(0..17);
            tracing::info!(now, kind, node, machine, for_ms, "trouble");
            match kind {
                0 => w.refuse(node, true),
                1 => w.outage(true),
                2 => w.crash(node, for_ms / 3),
                3 => w.nodes[node].frozen_until = now + for_ms / 2,
                4 => w.workers.get_mut(&machine).unwrap().hung_until = now + for_ms,
                5 => w.workers.get_mut(&machine).unwrap().deaf_until = now + for_ms,
                6 => w.workers.get_mut(&machine).unwrap().mute_until = now + for_ms,
                7 => w.peers_cut_until = now + for_ms,
                8 => w.cloud_down = true,
                9 => w.service.late_share = 0.3,
                10 => {
                    w.island = Some((["a", "b"][node % 2], node));
                    w.refuse(node, true);
                }
                11 => (0..3).for_each(|n| w.crash(n, for_ms / (n as u64 + 1))),
                12 => w.workers.get_mut(&machine).unwrap().hold_report = for_ms,
                13 => {
                    w.without_workers.insert(node);
                }
                14 => {
                    w.without_peers.insert(node);
                }
                15 => {
                    // The whole network.
                    w.refuse(node, true);
                    w.without_workers.insert(node);
                    w.without_peers.insert(node);
                }
                _ => w.stands_still_ms = for_ms,
            }
            ends.push((now + for_ms, kind, node));
            (w.copies, w.held) = (0.2, 0.1);
        }
        ends.retain(|(at, kind, node)| {
            if *at > now {
                return true;
            }
            match kind {
                0 => w.refuse(*node, false),
                1 => w.outage(false),
                8 => w.cloud_down = false,
                9 => w.service.late_share = 0.0,
                10 => {
                    w.island = None;
                    w.refuse(*node, false);
                }
                13 => {
                    w.without_workers.remove(node);
                }
                14 => {
                    w.without_peers.remove(node);
                }
                15 => {
                    w.refuse(*node, false);
                    w.without_workers.remove(node);
                    w.without_peers.remove(node);
                }
                _ => {}
            }
            false
        });
    }
    (0..3).for_each(|n| w.refuse(n, false));
    w.outage(false);
    w.island = None;
    w.without_workers.clear();
    w.without_peers.clear();
    w.stands_still_ms = 0;
    (
        w.cloud_down,
        w.service.late_share,
        w.copies,
        w.held,
        w.peers_cut_until,
    ) = (false, 0.0, 0.0, 0.0, 0);
    let within = w.time_for_the_rest();
    w.settles(within);
    w.broken
}

#[test]
fn no_rule_breaks_in_random_schedules_of_troubles() {
    // More seeds, or the log of one, on demand.
    let number = |name: &str, or| {
        std::env::var(name)
            .ok()
            .and_then(|s| s.parse::<u64>().ok())
            .unwrap_or(or)
    };
    if std::env::var_os("WORLD_LOG").is_some() {
        tracing_subscriber::fmt()
            .without_time()
            .with_target(false)
            .with_ansi(false)
            .init();
    }
    let from = number("WORLD_FROM", 0);
    for seed in from..from + number("WORLD_SEEDS", 40) {
        let broken = play(seed);
        assert!(
            broken.is_empty(),
            "seed {seed}: {:#?}",
            &broken[..broken.len().min(5)]
        );
    }
}
