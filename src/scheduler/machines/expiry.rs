//! What time alone brings: leases that have surely expired, and termination notices.

use super::machine::{Machine, MachineState};
use crate::protocol::{JobKind, JobSpec};
use crate::scheduler::attempt::TaskEvent;
use crate::scheduler::index::MachineIndex;
use crate::scheduler::Scheduler;
use crate::time::{duration, Timestamp};
use std::time::Duration;

/// Most time between two ticks of a process that has its processor.
const TICK_GAP: Duration = Duration::from_secs(1);
/// Beside two heartbeats, for the way of a stop to a worker before its machine is taken.
const STOP_MARGIN: Duration = Duration::from_secs(2);

impl Scheduler {
    /// Moves the clock, and does what time alone brings for each machine.
    pub fn tick(&mut self, now: u64) {
        let now_at = Timestamp::from_millis(now);
        let gap = now_at.saturating_duration_since(self.last_tick_at);
        let pause = gap.saturating_sub(TICK_GAP);
        if self.last_tick_at > Timestamp::ZERO && pause > Duration::ZERO {
            self.compensate_process_pause(pause);
        }
        self.last_tick_at = now_at;
        self.advance_clock(now);
        for index in self.machines.indices() {
            if self.machines.get(index).is_some() {
                self.expire_lease(index);
                self.evict_before_termination(index, now_at);
            }
        }
    }

    /// Whether a machine's lease has surely expired.
    fn lease_has_expired(&self, machine: &Machine) -> bool {
        machine.lease.has_expired(self.params.lease, self.now())
    }

    /// Nothing is left on a machine whose lease has surely expired.
    fn expire_lease(&mut self, index: MachineIndex) {
        let machine = self.machine(index);
        if machine.load.tasks().is_empty() || !self.lease_has_expired(machine) {
            return;
        }
        let tasks = machine.load.tasks().len();
        tracing::info!(machine = %machine.name(), tasks, "lease expired");
        self.drop_all_tasks(index);
        // A worker that comes back is in its next session; nothing meant for the last one may reach it.
        self.advance_fencing_token(index, "lease expired");
    }

    /// Drains a machine with a termination notice. Services are stopped at once, work that saves just in time to save; the
    /// rest may still finish.
    fn evict_before_termination(&mut self, index: MachineIndex, now: Timestamp) {
        let Some(terminates_at) = self.machine(index).eviction.terminates_at() else {
            return;
        };
        self.set_machine_state(index, MachineState::Draining, "notice");
        for task in self.machine(index).load.tasks().clone() {
            let spec = &self.job(task.job).record.spec;
            let save = spec.checkpoint_interval_s > 0.0;
            let must_save_now = save && now + self.time_to_save(spec) >= terminates_at;
            if spec.kind == JobKind::Service || must_save_now {
                self.apply_event(task, TaskEvent::Stop { save });
            }
        }
    }

    /// The time that a task needs to save its progress, with the way of the stop to its worker.
    fn time_to_save(&self, spec: &JobSpec) -> Duration {
        duration(spec.save_s) + self.params.heartbeat_interval * 2 + STOP_MARGIN
    }
}
