//! Reconciliation of the tasks that a machine lists with those that the scheduler has recorded for it.
//!
//! The newest heartbeat under the current token is authoritative for its machine, except for starts in transit, see
//! [`GoneProof`](crate::scheduler::gone_proof::GoneProof).

use super::Heartbeat;
use crate::protocol::{split_task, Command, TaskState, TaskStatus, WorkerStatus};
use crate::scheduler::attempt::{Phase, TaskAttempt, TaskEvent, TaskId};
use crate::scheduler::index::MachineIndex;
use crate::scheduler::Scheduler;
use crate::time::whole_millis;
use std::collections::HashSet;

/// Returns the command that stops a listed task.
fn stop_command(status: &TaskStatus, grace_s: f64) -> Command {
    Command::Stop {
        task: status.task.clone(),
        attempt: status.attempt,
        grace_s,
    }
}

/// Returns the phase for the reported state of a task that has not ended.
fn live_phase(state: TaskState) -> Phase {
    match state {
        TaskState::Fetching | TaskState::Gathering => Phase::Fetching,
        _ => Phase::Running,
    }
}

impl Scheduler {
    /// Reconciles the tasks of a machine with its newest heartbeat, which is under the current token. Returns true if a start
    /// in the reply to a request was not executed.
    pub(super) fn reconcile(&mut self, heartbeat: Heartbeat, commands: &mut Vec<Command>) -> bool {
        let report = heartbeat.report;
        self.drop_replaced_attempts(heartbeat);
        let mut listed = HashSet::with_capacity(report.tasks.len());
        // Ended attempts come first: the refused start of one attempt must not hide that another one still runs here.
        let (ended, live): (Vec<_>, Vec<_>) = report
            .tasks
            .iter()
            .partition(|status| status.state == TaskState::Exited);
        for status in ended {
            self.reconcile_ended(heartbeat.machine, status, &mut listed, commands);
        }
        for status in live {
            self.reconcile_live(heartbeat.machine, status, &mut listed, commands);
        }
        self.drop_unlisted(heartbeat, &listed)
    }

    /// Adds stops for listed tasks of jobs that may no longer run, from a heartbeat that is not under the current token and
    /// from which nothing else is concluded. Otherwise a machine that returns after a hang or an isolation would have its
    /// lease renewed by the reply and run these tasks for another lease.
    pub(super) fn stop_ended_jobs(&self, report: &WorkerStatus, commands: &mut Vec<Command>) {
        let live = report
            .tasks
            .iter()
            .filter(|status| status.state != TaskState::Exited);
        commands.extend(
            live.filter(|status| self.job_has_ended(status))
                .map(|status| stop_command(status, 0.0)),
        );
    }

    /// Reports whether a listed task belongs to a job that may no longer run, because it is final or was removed from the
    /// store before this epoch began.
    fn job_has_ended(&self, status: &TaskStatus) -> bool {
        let job = split_task(&status.task).and_then(|(job, _)| self.jobs.index_of(job));
        job.is_none_or(|job| self.job(job).is_final)
    }

    /// Returns the task with this name, if its job is known.
    pub(in crate::scheduler) fn find_task(&self, name: &str) -> Option<TaskId> {
        let (job, number) = split_task(name)?;
        let job = self.jobs.index_of(job)?;
        Some(TaskId { job, number })
    }

    /// Returns the listed task, if its job is known and has a task with this number.
    fn known_task(&self, status: &TaskStatus) -> Option<TaskId> {
        self.find_task(&status.task)
            .filter(|task| task.number < self.job(task.job).tasks())
    }

    /// Returns the active attempt of a task, if it is the one that the machine lists.
    fn listed_attempt(
        &self,
        machine: MachineIndex,
        task: TaskId,
        status: &TaskStatus,
    ) -> Option<TaskAttempt> {
        let attempt = self.attempt(task).copied();
        attempt.filter(|a| a.machine == machine && a.attempt == status.attempt)
    }

