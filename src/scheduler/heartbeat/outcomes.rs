//! Tasks that have ended on a machine: results, and the attribution of failures to machines or jobs.

use crate::protocol::{ExitReason, JobKind};
use crate::scheduler::attempt::{Phase, TaskAttempt, TaskEvent, TaskId};
use crate::scheduler::gone_proof::GoneProof;
use crate::scheduler::index::{JobIndex, MachineIndex};
use crate::scheduler::machines::MachineState;
use crate::scheduler::Scheduler;
use std::time::Duration;

/// Backoff of a job after a worker has refused a start because it does not know the job or task.
const UNKNOWN_TASK_BACKOFF: Duration = Duration::from_secs(2);
/// Number of machines on which a job that is not known to work must have failed before its failures no longer count against
/// machines.
const MIN_MACHINES_TO_DISCARD_FAILURES: usize = 2;

impl Scheduler {
    /// Processes the end of a task on a machine. `active` is the task's active attempt, if that is the one that has ended.
    /// Returns true if the worker may forget the ended attempt.
    pub(super) fn handle_exit(
        &mut self,
        machine: MachineIndex,
        task: TaskId,
        reason: Option<ExitReason>,
        active: Option<TaskAttempt>,
    ) -> bool {
        let job = self.job(task.job);
        let has_result = reason == Some(ExitReason::Done)
            && job.record.spec.kind != JobKind::Service
            && !job.is_final;
        if has_result {
            return self.handle_result(machine, task, active);
        }
        let Some(active) = active else { return true };
        self.apply_event(task, TaskEvent::Gone(GoneProof::Ended));
        if !active.is_stopping() {
            self.handle_failure(machine, task.job, reason);
        }
        true
    }

    /// Processes the result of a task that has finished. Returns true if the worker may forget it, since its result is stored.
    fn handle_result(
        &mut self,
        machine: MachineIndex,
        task: TaskId,
        active: Option<TaskAttempt>,
    ) -> bool {
        let job = self.job(task.job);
        if !job.done.contains(task.number) {
            if job.active.contains_key(&task.number) && active.is_none() {
                // Another attempt of the task is active elsewhere, so the worker keeps this result until that one has ended.
                return false;
            }
            self.finish_task(machine, task, active);
        }
        self.job(task.job).stored.contains(task.number)
    }

    /// Marks a task as done. Its result is still to be written to the store.
    fn finish_task(&mut self, machine: MachineIndex, task: TaskId, active: Option<TaskAttempt>) {
        let now = self.now();
        self.job_mut(task.job).record_result(task.number);
        self.jobs.mark_unstored(task, now);
        if let Some(active) = active {
            if active.phase == Phase::Running {
                let took = now.saturating_duration_since(active.since);
                self.record_run_time(machine, task.job, took);
            }
            self.machine_mut(machine).health.record_success();
            self.apply_event(task, TaskEvent::Finished);
        }
        self.pass_requested = true;
    }

    /// Records the run time of a finished task in its job's mean, and updates the machine's speed from its ratio to that mean.
    fn record_run_time(&mut self, machine: MachineIndex, job: JobIndex, took: Duration) {
        let job = self.job_mut(job);
        let class = job.resource_class;
        if let Some(ratio) = job.run_times.record(took) {
            let capability = &mut self.machine_mut(machine).capability;
            capability.record(class, ratio);
        }
    }

    /// Handles the end of a task that has no result and was not stopped.
    fn handle_failure(&mut self, machine: MachineIndex, job: JobIndex, reason: Option<ExitReason>) {
        match reason {
            Some(ExitReason::Error) => self.attribute_failure(machine, job),
            Some(ExitReason::InsufficientResources) => {
                let now = self.now();
                self.machine_mut(machine).health.record_refused_start(now);
            }
            Some(ExitReason::UnknownTask) => {
                self.job_mut(job).retry_at = self.now() + UNKNOWN_TASK_BACKOFF;
            }
            _ => {}
        }
    }

    /// Attributes the failure of a task to its machine or to its job. A machine on which tasks of several jobs fail is
    /// quarantined. A job that fails on several machines, and of which no task has finished or run for a while, is itself at
    /// fault: its failures are removed from all machines. If it goes on failing, it is tried rarely and one task at a time,
    /// see [`Job::fails_everywhere`](crate::scheduler::job::Job::fails_everywhere).
    fn attribute_failure(&mut self, machine: MachineIndex, job_index: JobIndex) {
        let now = self.now();
        let job = self.job_mut(job_index);
        job.record_failure(machine, now);
        if !job.is_known_to_work(now)
            && job.failures.machine_count() >= MIN_MACHINES_TO_DISCARD_FAILURES
        {
            self.discard_failures_of_job(job_index);
            return;
        }
        if self
            .machine_mut(machine)
            .health
            .record_failure(job_index, now)
        {
            self.quarantine(machine);
        }
    }

    /// Drains a machine on which tasks of several jobs have failed, and stops its tasks.
    fn quarantine(&mut self, index: MachineIndex) {
        let machine = self.machine_mut(index);
        let was_up = machine.state() == MachineState::Up;
        machine.health.set_quarantined(was_up);
        self.set_machine_state(
            index,
            MachineState::Draining,
            "tasks of several jobs failed",
        );
        for task in self.machine(index).load.tasks().clone() {
            let save = self.job(task.job).record.spec.checkpoint_interval_s > 0.0;
            self.apply_event(task, TaskEvent::Stop { save });
        }
    }

    /// Removes the failures of a job from all machines and ends the quarantines that are based on them.
    fn discard_failures_of_job(&mut self, job: JobIndex) {
        for index in self.machines.indices() {
            let Some(machine) = self.machines.get_mut(index) else {
                continue;
            };
            if !machine.health.has_failed(job) {
                continue;
            }
            machine.health.forget_job(job);
            if machine.health.end_quarantine() && !machine.eviction.has_termination_notice() {
                self.set_machine_state(
                    index,
                    MachineState::Up,
                    "failures attributed to a job, quarantine ended",
                );
            }
        }
    }
}
