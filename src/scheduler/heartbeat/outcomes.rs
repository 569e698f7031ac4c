//! Tasks that have ended on a machine, and what their failures say of machines and jobs.

use crate::protocol::{ExitReason, JobKind};
use crate::scheduler::attempt::{Phase, TaskAttempt, TaskEvent, TaskId};
use crate::scheduler::index::{JobIndex, MachineIndex};
use crate::scheduler::machines::MachineState;
use crate::scheduler::Scheduler;
use std::time::Duration;

/// Pause of a job of which a task has ended for an unknown reason.
const UNKNOWN_EXIT_DELAY: Duration = Duration::from_secs(2);
/// A job that has failed on so many machines, and of which nothing has finished, says nothing of machines.
const ACQUITTING_MACHINES: usize = 2;

impl Scheduler {
    /// A task has ended on a machine; `active` is its attempt if that is the one that has ended. True if the worker may
    /// forget it.
    pub(super) fn task_exited(
        &mut self,
        machine: MachineIndex,
        task: TaskId,
        reason: Option<ExitReason>,
        active: Option<TaskAttempt>,
    ) -> bool {
        let job = self.job(task.job);
        let has_result = reason == Some(ExitReason::Done)
            && job.record.spec.kind != JobKind::Service
            && !job.cancelled;
        if has_result {
            return self.take_result(machine, task, active);
        }
        let Some(active) = active else { return true };
        self.apply_event(task, TaskEvent::Gone);
        if !active.is_stopping() {
            self.handle_failure(machine, task.job, reason);
        }
        true
    }

    /// A task has finished on a machine. True if the worker may forget it, since its result is stored.
    fn take_result(
        &mut self,
        machine: MachineIndex,
        task: TaskId,
        active: Option<TaskAttempt>,
    ) -> bool {
        let job = self.job(task.job);
        if !job.done.contains(task.number) {
            if job.active.contains_key(&task.number) && active.is_none() {
                // Another attempt of the task is active elsewhere; this result is kept until that has ended.
                return false;
            }
            self.finish_task(machine, task, active);
        }
        self.job(task.job).saved.contains(task.number)
    }

    fn finish_task(&mut self, machine: MachineIndex, task: TaskId, active: Option<TaskAttempt>) {
        let now = self.now();
        self.job_mut(task.job).record_result(task.number);
        self.jobs.mark_unsaved(task, now);
        if let Some(active) = active {
            if active.phase == Phase::Running {
                let took = now.saturating_duration_since(active.since);
                self.measure_task_time(machine, task.job, took);
            }
            self.machine_mut(machine).health.record_success();
            self.apply_event(task, TaskEvent::Finished);
        }
        self.pass_requested = true;
    }

    /// A task of a job has finished on a machine after this time: measures the job's mean, and the machine against
    /// it.
    fn measure_task_time(&mut self, machine: MachineIndex, job: JobIndex, took: Duration) {
        let job = self.job_mut(job);
        let class = job.class;
        if let Some(ratio) = job.run_times.record(took) {
            let capability = &mut self.machine_mut(machine).capability;
            capability.measure(class, ratio);
        }
    }

    /// A task of a job has ended on a machine without a result, and was not stopped.
    fn handle_failure(&mut self, machine: MachineIndex, job: JobIndex, reason: Option<ExitReason>) {
        match reason {
            Some(ExitReason::Error) => self.task_failed(machine, job),
            Some(ExitReason::InsufficientResources) => {
                let now = self.now();
                self.machine_mut(machine).health.record_refused_start(now);
            }
            Some(ExitReason::Unknown) => {
                self.job_mut(job).retry_at = self.now() + UNKNOWN_EXIT_DELAY;
            }
            _ => {}
        }
    }

    /// A task failed: its machine is faulty, or its job has a mistake. A machine that fails tasks of several jobs is
    /// quarantined. A job of which nothing has finished and that fails elsewhere too says nothing of machines, and what was
    /// held against them for its sake is taken back; once it has failed on several it is tried rarely, one task at a time.
    fn task_failed(&mut self, machine: MachineIndex, j: JobIndex) {
        let now = self.now();
        let job = self.job_mut(j);
        job.record_failure(machine, now);
        if !job.is_known_to_work(now) && job.failures.machine_count() >= ACQUITTING_MACHINES {
            self.acquit_machines(j);
            return;
        }
        if self.machine_mut(machine).health.record_failure(j, now) {
            self.quarantine(machine);
        }
    }

    /// Drains a machine that fails tasks of several jobs, and stops what is there.
    fn quarantine(&mut self, index: MachineIndex) {
        let machine = self.machine_mut(index);
        let was_up = machine.state() == MachineState::Up;
        machine.health.set_quarantined(was_up);
        self.set_machine_state(index, MachineState::Draining, "fails tasks of several jobs");
        for task in self.machine(index).load.tasks().clone() {
            let save = self.job(task.job).record.spec.checkpoint_interval_s > 0.0;
            self.apply_event(task, TaskEvent::Stop { save });
        }
    }

    /// The failures of a job say nothing of machines: those quarantined for its sake are used again.
    fn acquit_machines(&mut self, job: JobIndex) {
        for index in self.machines.indices() {
            let Some(machine) = self.machines.get_mut(index) else {
                continue;
            };
            if !machine.health.has_failed(job) {
                continue;
            }
            machine.health.forget_job(job);
            if machine.health.end_quarantine() && !machine.eviction.has_notice() {
                self.set_machine_state(
                    index,
                    MachineState::Up,
                    "what failed there fails everywhere",
                );
            }
        }
    }
}
