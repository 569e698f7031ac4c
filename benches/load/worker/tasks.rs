//! The tasks of a worker, and the execution of commands.

use hollowswitch::protocol::{
    encode, Command, DirectCommandRequest, ExitReason, FencingToken, HeartbeatReply, ListedMachine,
    TaskState, TaskStatus, WorkerStatus,
};
use std::time::Duration;
use tokio::time::Instant;

/// The state of a worker.
pub(super) struct WorkerState {
    /// The latest heartbeat. It contains the current tasks of the worker.
    heartbeat: WorkerStatus,
    /// End of each task in the order of the heartbeat. `None` for a task that has exited.
    end_times: Vec<Option<Instant>>,
    run_time: Duration,
}

impl WorkerState {
    /// Creates a worker without tasks, in its first session.
    pub(super) fn new(machine: ListedMachine, run_time: Duration) -> Self {
        let heartbeat = WorkerStatus {
            machine: machine.id,
            address: machine.address,
            machine_type: machine.machine_type,
            zone: machine.zone,
            spot: machine.spot,
            session: 1,
            sequence: 0,
            token: FencingToken::ZERO,
            termination_notice_s: None,
            tasks: Vec::new(),
        };
        WorkerState {
            heartbeat,
            end_times: Vec::new(),
            run_time,
        }
    }

    /// Returns the next heartbeat, encoded.
    pub(super) fn next_heartbeat(&mut self) -> Vec<u8> {
        self.heartbeat.sequence += 1;
        encode(&self.heartbeat)
    }

    /// Handles the reply to a heartbeat. Returns true if the next heartbeat should be sent at once.
    pub(super) fn handle_reply(&mut self, reply: &HeartbeatReply) -> bool {
        let is_newer_token = reply.token > self.heartbeat.token;
        self.heartbeat.token = self.heartbeat.token.max(reply.token);
        self.execute(&reply.commands) || is_newer_token
    }

    /// Executes direct commands. Returns false if they are rejected because their token is older than the known one or they are
    /// for another session.
    pub(super) fn handle_direct_commands(&mut self, request: &DirectCommandRequest) -> bool {
        let valid =
            request.token >= self.heartbeat.token && request.session == self.heartbeat.session;
        if valid {
            self.heartbeat.token = request.token;
            self.execute(&request.commands);
        }
        valid
    }

    /// Executes commands. Returns true if the number of tasks has changed.
    fn execute(&mut self, commands: &[Command]) -> bool {
        let count_before = self.heartbeat.tasks.len();
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start(task, *attempt),
                Command::Stop { task, attempt, .. } => self.stop(task, *attempt),
                Command::Forget { task, attempt } => self.forget(task, *attempt),
            }
        }
        count_before != self.heartbeat.tasks.len()
    }

    /// Returns the index of an attempt of a task.
    fn task_index(&self, task: &str, attempt: u64) -> Option<usize> {
        let tasks = &self.heartbeat.tasks;
        tasks
            .iter()
            .position(|listed| listed.task == task && listed.attempt == attempt)
    }

    fn start(&mut self, task: &str, attempt: u64) {
        if self.task_index(task, attempt).is_some() {
            return;
        }
        self.heartbeat.tasks.push(TaskStatus {
            task: task.into(),
            attempt,
            state: TaskState::Running,
            reason: None,
            saved: None,
        });
        self.end_times.push(Some(Instant::now() + self.run_time));
    }

    fn stop(&mut self, task: &str, attempt: u64) {
        if let Some(index) = self.task_index(task, attempt) {
            self.mark_exited(index, ExitReason::Stopped);
        }
    }

    /// Marks a task as exited.
    fn mark_exited(&mut self, index: usize, reason: ExitReason) {
        self.heartbeat.tasks[index].state = TaskState::Exited;
        self.heartbeat.tasks[index].reason = Some(reason);
        self.end_times[index] = None;
    }

    fn forget(&mut self, task: &str, attempt: u64) {
        if let Some(index) = self.task_index(task, attempt) {
            self.heartbeat.tasks.swap_remove(index);
            self.end_times.swap_remove(index);
        }
    }

    /// Completes the tasks whose run time is over. Returns true if there were any.
    pub(super) fn finish_due_tasks(&mut self) -> bool {
        let now = Instant::now();
        let due: Vec<usize> = (0..self.end_times.len())
            .filter(|index| self.end_times[*index].is_some_and(|end| end <= now))
            .collect();
        for index in &due {
            self.mark_exited(*index, ExitReason::Done);
        }
        !due.is_empty()
    }

    /// Returns when the next task ends.
    pub(super) fn next_task_end(&self) -> Option<Instant> {
        self.end_times.iter().flatten().min().copied()
    }
}
