//! Time-driven changes on each tick: expired leases and termination notices.

use super::machine::{Machine, MachineState};
use crate::protocol::{JobKind, JobSpec};
use crate::scheduler::attempt::TaskEvent;
use crate::scheduler::gone_proof::GoneProof;
use crate::scheduler::index::MachineIndex;
use crate::scheduler::Scheduler;
use crate::time::{duration_from_secs, Timestamp};
use std::time::Duration;

/// Maximum time between two ticks of a process that runs without interruption. A longer gap counts as a pause.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);
/// Added to two heartbeat intervals as the time for a stop to reach the worker before its machine terminates.
const STOP_MARGIN: Duration = Duration::from_secs(2);

impl Scheduler {
    /// Advances the clock, compensates for a pause of this process, and handles expired leases and termination notices.
    pub fn tick(&mut self, now_ms: u64) {
        let now = Timestamp::from_millis(now_ms);
        let gap = now.saturating_duration_since(self.last_tick_at);
        let pause = gap.saturating_sub(MAX_TICK_GAP);
        if self.last_tick_at > Timestamp::ZERO && pause > Duration::ZERO {
            self.compensate_process_pause(pause);
        }
        self.last_tick_at = now;
        self.advance_clock(now_ms);
        for index in self.machines.indices() {
            if self.machines.get(index).is_some() {
                self.expire_lease(index);
                self.evict_before_termination(index, now);
            }
        }
    }

    /// Reports whether a machine's lease has certainly expired.
    fn lease_has_expired(&self, machine: &Machine) -> bool {
        machine
            .lease
            .has_expired(self.params.lease_duration, self.now())
    }

    /// Marks all tasks of a machine as gone if its lease has certainly expired, since its worker has then stopped them.
    fn expire_lease(&mut self, index: MachineIndex) {
        let machine = self.machine(index);
        if machine.load.tasks().is_empty() || !self.lease_has_expired(machine) {
            return;
        }
        let tasks = machine.load.tasks().len();
        tracing::info!(machine = %machine.name(), tasks, "worker lease expired, tasks are gone");
        self.drop_all_tasks(index, GoneProof::LeaseExpired);
        // A worker that returns is in a new session, and no command meant for the previous one may take effect there.
        self.advance_fencing_token(index, "lease expired");
    }

    /// Drains a machine with a termination notice. Services are stopped at once, and tasks that save checkpoints just in time
    /// to save; other tasks run on, as they may still finish.
    fn evict_before_termination(&mut self, index: MachineIndex, now: Timestamp) {
        let Some(terminates_at) = self.machine(index).eviction.terminates_at() else {
            return;
        };
        self.set_machine_state(index, MachineState::Draining, "termination notice");
        for task in self.machine(index).load.tasks().clone() {
            let spec = &self.job(task.job).record.spec;
            let save = spec.checkpoint_interval_s > 0.0;
            let must_save_now = save && now + self.time_to_save(spec) >= terminates_at;
            if spec.kind == JobKind::Service || must_save_now {
                self.apply_event(task, TaskEvent::Stop { save });
            }
        }
    }

    /// Returns the time that a task needs to save its progress, including the delivery of the stop to its worker.
    fn time_to_save(&self, spec: &JobSpec) -> Duration {
        duration_from_secs(spec.checkpoint_save_s)
            + self.params.heartbeat_interval * 2
            + STOP_MARGIN
    }
}
