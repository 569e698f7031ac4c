//! Adoption of tasks that a machine lists but that are unknown to this leader.

use crate::protocol::TaskStatus;
use crate::scheduler::attempt::{Phase, TaskEvent, TaskId};
use crate::scheduler::index::MachineIndex;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Adopts a task that a machine lists, unless it has an active attempt or is done.
    pub(super) fn adopt_if_unknown(
        &mut self,
        machine: MachineIndex,
        task: TaskId,
        status: &TaskStatus,
        phase: Phase,
    ) {
        let job = self.job(task.job);
        if job.active.contains_key(&task.number) || job.done.contains(task.number) {
            return;
        }
        let attempt = status.attempt;
        self.apply_event(
            task,
            TaskEvent::Adopt {
                machine,
                attempt,
                phase,
            },
        );
        // Its entry may no longer be in the start log.
        self.start_log.enqueue(task, machine, attempt);
        if self.job(task.job).is_final {
            self.apply_event(task, TaskEvent::Stop { save: false });
        }
    }
}
