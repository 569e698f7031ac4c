//! A worker's tasks, and what commands do to them.

use hollowswitch::protocol::{
    encode, Command, DirectCommandRequest, ExitReason, FencingToken, HeartbeatReply, ListedMachine,
    TaskState, TaskStatus, WorkerStatus,
};
use std::time::Duration;
use tokio::time::Instant;

/// A worker's tasks and counters.
pub(super) struct WorkerState {
    /// The last heartbeat; its tasks are the worker's.
    heartbeat: WorkerStatus,
    /// When each task ends, in the order of the heartbeat.
    ends: Vec<Option<Instant>>,
    run_time: Duration,
}

impl WorkerState {
    /// A worker without tasks, in its first session.
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
            ends: Vec::new(),
            run_time,
        }
    }

    /// The next heartbeat, encoded.
    pub(super) fn next_heartbeat(&mut self) -> Vec<u8> {
        self.heartbeat.sequence += 1;
        encode(&self.heartbeat)
    }

    /// Takes the answer to a heartbeat; true if the next heartbeat is to follow at once.
    pub(super) fn take_reply(&mut self, reply: &HeartbeatReply) -> bool {
        let newer = reply.token > self.heartbeat.token;
        self.heartbeat.token = self.heartbeat.token.max(reply.token);
        self.execute(&reply.commands) || newer
    }

    /// Executes direct commands; false if they are void, since a newer token is known or the session is another.
    pub(super) fn take_direct_commands(&mut self, direct: &DirectCommandRequest) -> bool {
        let valid =
            direct.token >= self.heartbeat.token && direct.session == self.heartbeat.session;
        if valid {
            self.heartbeat.token = direct.token;
            self.execute(&direct.commands);
        }
        valid
    }

    /// Executes commands; true if there are more or fewer tasks afterwards.
    fn execute(&mut self, commands: &[Command]) -> bool {
        let before = self.heartbeat.tasks.len();
        for order in commands {
            match order {
                Command::Start { task, attempt } => self.start(task, *attempt),
                Command::Stop { task, attempt, .. } => self.stop(task, *attempt),
                Command::Forget { task, attempt } => self.forget(task, *attempt),
            }
        }
        before != self.heartbeat.tasks.len()
    }

    fn position(&self, task: &str, attempt: u64) -> Option<usize> {
        let tasks = &self.heartbeat.tasks;
        tasks
            .iter()
            .position(|listed| listed.task == task && listed.attempt == attempt)
    }

    fn start(&mut self, task: &str, attempt: u64) {
        if self.position(task, attempt).is_some() {
            return;
        }
        self.heartbeat.tasks.push(TaskStatus {
            task: task.into(),
            attempt,
            state: TaskState::Running,
            reason: None,
            saved: None,
        });
        self.ends.push(Some(Instant::now() + self.run_time));
    }

    fn stop(&mut self, task: &str, attempt: u64) {
        if let Some(index) = self.position(task, attempt) {
            self.exit(index, ExitReason::Stopped);
        }
    }

    fn exit(&mut self, index: usize, reason: ExitReason) {
        self.heartbeat.tasks[index].state = TaskState::Exited;
        self.heartbeat.tasks[index].reason = Some(reason);
        self.ends[index] = None;
    }

    fn forget(&mut self, task: &str, attempt: u64) {
        if let Some(index) = self.position(task, attempt) {
            self.heartbeat.tasks.swap_remove(index);
            self.ends.swap_remove(index);
        }
    }

    /// Ends the tasks whose run time is over; true if there were any.
    pub(super) fn end_due_tasks(&mut self) -> bool {
        let now = Instant::now();
        let due: Vec<usize> = (0..self.ends.len())
            .filter(|index| self.ends[*index].is_some_and(|at| at <= now))
            .collect();
        for index in &due {
            self.exit(*index, ExitReason::Done);
        }
        !due.is_empty()
    }

    /// When the next task ends.
    pub(super) fn next_task_end(&self) -> Option<Instant> {
        self.ends.iter().flatten().min().copied()
    }
}