    /// Processes a listed task that has ended.
    fn reconcile_ended(
        &mut self,
        machine: MachineIndex,
        status: &TaskStatus,
        listed: &mut HashSet<TaskId>,
        commands: &mut Vec<Command>,
    ) {
        let forget = Command::Forget {
            task: status.task.clone(),
            attempt: status.attempt,
        };
        let Some(task) = self.known_task(status) else {
            commands.push(forget);
            return;
        };
        let attempt = self.listed_attempt(machine, task, status);
        if attempt.is_some_and(|a| a.phase == Phase::Assigned) {
            return;
        }
        if attempt.is_some() {
            listed.insert(task);
        }
        if self.handle_exit(machine, task, status.reason, attempt) {
            commands.push(forget);
        }
    }

    /// Processes a listed task that has not ended: adopts it, updates its phase, or stops it.
    fn reconcile_live(
        &mut self,
        machine: MachineIndex,
        status: &TaskStatus,
        listed: &mut HashSet<TaskId>,
        commands: &mut Vec<Command>,
    ) {
        let Some(task) = self.known_task(status) else {
            commands.push(stop_command(status, 0.0));
            return;
        };
        let phase = live_phase(status.state);
        self.adopt_if_unknown(machine, task, status, phase);
        let Some(active) = self.listed_attempt(machine, task, status) else {
            self.report_if_active_elsewhere(machine, task, status);
            commands.push(stop_command(status, 0.0));
            return;
        };
        listed.insert(task);
        if let Some(active) = self.job_mut(task.job).active.get_mut(&task.number) {
            active.reported = true;
        }
        match active.phase {
            Phase::Stopping { save: true } if status.state == TaskState::Saving => {}
            Phase::Stopping { save: true } => {
                commands.push(stop_command(
                    status,
                    self.job(task.job).record.spec.checkpoint_save_s,
                ));
            }
            Phase::Stopping { save: false } => commands.push(stop_command(status, 0.0)),
            _ => self.update_phase(machine, task, active, phase),
        }
    }

    /// Logs an error if a task that this machine lists as live is active on another one: an attempt was wrongly taken for gone.
    /// The listed attempt is stopped.
    fn report_if_active_elsewhere(&self, machine: MachineIndex, task: TaskId, status: &TaskStatus) {
        let Some(active) = self.attempt(task).filter(|a| a.machine != machine) else {
            return;
        };
        tracing::error!(
            job = %self.job(task.job).record.spec.id,
            task = task.number,
            machine = %self.machine(machine).name(),
            attempt = status.attempt,
            state = ?status.state,
            active_machine = %self.machine(active.machine).name(),
            active_attempt = active.attempt,
            active_phase = ?active.phase,
            active_token = active.token.as_u64(),
            active_reported = active.reported,
            "task is listed by a machine while it is active on another one, it is stopped here"
        );
    }

    /// Updates the phase of a live task to the one that its worker reports.
    fn update_phase(
        &mut self,
        machine: MachineIndex,
        task: TaskId,
        active: TaskAttempt,
        phase: Phase,
    ) {
        let job = self.job(task.job);
        let image = job.image;
        if active.phase == Phase::Fetching && phase == Phase::Running {
            self.record_fetch_rate(machine, task, active);
        }
        if active.phase != phase {
            let (job, machine) = (self.job(task.job), self.machine(machine));
            let age_ms = whole_millis(self.elapsed_since(job.submitted_at));
            let held = machine.images().contains(&image);
            tracing::info!(job = %job.record.spec.id, task = task.number, machine = %machine.name(), ?phase, held, age_ms, "task changed phase");
        }
        self.record_image_holder(machine, image);
        self.apply_event(task, TaskEvent::Report(phase));
    }

    /// Records the fetch rate of a machine's type, after the machine has fetched the image of a task.
    fn record_fetch_rate(&mut self, machine: MachineIndex, task: TaskId, active: TaskAttempt) {
        let size_gb = self.job(task.job).record.spec.image_gb;
        let took = self.elapsed_since(active.since);
        let machine_type = self.machine(machine).machine_type();
        self.fetch_rates.record(machine_type, size_gb, took);
    }
}
