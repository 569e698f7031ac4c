//! The tasks of a worker, and the execution of commands.

use crate::harness::history::{Attempt, CommandSource, Observation, Recorder};
use crate::harness::jobs::JobRegistry;
use hollowswitch::protocol::{Command, ExitReason, TaskState, TaskStatus};
use std::time::Duration;
use tokio::time::Instant;

/// Resources that a worker lacks by less than this are a rounding error.
const CPU_TOLERANCE: f64 = 1e-6;

/// What a task does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waits for its image.
    Fetching { until: Instant },
    /// Runs, until a time unless it is stopped.
    Running { until: Option<Instant> },
    /// Has ended.
    Exited(ExitReason),
}

/// A task that the worker knows.
#[derive(Debug, Clone)]
struct Task {
    attempt: Attempt,
    cpus: f64,
    phase: Phase,
}

/// The tasks of a worker.
pub(super) struct Tasks {
    machine: String,
    cpus: f64,
    fetch_time: Duration,
    registry: JobRegistry,
    recorder: Recorder,
    list: Vec<Task>,
}

impl Tasks {
    /// Creates an empty list for a machine with a number of CPUs.
    pub(super) fn new(
        machine: &str,
        cpus: f64,
        fetch_time: Duration,
        registry: JobRegistry,
        recorder: Recorder,
    ) -> Tasks {
        Tasks {
            machine: machine.to_string(),
            cpus,
            fetch_time,
            registry,
            recorder,
            list: Vec::new(),
        }
    }

    /// Returns the tasks as a heartbeat lists them.
    pub(super) fn statuses(&self) -> Vec<TaskStatus> {
        self.list.iter().map(Task::status).collect()
    }

    /// Executes commands. Returns whether a task has changed.
    pub(super) fn execute(&mut self, commands: &[Command], source: CommandSource) -> bool {
        let before = self.statuses();
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start(task, *attempt, source),
                Command::Stop { task, attempt, .. } => self.stop(task, *attempt),
                Command::Forget { task, attempt } => self.forget(task, *attempt),
            }
        }
        self.statuses() != before
    }

    fn start(&mut self, task: &str, attempt: u64, source: CommandSource) {
        if self.index(task, attempt).is_some() {
            return;
        }
        let attempt = Attempt {
            task: task.to_string(),
            number: attempt,
            machine: self.machine.clone(),
        };
        let cpus = self.registry.job_of(task).map(|job| job.spec.cpus);
        let phase = match self.refusal(task, cpus) {
            Some(reason) => Phase::Exited(reason),
            None => Phase::Fetching {
                until: Instant::now() + self.fetch_time,
            },
        };
        if !matches!(phase, Phase::Exited(_)) {
            self.recorder.record(Observation::StartExecuted {
                attempt: attempt.clone(),
                source,
            });
        }
        self.list.push(Task {
            attempt,
            cpus: cpus.unwrap_or(0.0),
            phase,
        });
    }

    /// Returns the reason why a start is refused, if it is.
    fn refusal(&self, task: &str, cpus: Option<f64>) -> Option<ExitReason> {
        let Some(cpus) = cpus else {
            return Some(ExitReason::UnknownTask);
        };
        let active = || self.list.iter().filter(|task| task.is_active());
        if active().any(|other| other.attempt.task == task) {
            return Some(ExitReason::ConflictingAttempt);
        }
        let used: f64 = active().map(|other| other.cpus).sum();
        let is_full = used + cpus > self.cpus + CPU_TOLERANCE;
        is_full.then_some(ExitReason::InsufficientResources)
    }

    fn stop(&mut self, task: &str, attempt: u64) {
        if let Some(index) = self.index(task, attempt) {
            self.end(index, ExitReason::Stopped, Instant::now());
        }
    }

    fn forget(&mut self, task: &str, attempt: u64) {
        let index = self.index(task, attempt);
        if let Some(index) = index.filter(|index| !self.list[*index].is_active()) {
            self.list.remove(index);
        }
    }

    fn index(&self, task: &str, attempt: u64) -> Option<usize> {
        self.list
            .iter()
            .position(|known| known.attempt.task == task && known.attempt.number == attempt)
    }

    /// Ends a task that has not ended yet, as of a time that may be past.
    fn end(&mut self, index: usize, reason: ExitReason, at: Instant) {
        let task = &mut self.list[index];
        let was_on_machine = matches!(task.phase, Phase::Running { .. });
        if !task.is_active() {
            return;
        }
        task.phase = Phase::Exited(reason);
        let attempt = task.attempt.clone();
        if reason == ExitReason::Done {
            self.registry.record_result(&attempt.task);
            let done = Observation::TaskDone(attempt.clone());
            self.recorder.record_at(at.into_std(), done);
        }
        if was_on_machine {
            let gone = Observation::TaskGone(attempt);
            self.recorder.record_at(at.into_std(), gone);
        }
    }

    /// Kills and forgets all tasks, as of a time that may be past.
    pub(super) fn kill_all(&mut self, at: Instant) {
        for index in 0..self.list.len() {
            self.end(index, ExitReason::Stopped, at);
        }
        self.list.clear();
    }

    /// Postpones the next step of every task, since the machine hung for some time.
    pub(super) fn postpone(&mut self, pause: Duration) {
        for task in &mut self.list {
            match &mut task.phase {
                Phase::Fetching { until } | Phase::Running { until: Some(until) } => {
                    *until += pause;
                }
                Phase::Running { until: None } | Phase::Exited(_) => {}
            }
        }
    }

    /// Takes the steps that are due. Returns whether a task has changed.
    pub(super) fn advance(&mut self, now: Instant) -> bool {
        let mut has_changed = false;
        for index in 0..self.list.len() {
            while self.list[index].next_step().is_some_and(|at| at <= now) {
                self.take_step(index, now);
                has_changed = true;
            }
        }
        has_changed
    }

    fn take_step(&mut self, index: usize, now: Instant) {
        let task = &mut self.list[index];
        if matches!(task.phase, Phase::Running { .. }) {
            self.end(index, ExitReason::Done, now);
            return;
        }
        let attempt = task.attempt.clone();
        let job = self.registry.job_of(&attempt.task);
        let run_time = job.and_then(|job| job.task_run_time());
        let until = if self.registry.has_result(&attempt.task) {
            Some(now)
        } else {
            run_time.map(|run_time| now + run_time)
        };
        task.phase = Phase::Running { until };
        self.recorder.record(Observation::TaskOnMachine(attempt));
    }

    /// Returns when the next step of a task is due.
    pub(super) fn next_step(&self) -> Option<Instant> {
        self.list.iter().filter_map(Task::next_step).min()
    }
}

impl Task {
    fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::Exited(_))
    }

    fn next_step(&self) -> Option<Instant> {
        match self.phase {
            Phase::Fetching { until } => Some(until),
            Phase::Running { until } => until,
            Phase::Exited(_) => None,
        }
    }

    fn status(&self) -> TaskStatus {
        let (state, reason) = match self.phase {
            Phase::Fetching { .. } => (TaskState::Fetching, None),
            Phase::Running { .. } => (TaskState::Running, None),
            Phase::Exited(reason) => (TaskState::Exited, Some(reason)),
        };
        TaskStatus {
            task: self.attempt.task.clone(),
            attempt: self.attempt.number,
            state,
            reason,
            saved: None,
        }
    }
}
