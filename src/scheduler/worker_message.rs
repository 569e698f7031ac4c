//! Messages with commands to a worker: the reply to a heartbeat, or direct commands.
//!
//! All commands of a message are executed under its fencing token, or none is. Whether a start may still be in transit is decided
//! by the token under which it was sent ([`TaskAttempt::token`](super::TaskAttempt)), so that record has to be the token of the
//! message that carries the start. Therefore the token is read once, when the message is opened, and the record is compared with
//! it when the message is closed.

use super::attempt::{Phase, Route, TaskEvent, TaskId};
use super::index::MachineIndex;
use super::Scheduler;
use crate::protocol::{Command, FencingToken};

/// Maximum number of commands in one message to a worker, which keeps it far below 64 KiB. The rest follow in later messages.
pub(super) const MAX_COMMANDS_PER_MESSAGE: usize = 300;

/// A message to a worker that is being assembled.
pub(super) struct WorkerMessage {
    machine: MachineIndex,
    route: Route,
    token: FencingToken,
    commands: Vec<Command>,
}

impl WorkerMessage {
    /// Reports whether the message has room for no further command.
    pub(super) fn is_full(&self) -> bool {
        self.commands.len() >= MAX_COMMANDS_PER_MESSAGE
    }
}

/// A message to a worker whose commands are complete.
pub(super) struct ClosedMessage {
    /// Fencing token under which the worker executes the commands.
    pub(super) token: FencingToken,
    /// The commands, in the order in which the worker executes them.
    pub(super) commands: Vec<Command>,
}

impl Scheduler {
    /// Opens a message with these commands under the current token of the machine.
    pub(super) fn open_message(
        &self,
        machine: MachineIndex,
        route: Route,
        commands: Vec<Command>,
    ) -> WorkerMessage {
        WorkerMessage {
            machine,
            route,
            token: self.token(self.machine(machine)),
            commands,
        }
    }

    /// Closes a message. A start is sent only if it is recorded under the token of the message, which is the machine's current
    /// one. Otherwise the record may later be taken as the proof that the start is void, although the worker executes it.
    pub(super) fn close_message(&self, mut message: WorkerMessage) -> ClosedMessage {
        let mut commands = std::mem::take(&mut message.commands);
        commands.retain(|command| match command {
            Command::Start { task, attempt } => self.may_send_start(&message, task, *attempt),
            Command::Stop { .. } | Command::Forget { .. } => true,
        });
        ClosedMessage {
            token: message.token,
            commands,
        }
    }

    /// Reports whether a start is recorded as it is sent, and logs an error if not.
    fn may_send_start(&self, message: &WorkerMessage, task: &str, attempt: u64) -> bool {
        let machine = self.machine(message.machine);
        let current_token = self.token(machine);
        let active = self.find_task(task).and_then(|task| self.attempt(task));
        let is_recorded = active.is_some_and(|active| {
            active.attempt == attempt
                && active.machine == message.machine
                && active.token == message.token
        });
        if is_recorded && message.token == current_token {
            return true;
        }
        tracing::error!(
            task,
            attempt,
            machine = %machine.name(),
            message_token = message.token.as_u64(),
            current_token = current_token.as_u64(),
            recorded = ?active,
            "start is not sent: it is not recorded under the token of its message"
        );
        false
    }

    /// Returns the name of a task in messages to workers.
    fn task_name(&self, task: TaskId) -> String {
        format!("{}/{}", self.job(task.job).record.spec.id, task.number)
    }

    /// Adds the starts of the machine to a message, as far as their entries in the start log are durable.
    pub(super) fn add_starts(&mut self, message: &mut WorkerMessage) {
        for task in self.machine(message.machine).load.tasks().clone() {
            if message.is_full() {
                self.pending_commands.insert(message.machine);
                return;
            }
            if let Some(start) = self.send_start(task, message) {
                message.commands.push(start);
            }
        }
    }

    /// Returns the start of a task and records that it is sent in a message, if it is still to be sent and its log entry is
    /// durable.
    fn send_start(&mut self, task: TaskId, message: &WorkerMessage) -> Option<Command> {
        let (route, token) = (message.route, message.token);
        let active = self.attempt(task).copied()?;
        if active.phase != Phase::Assigned || !active.logged {
            return None;
        }
        let (machine, epoch) = (self.machine(message.machine), self.epoch);
        let direct = route == Route::Direct;
        tracing::info!(job = %self.job(task.job).record.spec.id, task = task.number, machine = %machine.name(), %epoch, direct, attempt = active.attempt, token = token.as_u64(), "sending task start to worker");
        self.apply_event(task, TaskEvent::Send { route, token });
        Some(Command::Start {
            task: self.task_name(task),
            attempt: active.attempt,
        })
    }

    /// Adds the unsent stops of the machine to a message. A stop that arrives late is harmless, since it names its attempt.
    pub(super) fn add_stops(&mut self, message: &mut WorkerMessage) {
        for task in self.machine(message.machine).load.tasks().clone() {
            if message.is_full() {
                self.pending_commands.insert(message.machine);
                return;
            }
            if let Some(stop) = self.take_unsent_stop(task) {
                message.commands.push(stop);
            }
        }
    }

    /// Returns the stop of a task that is being stopped and marks it as sent, unless it was sent before.
    fn take_unsent_stop(&mut self, task: TaskId) -> Option<Command> {
        let job = self.job_mut(task.job);
        let active = job.active.get_mut(&task.number)?;
        let Phase::Stopping { save } = active.phase else {
            return None;
        };
        if std::mem::replace(&mut active.stop_sent, true) {
            return None;
        }
        let attempt = active.attempt;
        let grace_s = if save {
            job.record.spec.checkpoint_save_s
        } else {
            0.0
        };
        Some(Command::Stop {
            task: self.task_name(task),
            attempt,
            grace_s,
        })
    }
}
