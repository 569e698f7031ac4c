//! The faults in effect. Tests and random schedules begin and end them; by default there are none.

use super::workers::Worker;
use super::{Simulation, NODES, SECOND};
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// A zone and a controller that are partitioned from the rest of the cluster. They reach each other, but no other zone or
/// controller. The store has to refuse the controller separately.
#[derive(Debug, Clone, Copy)]
pub(crate) struct IsolatedZone {
    pub zone: &'static str,
    pub node: usize,
}

/// Faults of the network, the cloud, the controllers and the responses of the store. Faults of individual workers are fields of
/// [`Worker`], those of individual processes are fields of [`Node`](super::cluster::Node), and the store holds its outage and
/// its refusals.
pub(crate) struct Faults {
    /// The cloud does not answer.
    pub cloud_down: bool,
    /// Time until which no controller reaches another.
    pub peers_cut_until: Timestamp,
    /// The isolated zone, if any.
    pub isolated_zone: Option<IsolatedZone>,
    /// Controllers that reach no worker and are reached by none.
    pub cut_from_workers: BTreeSet<usize>,
    /// Controllers that reach no other controller and are reached by none.
    pub cut_from_peers: BTreeSet<usize>,
    /// Pairs of controllers; the first does not reach the second.
    pub cut_paths: BTreeSet<(usize, usize)>,
    /// Probability that a heartbeat is duplicated. The duplicate arrives later, at a random controller.
    pub heartbeat_duplicate_probability: f64,
    /// Probability that direct commands are delayed in the network.
    pub command_delay_probability: f64,
    /// Minimum delay of delayed direct commands.
    pub min_command_delay: Duration,
    /// Time that a controller takes to open a connection to a worker.
    pub connection_delay: Duration,
    /// If not zero, the next controller that decides to start tasks is paused for this time before it sends the starts, and the
    /// value is reset to zero.
    pub pause_before_send: Duration,
    /// Probability that a transaction is not answered and committed later.
    pub late_write_probability: f64,
    /// Stalled watches are not reopened, so that they deliver no changes for as long as this is set.
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
    /// Reports whether a controller and the workers of a zone reach each other.
    pub(super) fn node_reaches_zone(&self, node: usize, zone: &str) -> bool {
        let separated = |isolated: IsolatedZone| (isolated.zone == zone) != (isolated.node == node);
        !self.cut_from_workers.contains(&node) && !self.isolated_zone.is_some_and(separated)
    }

    /// Reports whether a controller reaches another.
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
    /// Takes the store down for all controllers.
    pub(crate) fn begin_store_outage(&mut self) {
        self.store.begin_outage();
    }

    /// Ends the outage of the store, if there is one.
    pub(crate) fn end_store_outage(&mut self) {
        let now = self.now();
        self.store.end_outage(now);
    }

    /// Cuts the controllers off from each other for a time.
    pub(crate) fn cut_peers(&mut self, duration: Duration) {
        self.faults.peers_cut_until = self.now() + duration;
    }

    /// Lets the controllers reach each other again.
    pub(crate) fn reconnect_peers(&mut self) {
        self.faults.peers_cut_until = Timestamp::ZERO;
    }

    /// Cuts a controller off from the whole network: the store, the workers and the other controllers.
    pub(crate) fn disconnect(&mut self, node: usize) {
        self.store.refuse(node);
        self.faults.cut_from_workers.insert(node);
        self.faults.cut_from_peers.insert(node);
    }

    /// Connects a controller to the whole network again.
    pub(crate) fn reconnect(&mut self, node: usize) {
        self.store.accept(node);
        self.faults.cut_from_workers.remove(&node);
        self.faults.cut_from_peers.remove(&node);
    }

    /// Ends all faults but those of individual workers and processes, which end by themselves.
    pub(crate) fn end_all_faults(&mut self) {
        for node in 0..NODES {
            self.store.accept(node);
        }
        self.end_store_outage();
        self.faults = Faults::default();
    }

    /// Crashes a controller's process and restarts it after a time.
    pub(crate) fn crash(&mut self, node: usize, restart_after: Duration) {
        let restart_at = self.now() + restart_after;
        self.nodes[node].crash(restart_at);
    }

    /// Pauses a controller's process while all clocks continue.
    pub(crate) fn pause(&mut self, node: usize, pause: Duration) {
        self.nodes[node].paused_until = self.now() + pause;
    }

    /// Returns the machine at an index, modulo their number, in the order of names.
    pub(crate) fn nth_machine(&self, index: usize) -> String {
        let mut machines = self.workers.keys();
        machines.nth(index % self.workers.len()).unwrap().clone()
    }

    /// Returns the worker of a machine for changes. Panics if there is none.
    pub(crate) fn worker_mut(&mut self, machine: &str) -> &mut Worker {
        self.workers.get_mut(machine).unwrap()
    }

    /// Hangs a worker for a time: it sends no heartbeats, executes no commands, and its tasks make no progress.
    pub(crate) fn hang_worker(&mut self, machine: &str, duration: Duration) {
        let until = self.now() + duration;
        self.worker_mut(machine).hung_until = until;
    }

    /// Drops all messages to a worker for a time: replies to its heartbeats, and direct commands.
    pub(crate) fn drop_worker_inbound(&mut self, machine: &str, duration: Duration) {
        let until = self.now() + duration;
        self.worker_mut(machine).inbound_dropped_until = until;
    }

    /// Drops the heartbeats of a worker for a time.
    pub(crate) fn drop_worker_heartbeats(&mut self, machine: &str, duration: Duration) {
        let until = self.now() + duration;
        self.worker_mut(machine).heartbeats_dropped_until = until;
    }
}
