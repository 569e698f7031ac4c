//! Assembly of commands for a worker, for the reply to its heartbeat or for direct commands.

use crate::protocol::{Command, FencingToken, HeartbeatReply};
use crate::scheduler::attempt::{Phase, Route, TaskEvent, TaskId};
use crate::scheduler::index::MachineIndex;
use crate::scheduler::Scheduler;

/// Maximum number of commands in one message to a worker, which keeps it far below 64 KiB. The rest follow in later messages.
const MAX_COMMANDS_PER_MESSAGE: usize = 300;

impl Scheduler {
    /// Adds the starts of a machine to a reply, and removes the machine from those with pending commands unless the reply is
    /// full or direct commands are in flight, after which more may follow.
    pub(super) fn add_starts_to_reply(&mut self, index: MachineIndex, commands: &mut Vec<Command>) {
        self.collect_starts(index, Route::HeartbeatReply, commands);
        let is_complete = commands.len() < MAX_COMMANDS_PER_MESSAGE;
        if is_complete && !self.machine(index).commands.is_direct_in_flight() {
            self.pending_commands.remove(&index);
        }
    }

    /// Returns the reply to a heartbeat with the given commands.
    pub(super) fn reply(
        &mut self,
        index: MachineIndex,
        mut commands: Vec<Command>,
    ) -> HeartbeatReply {
        // Stops come first. Commands beyond the limit are left to the next reply.
        commands.sort_by_key(|command| !matches!(command, Command::Stop { .. }));
        commands.truncate(MAX_COMMANDS_PER_MESSAGE);
        self.void_duplicates_of_forgotten_starts(index, &mut commands);
        let token = self.token(self.machine(index));
        self.log_reply(index, token, &commands);
        HeartbeatReply { token, commands }
    }

    /// Logs a reply with commands. The worker may receive it seconds later, after direct commands that were sent later, so the
    /// token and the sequence of both are needed to tell what the worker knew when.
    fn log_reply(&self, index: MachineIndex, token: FencingToken, commands: &[Command]) {
        if commands.is_empty() {
            return;
        }
        let machine = self.machine(index);
        let count = |is_counted: fn(&Command) -> bool| {
            commands
                .iter()
                .filter(|command| is_counted(command))
                .count()
        };
        tracing::debug!(
            machine = %machine.name(),
            sequence = machine.contact.latest_heartbeat().number,
            token = token.as_u64(),
            starts = count(|command| matches!(command, Command::Start { .. })),
            stops = count(|command| matches!(command, Command::Stop { .. })),
            forgets = count(|command| matches!(command, Command::Forget { .. })),
            "heartbeat reply with commands"
        );
    }

    /// Prevents a delayed duplicate of a direct start from running a forgotten attempt again. The duplicate may arrive after
    /// the attempt has ended, and once the worker has forgotten the attempt, it would start it anew. If direct starts were
    /// sent under the current token, a reply with a [`Command::Forget`] therefore carries a higher token, which voids
    /// duplicates. While direct commands are in flight, [`Command::Forget`] is left out, because a higher token would void
    /// those commands too.
    fn void_duplicates_of_forgotten_starts(
        &mut self,
        index: MachineIndex,
        commands: &mut Vec<Command>,
    ) {
        let is_forget = |command: &Command| matches!(command, Command::Forget { .. });
        let channel = &mut self.machine_mut(index).commands;
        if channel.is_direct_in_flight() {
            commands.retain(|command| !is_forget(command));
        } else if channel.has_sent_direct_starts() && commands.iter().any(is_forget) {
            channel.advance_token();
            let machine = self.machine(index);
            tracing::debug!(machine = %machine.name(), token = self.token(machine).as_u64(), "fencing token advanced, duplicates of direct starts are void");
        }
    }

    /// Returns the name of a task in messages to workers.
    fn task_name(&self, task: TaskId) -> String {
        format!("{}/{}", self.job(task.job).record.spec.id, task.number)
    }

    /// Adds the starts of a machine to a message, as far as their entries in the start log are durable.
    pub(in crate::scheduler) fn collect_starts(
        &mut self,
        index: MachineIndex,
        route: Route,
        commands: &mut Vec<Command>,
    ) {
        for task in self.machine(index).load.tasks().clone() {
            if commands.len() >= MAX_COMMANDS_PER_MESSAGE {
                self.pending_commands.insert(index);
                return;
            }
            let Some(active) = self.attempt(task).copied() else {
                continue;
            };
            if active.phase != Phase::Assigned || !active.logged {
                continue;
            }
            let machine = self.machine(index);
            let (token, epoch) = (self.token(machine), self.epoch);
            let direct = route == Route::Direct;
            tracing::info!(job = %self.job(task.job).record.spec.id, task = task.number, machine = %machine.name(), %epoch, direct, attempt = active.attempt, token = token.as_u64(), "sending task start to worker");
            commands.push(Command::Start {
                task: self.task_name(task),
                attempt: active.attempt,
            });
            self.apply_event(task, TaskEvent::Send { route, token });
        }
    }

    /// Adds the unsent stops of a machine to a message. A stop that arrives late is harmless, since it names its attempt.
    pub(in crate::scheduler) fn collect_stops(
        &mut self,
        index: MachineIndex,
        commands: &mut Vec<Command>,
    ) {
        for task in self.machine(index).load.tasks().clone() {
            if commands.len() >= MAX_COMMANDS_PER_MESSAGE {
                self.pending_commands.insert(index);
                return;
            }
            if let Some(stop) = self.take_unsent_stop(task) {
                commands.push(stop);
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
