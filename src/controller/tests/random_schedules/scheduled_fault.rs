//! Faults of random schedules: their kinds, their random choice, and how they are injected and ended.

use super::super::simulation::faults::IsolatedZone;
use super::super::simulation::{Simulation, NODES};
use crate::time::{whole_millis, Timestamp};
use rand::Rng;
use std::time::Duration;

/// Kind of a fault, chosen by a random index into [`FaultKind::ALL`].
#[derive(Debug, Clone, Copy)]
enum FaultKind {
    /// The store refuses the requests of a controller.
    StoreRefusal,
    /// The store is down for all controllers.
    StoreOutage,
    /// A controller crashes, and restarts after a third of the duration.
    Crash,
    /// A controller's process is paused for half of the duration, while the clocks run on.
    ProcessPause,
    /// A worker's process hangs: it neither reports nor executes commands, and its tasks make no progress.
    HungWorker,
    /// A worker receives neither replies to its heartbeats nor direct commands.
    WorkerInboundLoss,
    /// A worker's heartbeats are lost.
    WorkerHeartbeatLoss,
    /// No controller reaches any other.
    CutPeers,
    /// The cloud responds to no controller.
    CloudOutage,
    /// 30% of the transactions get no response and are committed later.
    LateWrites,
    /// A zone and a controller reach each other, but nothing else reaches them. The store refuses the controller.
    IsolatedZone,
    /// All controllers crash at once and restart at different times.
    CrashOfAll,
    /// A worker's next heartbeat is delayed.
    DelayedHeartbeat,
    /// A controller and the workers do not reach each other.
    CutFromWorkers,
    /// A controller and the other controllers do not reach each other.
    CutFromPeers,
    /// A controller reaches neither the store nor the workers nor the other controllers.
    CutFromNetwork,
    /// The next leader that decides to start a task is paused before it sends the command.
    PauseBeforeSending,
}

impl FaultKind {
    /// All kinds. Their order must not change, since the seeds named in documents and commits depend on it.
    const ALL: [FaultKind; 17] = [
        FaultKind::StoreRefusal,
        FaultKind::StoreOutage,
        FaultKind::Crash,
        FaultKind::ProcessPause,
        FaultKind::HungWorker,
        FaultKind::WorkerInboundLoss,
        FaultKind::WorkerHeartbeatLoss,
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

/// A fault with its targets and its duration.
pub(super) struct ScheduledFault {
    kind: FaultKind,
    /// Target of a fault that affects a single controller.
    node: usize,
    /// Target of a fault that affects a single worker.
    machine: String,
    duration: Duration,
    /// When [`ScheduledFault::end`] is due.
    pub(super) ends_at: Timestamp,
}

impl ScheduledFault {
    /// Chooses a random fault. The leader is its target more often than another controller.
    pub(super) fn draw(simulation: &mut Simulation) -> ScheduledFault {
        let leader = simulation.leader();
        let leader = leader.filter(|_| simulation.rng.gen_bool(0.6));
        // Drawn even if it is not used: drawing it only when needed would change the schedules of existing seeds.
        let random_node = simulation.rng.gen_range(0..NODES);
        let machine_index = simulation.rng.gen_range(0..simulation.workers.len());
        let duration = Duration::from_millis(simulation.rng.gen_range(300..20_000));
        // A type of another width would give other values for the same seed.
        let kind_index: u8 = simulation.rng.gen_range(0..17);
        ScheduledFault {
            kind: FaultKind::ALL[usize::from(kind_index)],
            node: leader.unwrap_or(random_node),
            machine: simulation.nth_machine(machine_index),
            duration,
            ends_at: simulation.now() + duration,
        }
    }

    /// Injects the fault.
    pub(super) fn begin(&self, simulation: &mut Simulation) {
        let (node, machine, duration) = (self.node, &self.machine, self.duration);
        self.log(simulation);
        match self.kind {
            FaultKind::StoreRefusal => simulation.store.refuse(node),
            FaultKind::StoreOutage => simulation.begin_store_outage(),
            FaultKind::Crash => simulation.crash(node, duration / 3),
            FaultKind::ProcessPause => simulation.pause(node, duration / 2),
            FaultKind::HungWorker => simulation.hang_worker(machine, duration),
            FaultKind::WorkerInboundLoss => simulation.drop_worker_inbound(machine, duration),
            FaultKind::WorkerHeartbeatLoss => simulation.drop_worker_heartbeats(machine, duration),
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
        tracing::info!(now, ?kind, node, machine, duration_ms, "injecting fault");
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

    /// Ends the fault, unless it ends by itself.
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
            | FaultKind::WorkerInboundLoss
            | FaultKind::WorkerHeartbeatLoss
            | FaultKind::CutPeers
            | FaultKind::CrashOfAll
            | FaultKind::DelayedHeartbeat
            | FaultKind::PauseBeforeSending => {}
        }
    }
}
