//! Reconciliation of the tasks that a machine lists with those that are known to be there.
//!
//! The newest heartbeat under the current token is the truth about its machine, but for starts in transit: direct ones whose
//! response is still out, and, where the heartbeat is the response to direct commands, those in the answer to a request,
//! which the worker may not have received yet. Only its next request tells of these, since it has one in flight at a time.
//! (A direct stop that overtook such a start once made tasks run twice.)

use super::Heartbeat;
use crate::protocol::{split_task, Command, TaskState, TaskStatus, WorkerStatus};
use crate::scheduler::attempt::{Phase, Route, TaskAttempt, TaskEvent, TaskId};
use crate::scheduler::index::MachineIndex;
use crate::scheduler::Scheduler;
use crate::time::whole_millis;
use std::collections::HashSet;

/// A command that stops a task that a worker lists.
fn stop(line: &TaskStatus, grace_s: f64) -> Command {
    Command::Stop {
        task: line.task.clone(),
        attempt: line.attempt,
        grace_s,
    }
}

/// The phase of a task that has not ended.
fn live_phase(state: TaskState) -> Phase {
    match state {
        TaskState::Fetching | TaskState::Gathering => Phase::Fetching,
        _ => Phase::Running,
    }
}

impl Scheduler {
    /// Reconciles the tasks of a machine with its heartbeat, which is the newest one under the current token. True if a
    /// start in an answer to a request was not executed.
    pub(super) fn reconcile(&mut self, heartbeat: Heartbeat, commands: &mut Vec<Command>) -> bool {
        let report = heartbeat.report;
        self.drop_replaced_attempts(heartbeat);
        let mut listed = HashSet::with_capacity(report.tasks.len());
        // What has ended first: a refused start of one attempt must not hide that another still runs here.
        let (ended, live): (Vec<_>, Vec<_>) = report
            .tasks
            .iter()
            .partition(|line| line.state == TaskState::Exited);
        for line in ended {
            self.reconcile_ended(heartbeat.machine, line, &mut listed, commands);
        }
        for line in live {
            self.reconcile_live(heartbeat.machine, line, &mut listed, commands);
        }
        self.drop_unlisted(heartbeat, &listed)
    }

    /// Stops what a machine lists of jobs of which nothing may run any more, though the heartbeat is not under the current
    /// token and nothing is concluded from it. Without this, a machine that hung or was isolated once it had its lease renewed
    /// went on with it for another lease.
    pub(super) fn stop_ended_jobs(&self, report: &WorkerStatus, commands: &mut Vec<Command>) {
        let live = report
            .tasks
            .iter()
            .filter(|line| line.state != TaskState::Exited);
        commands.extend(
            live.filter(|line| self.job_has_ended(line))
                .map(|line| stop(line, 0.0)),
        );
    }

    /// Whether a line belongs to a job of which nothing may run any more: one cancelled, or gone from the store before this
    /// epoch began.
    fn job_has_ended(&self, line: &TaskStatus) -> bool {
        let job = split_task(&line.task).and_then(|(job, _)| self.jobs.index_of(job));
        job.is_none_or(|job| self.job(job).cancelled)
    }

    /// The task that a worker names, if its job is known here.
    pub(in crate::scheduler) fn find_task(&self, name: &str) -> Option<TaskId> {
        let (job, number) = split_task(name)?;
        let job = self.jobs.index_of(job)?;
        Some(TaskId { job, number })
    }

    /// The same for a task that its job has.
    fn known_task(&self, line: &TaskStatus) -> Option<TaskId> {
        self.find_task(&line.task)
            .filter(|task| task.number < self.job(task.job).tasks())
    }

    /// The attempt that a line of a machine's heartbeat is about, if it is the one that is known to be there.
    fn listed_attempt(
        &self,
        machine: MachineIndex,
        task: TaskId,
        line: &TaskStatus,
    ) -> Option<TaskAttempt> {
        let attempt = self.attempt(task).copied();
        attempt.filter(|a| a.machine == machine && a.attempt == line.attempt)
    }

    /// A live line of another attempt than the one that was sent here, which is not in transit any more: that one is what is
    /// here. Taken for a stray, it was once stopped and its task started elsewhere before it had ended.
    fn drop_replaced_attempts(&mut self, heartbeat: Heartbeat) {
        let lines = &heartbeat.report.tasks;
        for line in lines.iter().filter(|line| line.state != TaskState::Exited) {
            let Some(task) = self.find_task(&line.task) else {
                continue;
            };
            let Some(active) = self.attempt(task).copied() else {
                continue;
            };
            if active.machine != heartbeat.machine
                || active.attempt == line.attempt
                || self.start_in_transit(heartbeat, &active)
            {
                continue;
            }
            let is_listed = lines
                .iter()
                .any(|other| other.task == line.task && other.attempt == active.attempt);
            if active.phase != Phase::Assigned && !is_listed {
                self.apply_event(task, TaskEvent::Gone);
            }
        }
    }

