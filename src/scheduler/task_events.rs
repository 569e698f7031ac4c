//! State changes of tasks and their effects on reserved resources, counts, commands and the start log.

use super::attempt::{Phase, TaskAttempt, TaskEvent, TaskId, Transition};
use super::gone_proof::InvalidProof;
use super::index::MachineIndex;
use super::Scheduler;

impl Scheduler {
    /// Returns the active attempt of a task: the one that is, or may be, on a machine.
    pub(super) fn attempt(&self, task: TaskId) -> Option<&TaskAttempt> {
        self.jobs[task.job].active.get(&task.number)
    }

    /// Applies an event to a task. Every state change of a task goes through this function.
    pub(super) fn apply_event(&mut self, task: TaskId, event: TaskEvent) {
        let old = self.attempt(task).copied();
        let new = match Transition::of(old, event, self.now()) {
            Transition::Unchanged => return,
            Transition::To(attempt) => Some(attempt),
            Transition::Gone => None,
            Transition::Refused(error) => return self.report_refused_event(task, event, error),
        };
        self.replace_attempt(task, old, new);
        if new.is_none() {
            self.stop_broken_gang(task);
        }
        self.update_counts(task, old, new);
        self.request_follow_up(task, old, new);
    }

    /// Logs an event that contradicts the state of its task. It has no effect, so that a task which may be on a machine is not
    /// started on another one.
    fn report_refused_event(&self, task: TaskId, event: TaskEvent, error: InvalidProof) {
        let attempt = self.attempt(task);
        let machine = attempt.map(|attempt| self.machine(attempt.machine).name());
        tracing::error!(
            job = %self.job(task.job).record.spec.id,
            task = task.number,
            machine,
            ?event,
            ?attempt,
            %error,
            "task is not taken for gone: the proof contradicts its state"
        );
    }

    /// Replaces a task's active attempt, and reserves or releases its resources accordingly.
    fn replace_attempt(
        &mut self,
        task: TaskId,
        old: Option<TaskAttempt>,
        new: Option<TaskAttempt>,
    ) {
        let now = self.now();
        let job = &mut self.jobs[task.job];
        match (old, new) {
            (None, Some(new)) => {
                job.last_placed_at = now;
                job.active.insert(task.number, new);
                self.reserve_resources(task, new.machine);
            }
            (Some(old), None) => {
                job.active.remove(&task.number);
                if !job.done.contains(task.number) {
                    job.pending.requeue(task.number);
                }
                self.release_resources(task, old.machine);
            }
            (Some(_), Some(new)) => {
                job.active.insert(task.number, new);
            }
            (None, None) => {}
        }
    }

    /// Stops all other tasks of a gang that has lost a task before it finished: a gang restarts only as a whole.
    fn stop_broken_gang(&mut self, task: TaskId) {
        let job = self.job(task.job);
        if !job.is_gang() || job.done.contains(task.number) {
            return;
        }
        let save = job.saves_checkpoints();
        for number in job.active.keys().copied().collect::<Vec<_>>() {
            let other = TaskId { number, ..task };
            self.apply_event(other, TaskEvent::Stop { save });
        }
    }

    /// Updates the counts of running and stopping tasks.
    fn update_counts(&mut self, task: TaskId, old: Option<TaskAttempt>, new: Option<TaskAttempt>) {
        let is_running =
            |attempt: Option<TaskAttempt>| attempt.is_some_and(|a| a.is_running_or_stopping());
        let is_stopping = |attempt: Option<TaskAttempt>| attempt.is_some_and(|a| a.is_stopping());
        let job = &mut self.jobs[task.job];
        job.running = job.running + u32::from(is_running(new)) - u32::from(is_running(old));
        let amount = job.task_resources.quota();
        match (job.team, is_stopping(old), is_stopping(new)) {
            (Some(team), false, true) => self.quotas.begin_stop(team, amount),
            (Some(team), true, false) => self.quotas.end_stop(team, amount),
            _ => {}
        }
        if let Some(attempt) = new.or(old) {
            let machine = self.machine_mut(attempt.machine);
            machine
                .load
                .update_stopping(is_stopping(old), is_stopping(new));
        }
    }

    /// Requests the action that a change makes necessary: a start log entry, a command or a scheduling pass.
    fn request_follow_up(
        &mut self,
        task: TaskId,
        old: Option<TaskAttempt>,
        new: Option<TaskAttempt>,
    ) {
        let Some(machine) = new.or(old).map(|attempt| attempt.machine) else {
            return;
        };
        match new {
            Some(new) if new.phase == Phase::Assigned && !new.logged => {
                self.start_log.enqueue(task, machine, new.attempt);
            }
            Some(new) if new.phase == Phase::Assigned || (new.is_stopping() && !new.stop_sent) => {
                self.pending_commands.insert(machine);
            }
            // Only released resources can make it possible to place another task.
            None => self.pass_requested = true,
            _ => {}
        }
    }

    /// Reserves the resources of a task on a machine and counts the task towards its team's quota and its zone.
    fn reserve_resources(&mut self, task: TaskId, machine: MachineIndex) {
        let job = &mut self.jobs[task.job];
        let amount = job.task_resources;
        let service_cpu_milli = job.service_cpu_milli();
        if let Some(team) = job.team {
            self.quotas.charge(team, amount.quota());
        }
        let machine = &mut self.machines[machine];
        *job.active_by_zone.entry(machine.zone()).or_default() += 1;
        machine.load.add(task, amount, service_cpu_milli);
    }

    /// Releases the resources of a task that is proven to be gone from its machine; it no longer counts towards its team's
    /// quota and its zone.
    fn release_resources(&mut self, task: TaskId, machine: MachineIndex) {
        let job = &mut self.jobs[task.job];
        let amount = job.task_resources;
        let service_cpu_milli = job.service_cpu_milli();
        if let Some(team) = job.team {
            self.quotas.release(team, amount.quota());
        }
        let now = self.now;
        let machine = &mut self.machines[machine];
        *job.active_by_zone.entry(machine.zone()).or_default() -= 1;
        machine.load.remove(task, service_cpu_milli, now);
        // Recomputed from the remaining tasks: a machine may hold more tasks than fit, in which case the resources that become
        // free are less than those of the task.
        let capacity = self.machine_types.capacity(machine.machine_type());
        let free = machine
            .load
            .tasks()
            .iter()
            .filter_map(|task| self.jobs.get(task.job))
            .fold(capacity, |free, job| {
                free.saturating_sub(job.task_resources)
            });
        machine.load.set_free(free);
    }
}
