//! The store refuses the requests of the leader alone, while users cancel jobs through other controllers. In some tests an outage
//! for all controllers follows.

use super::super::simulation::{
    Simulation, CANCELLATION_DEADLINE, MILLISECOND, SECOND, WORKER_LEASE,
};
use super::{all_tasks_running, job_id, next_node, submit_long_jobs};
use crate::scheduler::tests::spec;
use std::time::Duration;

/// A period in which the store refuses the leader alone. It ends with an outage for all controllers.
struct Refusal {
    /// Length of the period.
    refused_ms: u64,
    /// Time from the start of the period to the cancellations, which come at its end at the latest.
    cancelled_after_ms: u64,
    /// Whether the controllers reach each other.
    peers_connected: bool,
}

const REFUSALS: [Refusal; 6] = [
    Refusal {
        refused_ms: 1000,
        cancelled_after_ms: 500,
        peers_connected: true,
    },
    Refusal {
        refused_ms: 1000,
        cancelled_after_ms: 500,
        peers_connected: false,
    },
    Refusal {
        refused_ms: 2500,
        cancelled_after_ms: 2000,
        peers_connected: false,
    },
    Refusal {
        refused_ms: 5000,
        cancelled_after_ms: 300,
        peers_connected: false,
    },
    Refusal {
        refused_ms: 14_000,
        cancelled_after_ms: 1000,
        peers_connected: false,
    },
    Refusal {
        refused_ms: 20_000,
        cancelled_after_ms: 4000,
        peers_connected: true,
    },
];

/// The store refuses the leader alone, another controller accepts cancellations, and then the store is down for all controllers
/// for longer than `cancel_s`. The workers keep reporting to the old leader, which must not keep the cancelled tasks running.
#[test]
fn cancelled_tasks_stop_when_the_store_refuses_the_leader_and_then_goes_down() {
    for refusal in REFUSALS {
        let refusal_duration = Duration::from_millis(refusal.refused_ms);
        let time_to_cancellation =
            Duration::from_millis(refusal.cancelled_after_ms).min(refusal_duration);
        let mut simulation = Simulation::new(7, 6);
        submit_long_jobs(&mut simulation, 0..6);
        simulation.run(10 * SECOND);
        assert_eq!(simulation.running_task_count("wk-0"), 4);
        let leader = simulation.leader().unwrap();
        if !refusal.peers_connected {
            simulation.cut_peers(Duration::MAX);
        }
        // wk-7 waits for capacity that a cancellation would free.
        simulation.submit(spec("wk-7", 8), 600 * SECOND);
        simulation.run(500 * MILLISECOND);
        simulation.store.refuse(leader);
        simulation.run(time_to_cancellation);
        for id in ["wk-0", "wk-1", "wk-7"] {
            assert!(simulation.cancel(next_node(leader), id));
        }
        simulation.run(refusal_duration.saturating_sub(time_to_cancellation));
        simulation.begin_store_outage();
        simulation.store.accept(leader);
        simulation.run(CANCELLATION_DEADLINE + 20 * SECOND);
        for id in ["wk-0", "wk-1", "wk-7"] {
            assert_eq!(
                simulation.running_task_count(id),
                0,
                "{id}, refused for {refusal_duration:?}"
            );
            assert!(simulation.cancellation_is_confirmed(id));
        }
        simulation.end_store_outage();
        simulation.reconnect_peers();
        simulation.run(60 * SECOND);
        // The jobs that were not cancelled are running.
        assert!(all_tasks_running(&simulation, 2..6));
        simulation.assert_no_violations();
    }
}

/// As above, with the cancellations at the moment of the refusal and the outage a second later. The controllers do not reach each
/// other, a worker hangs, and in one case the leader crashes during the outage.
#[test]
fn cancelled_tasks_stop_when_cancelled_at_the_moment_of_the_refusal() {
    for leader_crashes in [false, true] {
        let mut simulation = Simulation::new(8, 6);
        submit_long_jobs(&mut simulation, 0..6);
        simulation.run(10 * SECOND);
        let leader = simulation.leader().unwrap();
        simulation.cut_peers(Duration::MAX);
        simulation.store.refuse(leader);
        for id in ["wk-0", "wk-1", "wk-2"] {
            assert!(simulation.cancel(next_node(leader), id));
        }
        let machine = simulation.machines_of("wk-0")[0].clone();
        simulation.hang_worker(&machine, WORKER_LEASE.saturating_sub(3 * SECOND));
        simulation.run(SECOND);
        simulation.begin_store_outage();
        simulation.store.accept(leader);
        simulation.run(5 * SECOND);
        if leader_crashes {
            simulation.crash(leader, 300 * MILLISECOND);
        }
        simulation.run(CANCELLATION_DEADLINE);
        assert!((0..3).all(|n| simulation.running_task_count(&job_id(n)) == 0));
        simulation.end_store_outage();
        simulation.reconnect_peers();
        simulation.run(60 * SECOND);
        assert!(all_tasks_running(&simulation, 3..6));
        simulation.assert_no_violations();
    }
}

#[test]
fn repeated_short_refusals_do_not_keep_cancelled_tasks_running() {
    let mut simulation = Simulation::new(9, 6);
    submit_long_jobs(&mut simulation, 0..4);
    simulation.run(10 * SECOND);
    let leader = simulation.leader().unwrap();
    simulation.cut_peers(Duration::MAX);
    simulation.faults.watches_stay_stalled = true;
    simulation.store.refuse(leader);
    simulation.run(200 * MILLISECOND);
    assert!(simulation.cancel(next_node(leader), "wk-0"));
    // The leader renews its lease between the refusals, but its replica never advances.
    for _ in 0..30 {
        simulation.run(1200 * MILLISECOND);
        simulation.store.accept(leader);
        simulation.run(600 * MILLISECOND);
        simulation.store.refuse(leader);
    }
    assert_eq!(simulation.running_task_count("wk-0"), 0);
    simulation.store.accept(leader);
    simulation.faults.watches_stay_stalled = false;
    simulation.reconnect_peers();
    simulation.run(30 * SECOND);
    assert!(all_tasks_running(&simulation, 1..4));
    simulation.assert_no_violations();
}

/// A cancellation is confirmed once the leader knows of it or can no longer start tasks. A leader that the store refuses and that
/// no other controller reaches may still send starts whose log entries were durable before the cancellation, but only until the
/// cancellation is confirmed.
#[test]
fn no_start_is_sent_after_a_confirmed_cancellation() {
    for peers_connected in [true, false] {
        for offset in 0..12 {
            let mut simulation = Simulation::new(21, 4);
            simulation.start_log_write_latency = 400 * MILLISECOND;
            simulation.submit(spec("wk-1", 6), 60 * SECOND);
            simulation.run(50 * offset * MILLISECOND);
            let leader = simulation.leader().unwrap();
            if !peers_connected {
                simulation.cut_peers(20 * SECOND);
            }
            simulation.store.refuse(leader);
            if !simulation.cancel(next_node(leader), "wk-1") {
                // That controller does not know of the job yet.
                continue;
            }
            simulation.run(6 * SECOND);
            simulation.store.accept(leader);
            simulation.run(20 * SECOND);
            assert!(
                simulation.cancellation_is_confirmed("wk-1")
                    && simulation.running_task_count("wk-1") == 0
            );
            simulation.assert_no_violations();
        }
    }
}
