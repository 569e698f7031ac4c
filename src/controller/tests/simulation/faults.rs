//! What is broken at present. Tests and random schedules set these; nothing is broken by default.

use super::workers::Worker;
use super::{Simulation, NODES, SECOND};
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// A zone that is isolated together with one controller; nothing else reaches either of them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct IsolatedZone {
    pub zone: &'static str,
    pub node: usize,
}

/// Faults of network, cloud and processes. Those of a single worker are fields of [`Worker`], those of a single process of
/// [`Node`](super::cluster::Node), and the store keeps whom it refuses.
pub(crate) struct Faults {
    /// The cloud answers nobody.
    pub cloud_down: bool,
    /// No controller reaches another before this time.
    pub peers_cut_until: Timestamp,
    /// A zone that is isolated.
    pub isolated_zone: Option<IsolatedZone>,
    /// Controllers that reach no worker.
    pub cut_from_workers: BTreeSet<usize>,
    /// Controllers that reach no other controller.
    pub cut_from_peers: BTreeSet<usize>,
    /// Pairs of controllers of which the first does not reach the second.
    pub cut_paths: BTreeSet<(usize, usize)>,
    /// Share of heartbeats of which a copy arrives again later.
    pub heartbeat_duplicate_probability: f64,
    /// Share of direct commands that are delayed on their way.
    pub command_delay_probability: f64,
    /// Shortest such delay.
    pub min_command_delay: Duration,
    /// How long a connection to a worker takes to open.
    pub connection_delay: Duration,
    /// The next controller that decides to start something is paused for so long before it sends that; zero for none.
    pub pause_before_send: Duration,
    /// Share of transactions that get no answer and are carried out later.
    pub late_write_probability: f64,
    /// Watches that stalled once stay silent, even after they should be opened anew.
    pub watches_stay_stalled: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            cloud_down: false,
            peers_cut_until: Timestamp::ZERO,
            isolated_zone: None,
            cut_from_workers: BTreeSet::new(),
            cut_from_peers: BTreeSet::new(),
            cut_paths: BTreeSet::new(),
            heartbeat_duplicate_probability: 0.0,
            command_delay_probability: 0.0,
            min_command_delay: 2 * SECOND,
            connection_delay: Duration::ZERO,
            pause_before_send: Duration::ZERO,
            late_write_probability: 0.0,
            watches_stay_stalled: false,
        }
    }
}

impl Faults {
    /// Whether a controller and the machines of a zone reach each other.
    pub(super) fn node_reaches_zone(&self, node: usize, zone: &str) -> bool {
        let separated = |isolated: IsolatedZone| (isolated.zone == zone) != (isolated.node == node);
        !self.cut_from_workers.contains(&node) && !self.isolated_zone.is_some_and(separated)
    }

    /// Whether a controller reaches another.
    pub(super) fn node_reaches_peer(&self, from: usize, to: usize) -> bool {
        let isolated = self
            .isolated_zone
            .is_some_and(|isolated| isolated.node == from || isolated.node == to);
        !isolated
            && !self.cut_from_peers.contains(&from)
            && !self.cut_from_peers.contains(&to)
            && !self.cut_paths.contains(&(from, to))
    }
}

impl Simulation {
    /// The store goes down for everybody.
    pub(crate) fn begin_store_outage(&mut self) {
        self.store.begin_outage();
    }

    /// The store comes back.
    pub(crate) fn end_store_outage(&mut self) {
        let now = self.now();
        self.store.end_outage(now);
    }

    /// No controller reaches another for that time.
    pub(crate) fn cut_peers(&mut self, duration: Duration) {
        self.faults.peers_cut_until = self.now() + duration;
    }

    /// The controllers reach each other again.
    pub(crate) fn reconnect_peers(&mut self) {
        self.faults.peers_cut_until = Timestamp::ZERO;
    }

    /// A controller loses the whole network: store, workers and the other controllers.
    pub(crate) fn disconnect(&mut self, node: usize) {
        self.store.refuse(node);
        self.faults.cut_from_workers.insert(node);
        self.faults.cut_from_peers.insert(node);
    }

    /// A controller has the whole network again.
    pub(crate) fn reconnect(&mut self, node: usize) {
        self.store.accept(node);
        self.faults.cut_from_workers.remove(&node);
        self.faults.cut_from_peers.remove(&node);
    }

    /// Ends all faults but those of single workers and processes, which end by themselves.
    pub(crate) fn end_all_faults(&mut self) {
        for node in 0..NODES {
            self.store.accept(node);
        }
        self.end_store_outage();
        self.faults = Faults::default();
    }

    /// Ends a controller's process, which is started again after that time.
    pub(crate) fn crash(&mut self, node: usize, restart_after: Duration) {
        let restart_at = self.now() + restart_after;
        self.nodes[node].crash(restart_at);
    }

    /// Pauses a controller's process while the clocks run on.
    pub(crate) fn pause(&mut self, node: usize, pause: Duration) {
        self.nodes[node].paused_until = self.now() + pause;
    }

    /// The machine at that index in the order of names, counted round.
    pub(crate) fn nth_machine(&self, index: usize) -> String {
        let mut machines = self.workers.keys();
        machines.nth(index % self.workers.len()).unwrap().clone()
    }

    /// A worker that a test names.
    pub(crate) fn worker_mut(&mut self, machine: &str) -> &mut Worker {
        self.workers.get_mut(machine).unwrap()
    }

    /// A worker's process hangs: it neither reports nor executes anything, and its tasks stand still.
    pub(crate) fn hang_worker(&mut self, machine: &str, duration: Duration) {
        let until = self.now() + duration;
        self.worker_mut(machine).hung_until = until;
    }

    /// A worker hears nothing, neither answers nor direct commands.
    pub(crate) fn drop_worker_inbound(&mut self, machine: &str, duration: Duration) {
        let until = self.now() + duration;
        self.worker_mut(machine).inbound_dropped_until = until;
    }

    /// A worker's heartbeats get lost.
    pub(crate) fn drop_worker_heartbeats(&mut self, machine: &str, duration: Duration) {
        let until = self.now() + duration;
        self.worker_mut(machine).heartbeats_dropped_until = until;
    }
}
