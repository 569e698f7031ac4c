//! The controllers' processes. The decisions are the real [`ControllerState`]'s; these modules carry out what it asks for, as
//! the controller's loops do.

mod dispatch;
mod leadership;
mod peers;
mod writes;

use super::cloud::machine_type;
use super::{Simulation, NODES};
use crate::config::{Peer, Settings};
use crate::controller::clock::Clock;
use crate::controller::state::ControllerState;
use crate::scheduler::Scheduler;
use crate::time::Timestamp;
use leadership::ClaimedEpoch;
use std::time::Duration;
use writes::PendingSlotWrite;

/// How long a watch waits for changes; as in the controller.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// A watch that lags behind a read for so long is opened anew; as in the controller.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// A watch of the store.
#[derive(Clone, Copy)]
struct Watch {
    opened_at: Timestamp,
    /// The store did not answer while it was open: it waits silently until its time is over.
    stalled: bool,
}

/// A controller's process and its calls.
#[derive(Default)]
pub(crate) struct Node {
    /// Its state; none while the process is down.
    pub controller: Option<ControllerState>,
    /// Until when its process is paused.
    pub paused_until: Timestamp,
    pub(super) next_cloud_round_at: Timestamp,
    /// Number of its crashes.
    pub(super) incarnation: u64,
    restart_at: Timestamp,
    watch: Option<Watch>,
    next_renewal_at: Timestamp,
    next_flush_at: Timestamp,
    claimed_epoch: Option<ClaimedEpoch>,
    pending_slot_write: Option<PendingSlotWrite>,
}

impl Node {
    /// The state of a process that runs.
    pub(crate) fn running_controller(&self) -> &ControllerState {
        self.controller.as_ref().unwrap()
    }

    /// The state of a process that runs.
    pub(crate) fn running_controller_mut(&mut self) -> &mut ControllerState {
        self.controller.as_mut().unwrap()
    }

    /// The scheduler of a process that leads.
    pub(super) fn leader_scheduler_mut(&mut self) -> &mut Scheduler {
        self.running_controller_mut().scheduler_mut().unwrap()
    }

    /// The process ends.
    pub(super) fn crash(&mut self, restart_at: Timestamp) {
        self.controller = None;
        self.watch = None;
        self.claimed_epoch = None;
        self.pending_slot_write = None;
        self.restart_at = restart_at;
        self.incarnation += 1;
    }
}

/// The name of a controller.
pub(crate) fn node_name(node: usize) -> String {
    format!("drover-{node}")
}

/// The controller of a name.
pub(super) fn node_index(name: &str) -> Option<usize> {
    name.strip_prefix("drover-")?.parse().ok()
}

fn settings(node: usize, team_cpu_limit: Option<f64>) -> Settings {
    let mut settings = crate::config::tests::settings();
    let peer = |peer| Peer {
        node: node_name(peer),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
    };
    settings.platform.node = node_name(node);
    settings.platform.peers = (0..NODES).filter(|n| *n != node).map(peer).collect();
    settings.platform.deployment.teams[0].cpus_max = team_cpu_limit.unwrap_or(0.0);
    settings
}

impl Simulation {
    /// One step of a controller.
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

    /// A process starts and reads the store.
    fn start_process(&mut self, node: usize) {
        let mut controller = ControllerState::new(
            settings(node, self.team_cpu_limit),
            self.now().as_millis() + 1,
            Clock::Scripted(self.clock.clone()),
        );
        controller.set_machine_types(&[machine_type()]);
        // A vacancy need not be noticed here: every step campaigns if it may.
        let _ = controller.replace_replica(self.store.replica());
        self.nodes[node].controller = Some(controller);
    }

    /// Keeps a watch open and hands its changes to the controller.
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
            // A vacancy need not be noticed here: every step campaigns if it may.
            let _ = controller.apply_watch_events(self.store.revision(), &changes);
            *watch = Some(new_watch);
        }
    }
}
