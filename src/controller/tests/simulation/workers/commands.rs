//! Execution of commands by a worker, whether they arrive directly or in the reply to a heartbeat.

use super::super::users::SubmittedJob;
use super::{Attempt, Worker, CHANGE_HEARTBEAT_DELAY};
use crate::protocol::{split_task, Command, ExitReason, JobKind, TaskState};
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// CPUs of a machine.
const MACHINE_CPUS: f64 = 8.0;

/// CPUs that each task uses.
const TASK_CPUS: f64 = 2.0;

/// End of a service's task, which is never reached.
const NEVER: Timestamp = Timestamp::from_millis(u64::MAX);

impl Worker {
    /// Executes commands. Each one brings the next heartbeat forward.
    pub(in super::super) fn execute(
        &mut self,
        machine: &str,
        commands: &[Command],
        now: Timestamp,
        image_fetch_time: Duration,
        jobs: &BTreeMap<String, SubmittedJob>,
    ) {
        if !commands.is_empty() {
            tracing::info!(
                now = now.as_millis(),
                machine,
                ?commands,
                "worker executes commands"
            );
        }
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    self.start(task, *attempt, now + image_fetch_time, jobs);
                }
                Command::Stop { task, attempt, .. } => self.stop(task, *attempt),
                Command::Forget { task, attempt } => self.forget(task, *attempt),
            }
            self.schedule_heartbeat_within(now, CHANGE_HEARTBEAT_DELAY);
        }
    }

    /// Starts an attempt, or lists it as exited if the start is refused. A repeated start has no effect.
    fn start(
        &mut self,
        task: &str,
        attempt: u64,
        ready_at: Timestamp,
        jobs: &BTreeMap<String, SubmittedJob>,
    ) {
        let key = (task.to_string(), attempt);
        if self.attempts.contains_key(&key) {
            return;
        }
        let refusal = self.refusal_reason(task);
        let state = match refusal {
            Some(_) => TaskState::Exited,
            None => TaskState::Fetching,
        };
        let (id, number) = split_task(task).unwrap();
        let started = Attempt {
            state,
            reason: refusal,
            ready_at,
            ends_at: jobs[id].end_of_task(number, ready_at).unwrap_or(NEVER),
        };
        self.attempts.insert(key, started);
    }

    /// Returns the reason to refuse the start of a task: another attempt of it is active, or too few CPUs are free.
    fn refusal_reason(&self, task: &str) -> Option<ExitReason> {
        let active = self.attempts.iter().filter(|(_, a)| !a.has_exited());
        if active.clone().any(|((other, _), _)| other == task) {
            return Some(ExitReason::ConflictingAttempt);
        }
        let cpus = active.count() as f64 * TASK_CPUS;
        (cpus + TASK_CPUS > MACHINE_CPUS).then_some(ExitReason::InsufficientResources)
    }

    fn stop(&mut self, task: &str, attempt: u64) {
        let key = (task.to_string(), attempt);
        if let Some(attempt) = self.attempts.get_mut(&key).filter(|a| !a.has_exited()) {
            (attempt.state, attempt.reason) = (TaskState::Exited, Some(ExitReason::Stopped));
        }
    }

    fn forget(&mut self, task: &str, attempt: u64) {
        let key = (task.to_string(), attempt);
        if self.attempts.get(&key).is_some_and(Attempt::has_exited) {
            self.attempts.remove(&key);
        }
    }
}

impl SubmittedJob {
    /// Returns when a task that starts at `starts_at` ends: never for a service, and at once for a task that was done before.
    fn end_of_task(&self, number: u32, starts_at: Timestamp) -> Option<Timestamp> {
        if self.spec.kind == JobKind::Service {
            return None;
        }
        let run_time = if self.done.contains(&number) {
            Duration::ZERO
        } else {
            self.run_time_of(number)
        };
        Some(starts_at + run_time)
    }
}
