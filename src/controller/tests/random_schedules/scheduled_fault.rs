//! The faults that a schedule draws: which, of whom, for how long.

use super::super::simulation::faults::IsolatedZone;
use super::super::simulation::{Simulation, NODES};
use crate::time::{whole_millis, Timestamp};
use rand::Rng;
use std::time::Duration;

/// A fault that a schedule may begin. Its index in [`FaultKind::ALL`] is what is drawn.
#[derive(Debug, Clone, Copy)]
enum FaultKind {
    StoreRefusal,
    StoreOutage,
    Crash,
    ProcessPause,
    HungWorker,
    DeafWorker,
    MuteWorker,
    CutPeers,
    CloudOutage,
    LateWrites,
    IsolatedZone,
    CrashOfAll,
    DelayedHeartbeat,
    CutFromWorkers,
    CutFromPeers,
    CutFromNetwork,
    PauseBeforeSending,
}

impl FaultKind {
    const ALL: [FaultKind; 17] = [
        FaultKind::StoreRefusal,
        FaultKind::StoreOutage,
        FaultKind::Crash,
        FaultKind::ProcessPause,
        FaultKind::HungWorker,
        FaultKind::DeafWorker,
        FaultKind::MuteWorker,
        FaultKind::CutPeers,
        FaultKind::CloudOutage,
        FaultKind::LateWrites,
        FaultKind::IsolatedZone,
        FaultKind::CrashOfAll,
        FaultKind::DelayedHeartbeat,
        FaultKind::CutFromWorkers,
        FaultKind::CutFromPeers,
        FaultKind::CutFromNetwork,
        FaultKind::PauseBeforeSending,
    ];
}

/// A fault of a schedule.
pub(super) struct ScheduledFault {
    kind: FaultKind,
    node: usize,
    machine: String,
    duration: Duration,
    pub(super) ends_at: Timestamp,
}

impl ScheduledFault {
    /// Draws a fault: of the leader more often than of another controller.
    pub(super) fn draw(simulation: &mut Simulation) -> ScheduledFault {
        let leader = simulation.leader();
        let leader = leader.filter(|_| simulation.rng.gen_bool(0.6));
        // Drawn in any case: the order of draws is part of what a seed means.
        let any_node = simulation.rng.gen_range(0..NODES);
        let machine = simulation.rng.gen_range(0..simulation.workers.len());
        let duration = Duration::from_millis(simulation.rng.gen_range(300..20_000));
        // The type is part of what a seed means, too: a wider one draws other values.
        let kind: u8 = simulation.rng.gen_range(0..17);
        ScheduledFault {
            kind: FaultKind::ALL[usize::from(kind)],
            node: leader.unwrap_or(any_node),
            machine: simulation.nth_machine(machine),
            duration,
            ends_at: simulation.now() + duration,
        }
    }

    pub(super) fn begin(&self, simulation: &mut Simulation) {
        let (node, machine, duration) = (self.node, &self.machine, self.duration);
        self.log(simulation);
        match self.kind {
            FaultKind::StoreRefusal => simulation.store.refuse(node),
            FaultKind::StoreOutage => simulation.begin_store_outage(),
            FaultKind::Crash => simulation.crash(node, duration / 3),
            FaultKind::ProcessPause => simulation.pause(node, duration / 2),
            FaultKind::HungWorker => simulation.hang_worker(machine, duration),
            FaultKind::DeafWorker => simulation.drop_worker_inbound(machine, duration),
            FaultKind::MuteWorker => simulation.drop_worker_heartbeats(machine, duration),
            FaultKind::CutPeers => simulation.cut_peers(duration),
            FaultKind::CloudOutage => simulation.faults.cloud_down = true,
            FaultKind::LateWrites => simulation.faults.late_write_probability = 0.3,
            FaultKind::IsolatedZone => self.isolate_zone(simulation),
            FaultKind::CrashOfAll => self.crash_all(simulation),
            FaultKind::DelayedHeartbeat => {
                simulation.worker_mut(machine).next_heartbeat_delay = duration;
            }
            FaultKind::CutFromWorkers => {
                simulation.faults.cut_from_workers.insert(node);
            }
            FaultKind::CutFromPeers => {
                simulation.faults.cut_from_peers.insert(node);
            }
            FaultKind::CutFromNetwork => simulation.disconnect(node),
            FaultKind::PauseBeforeSending => {
                simulation.faults.pause_before_send = duration;
            }
        }
    }

    fn log(&self, simulation: &Simulation) {
        let (now, kind, duration_ms) = (
            simulation.now().as_millis(),
            self.kind,
            whole_millis(self.duration),
        );
        let (node, machine) = (self.node, self.machine.as_str());
        tracing::info!(now, ?kind, node, machine, duration_ms, "fault begins");
    }

    fn isolate_zone(&self, simulation: &mut Simulation) {
        simulation.faults.isolated_zone = Some(IsolatedZone {
            zone: ["a", "b"][self.node % 2],
            node: self.node,
        });
        simulation.store.refuse(self.node);
    }

    fn crash_all(&self, simulation: &mut Simulation) {
        for (node, divisor) in (0..NODES).zip(1..) {
            simulation.crash(node, self.duration / divisor);
        }
    }

    /// Ends a fault that does not end by itself.
    pub(super) fn end(&self, simulation: &mut Simulation) {
        let node = self.node;
        match self.kind {
            FaultKind::StoreRefusal => simulation.store.accept(node),
            FaultKind::StoreOutage => simulation.end_store_outage(),
            FaultKind::CloudOutage => simulation.faults.cloud_down = false,
            FaultKind::LateWrites => simulation.faults.late_write_probability = 0.0,
            FaultKind::IsolatedZone => {
                simulation.faults.isolated_zone = None;
                simulation.store.accept(node);
            }
            FaultKind::CutFromWorkers => {
                simulation.faults.cut_from_workers.remove(&node);
            }
            FaultKind::CutFromPeers => {
                simulation.faults.cut_from_peers.remove(&node);
            }
            FaultKind::CutFromNetwork => simulation.reconnect(node),
            FaultKind::Crash
            | FaultKind::ProcessPause
            | FaultKind::HungWorker
            | FaultKind::DeafWorker
            | FaultKind::MuteWorker
            | FaultKind::CutPeers
            | FaultKind::CrashOfAll
            | FaultKind::DelayedHeartbeat
            | FaultKind::PauseBeforeSending => {}
        }
    }
}