    /// A task that has ended on a machine.
    fn reconcile_ended(
        &mut self,
        machine: MachineIndex,
        line: &TaskStatus,
        listed: &mut HashSet<TaskId>,
        commands: &mut Vec<Command>,
    ) {
        let forget = Command::Forget {
            task: line.task.clone(),
            attempt: line.attempt,
        };
        let Some(task) = self.known_task(line) else {
            commands.push(forget);
            return;
        };
        let attempt = self.listed_attempt(machine, task, line);
        if attempt.is_some_and(|a| a.phase == Phase::Assigned) {
            return;
        }
        if attempt.is_some() {
            listed.insert(task);
        }
        if self.task_exited(machine, task, line.reason, attempt) {
            commands.push(forget);
        }
    }

    /// A task that is on a machine and has not ended.
    fn reconcile_live(
        &mut self,
        machine: MachineIndex,
        line: &TaskStatus,
        listed: &mut HashSet<TaskId>,
        commands: &mut Vec<Command>,
    ) {
        let Some(task) = self.known_task(line) else {
            commands.push(stop(line, 0.0));
            return;
        };
        let phase = live_phase(line.state);
        self.adopt_if_unknown(machine, task, line, phase);
        let Some(active) = self.listed_attempt(machine, task, line) else {
            commands.push(stop(line, 0.0));
            return;
        };
        listed.insert(task);
        if let Some(active) = self.job_mut(task.job).active.get_mut(&task.number) {
            active.reported = true;
        }
        match active.phase {
            Phase::Stopping { save: true } if line.state == TaskState::Saving => {}
            Phase::Stopping { save: true } => {
                commands.push(stop(line, self.job(task.job).record.spec.save_s));
            }
            Phase::Stopping { save: false } => commands.push(stop(line, 0.0)),
            _ => self.update_phase(machine, task, active, phase),
        }
    }

    /// What a machine does not list is not there, unless its start is still in transit. True if a start in an answer to a
    /// request was not executed.
    fn drop_unlisted(&mut self, heartbeat: Heartbeat, listed: &HashSet<TaskId>) -> bool {
        let tasks = self.machine(heartbeat.machine).load.tasks();
        let unlisted: Vec<_> = tasks
            .iter()
            .copied()
            .filter(|task| !listed.contains(task))
            .collect();
        let mut start_lost = false;
        for task in unlisted {
            let Some(active) = self.attempt(task).copied() else {
                continue;
            };
            if active.phase == Phase::Assigned || self.start_in_transit(heartbeat, &active) {
                continue;
            }
            let (job, machine) = (self.job(task.job), self.machine(heartbeat.machine));
            tracing::info!(job = %job.record.spec.id, task = task.number, machine = %machine.name(), "task gone");
            start_lost |= !active.reported
                && active.route == Route::HeartbeatReply
                && active.token == heartbeat.report.token;
            self.apply_event(task, TaskEvent::Gone);
        }
        start_lost
    }

    /// Whether a start may still be on its way to a worker that has sent this heartbeat. One sent under an older token is
    /// void: the worker has seen this one.
    fn start_in_transit(&self, heartbeat: Heartbeat, active: &TaskAttempt) -> bool {
        if active.reported || active.token != heartbeat.report.token {
            return false;
        }
        match active.route {
            Route::Direct => {
                let machine = self.machine(heartbeat.machine);
                machine.commands.is_direct_in_flight()
            }
            Route::HeartbeatReply => !heartbeat.source.is_request(),
        }
    }

    /// Takes over the phase of a live task that its worker tells.
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
            self.measure_fetch(machine, task, active);
        }
        if active.phase != phase {
            let (job, machine) = (self.job(task.job), self.machine(machine));
            let age_ms = whole_millis(self.elapsed_since(job.submitted_at));
            let held = machine.images().contains(&image);
            tracing::info!(job = %job.record.spec.id, task = task.number, machine = %machine.name(), ?phase, held, age_ms, "task");
        }
        self.hold_image(machine, image);
        self.apply_event(task, TaskEvent::Report(phase));
    }

    /// A machine has fetched the image of a task: measures the fetch rate of its type.
    fn measure_fetch(&mut self, machine: MachineIndex, task: TaskId, active: TaskAttempt) {
        let size_gb = self.job(task.job).record.spec.image_gb;
        let took = self.elapsed_since(active.since);
        let machine_type = self.machine(machine).machine_type();
        self.fetch_rates.record(machine_type, size_gb, took);
    }
}
