//! Tasks on a machine that this leader knows nothing of.

use crate::protocol::TaskStatus;
use crate::scheduler::attempt::{Phase, TaskEvent, TaskId};
use crate::scheduler::index::MachineIndex;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Adopts a task that a machine lists, unless it is known to be somewhere or has finished.
    pub(super) fn adopt_if_unknown(
        &mut self,
        machine: MachineIndex,
        task: TaskId,
        line: &TaskStatus,
        phase: Phase,
    ) {
        let job = self.job(task.job);
        if job.active.contains_key(&task.number) || job.done.contains(task.number) {
            return;
        }
        let attempt = line.attempt;
        self.apply_event(
            task,
            TaskEvent::Adopt {
                machine,
                attempt,
                phase,
            },
        );
        // Its line may have left the start log.
        self.start_log.enqueue(task, machine, attempt);
        if self.job(task.job).cancelled {
            self.apply_event(task, TaskEvent::Stop { save: false });
        }
    }
}
