//! The controllers' processes. The real [`ControllerState`] makes the decisions, and these modules execute them as the
//! controller's loops do.

mod dispatch;
mod leadership;
mod peers;
mod writes;

use super::cloud::machine_type;
use super::{Deployment, Simulation, NODES};
use crate::config::{Peer, Settings};
use crate::controller::clock::Clock;
use crate::controller::state::ControllerState;
use crate::scheduler::Scheduler;
use crate::time::Timestamp;
use leadership::ClaimedEpoch;
use std::time::Duration;
use writes::PendingSlotWrite;

/// Time for which the store holds a watch request without changes, as in the controller.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Time for which the replica may lag behind a read before the watch is reopened: the controller's minimum stall timeout.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// An open watch of the store.
#[derive(Clone, Copy)]
struct Watch {
    opened_at: Timestamp,
    /// Whether the store was unavailable while the watch was open. Such a watch delivers no changes until it is reopened.
    stalled: bool,
}

/// A controller's process, with its timers and its requests in flight.
#[derive(Default)]
pub(crate) struct Node {
    /// State of the controller; none while the process is down.
    pub controller: Option<ControllerState>,
    /// End of the pause of the process; in the past if it is not paused.
    pub paused_until: Timestamp,
    pub(super) next_cloud_round_at: Timestamp,
    /// Number of crashes so far. It identifies the process that sent a message.
    pub(super) incarnation: u64,
    restart_at: Timestamp,
    watch: Option<Watch>,
    next_renewal_at: Timestamp,
    next_flush_at: Timestamp,
    claimed_epoch: Option<ClaimedEpoch>,
    pending_slot_write: Option<PendingSlotWrite>,
}

impl Node {
    /// Returns the state of the controller. Panics if the process is down.
    pub(crate) fn running_controller(&self) -> &ControllerState {
        self.controller.as_ref().unwrap()
    }

    /// Returns the state of the controller for changes. Panics if the process is down.
    pub(crate) fn running_controller_mut(&mut self) -> &mut ControllerState {
        self.controller.as_mut().unwrap()
    }

    /// Returns the scheduler. Panics unless this controller leads.
    pub(super) fn leader_scheduler_mut(&mut self) -> &mut Scheduler {
        self.running_controller_mut().scheduler_mut().unwrap()
    }

    /// Ends the process, which loses its state and the responses to its requests in flight.
    pub(super) fn crash(&mut self, restart_at: Timestamp) {
        self.controller = None;
        self.watch = None;
        self.claimed_epoch = None;
        self.pending_slot_write = None;
        self.restart_at = restart_at;
        self.incarnation += 1;
    }
}

/// Returns the name of a controller.
pub(crate) fn node_name(node: usize) -> String {
    format!("drover-{node}")
}

/// Returns the number of the controller with this name.
pub(super) fn node_index(name: &str) -> Option<usize> {
    name.strip_prefix("drover-")?.parse().ok()
}

fn settings(node: usize, deployment: Deployment) -> Settings {
    let mut settings = crate::config::tests::settings();
    let peer = |peer| Peer {
        node: node_name(peer),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
    };
    settings.platform.node = node_name(node);
    settings.platform.peers = (0..NODES).filter(|n| *n != node).map(peer).collect();
    settings.platform.deployment.teams[0].cpus_max = deployment.team_cpu_limit.unwrap_or(0.0);
    settings.platform.deployment.state.next = deployment.next_limits;
    settings
}

impl Simulation {
    /// Runs one step of a controller. Restarts its process if that is due and the store answers it.
    pub(super) fn step_node(&mut self, node: usize) {
        let now = self.now();
        if self.nodes[node].controller.is_none() {
            if now < self.nodes[node].restart_at || !self.store.is_available_to(node) {
                return;
            }
            self.start_process(node);
        }
        if now < self.nodes[node].paused_until {
            return;
        }
        self.drive_watch(node);
        self.drive_leadership(node);
        self.drive_start_log(node);
        self.flush(node);
        self.scheduling_round(node);
        self.cloud_round(node);
    }

    /// Starts the process of a controller with a replica read from the store.
    fn start_process(&mut self, node: usize) {
        let mut controller = ControllerState::new(
            settings(node, self.deployment),
            self.now().as_millis() + 1,
            Clock::Scripted(self.clock.clone()),
        );
        controller.set_machine_types(&[machine_type()]);
        // A deleted leader key needs no handling here: each step campaigns if leadership is vacant.
        let _ = controller.replace_replica(self.store.replica());
        self.nodes[node].controller = Some(controller);
    }

    /// Keeps a watch open and applies the changes that it delivers.
    fn drive_watch(&mut self, node: usize) {
        let (now, available) = (self.now(), self.store.is_available_to(node));
        let stays_stalled = self.faults.watches_stay_stalled;
        let Node {
            controller: Some(controller),
            watch,
            ..
        } = &mut self.nodes[node]
        else {
            return;
        };
        if let Some(open) = watch {
            open.stalled |= !available;
            let lags = now >= open.opened_at + STALL_TIMEOUT
                && controller
                    .leadership()
                    .has_pending_read_sent_before(now.saturating_sub(STALL_TIMEOUT));
            let is_over = now > open.opened_at + WATCH_TIMEOUT || (lags && available);
            if is_over && !(stays_stalled && open.stalled) {
                *watch = None;
            }
        }
        let new_watch = Watch {
            opened_at: now,
            stalled: false,
        };
        if watch.is_none() && available {
            *watch = Some(new_watch);
        }
        let delivers = watch.is_some_and(|open| !open.stalled);
        if delivers && self.store.revision() > controller.replica().revision {
            let changes = self.store.events_after(controller.replica().revision);
            // A deleted leader key needs no handling here: each step campaigns if leadership is vacant.
            let _ = controller.apply_watch_events(self.store.revision(), &changes);
            *watch = Some(new_watch);
        }
    }
}
