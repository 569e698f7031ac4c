//! Commands for a worker, in the answer to its heartbeat or sent straight to it.

use crate::protocol::{Command, HeartbeatReply};
use crate::scheduler::attempt::{Phase, Route, TaskEvent, TaskId};
use crate::scheduler::index::MachineIndex;
use crate::scheduler::Scheduler;

/// Most commands in one message to a worker: keeps it far below 64 KiB. The rest follows in the next one.
const COMMANDS_PER_MESSAGE: usize = 300;

impl Scheduler {
    /// Adds the starts of a machine to an answer. Nothing is pending for it any more unless something is left over or may
    /// follow direct commands that are under way.
    pub(super) fn answer_with_starts(&mut self, index: MachineIndex, commands: &mut Vec<Command>) {
        self.collect_starts(index, Route::HeartbeatReply, commands);
        let is_complete = commands.len() < COMMANDS_PER_MESSAGE;
        if is_complete && !self.machine(index).commands.is_direct_in_flight() {
            self.pending_commands.remove(&index);
        }
    }

    /// The answer to a heartbeat.
    pub(super) fn answer(
        &mut self,
        index: MachineIndex,
        mut commands: Vec<Command>,
    ) -> HeartbeatReply {
        // Stops first: where there are more commands than fit, the rest is told next time.
        commands.sort_by_key(|command| !matches!(command, Command::Stop { .. }));
        commands.truncate(COMMANDS_PER_MESSAGE);
        self.void_copies_of_forgotten_starts(index, &mut commands);
        let token = self.token(self.machine(index));
        HeartbeatReply { token, commands }
    }

    /// A copy of a direct start that was carried out may still come, and once its attempt is forgotten the worker would start
    /// it anew. So what makes it forget also brings a higher token, which voids the copy; and nothing is forgotten while
    /// direct commands are under way, which that would void as well.
    fn void_copies_of_forgotten_starts(
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
        }
    }

    /// The name of a task on the wire.
    fn task_name(&self, task: TaskId) -> String {
        format!("{}/{}", self.job(task.job).record.spec.id, task.number)
    }

    /// Adds the starts of a machine whose lines in the start log are durable to a message.
    pub(in crate::scheduler) fn collect_starts(
        &mut self,
        index: MachineIndex,
        route: Route,
        commands: &mut Vec<Command>,
    ) {
        for task in self.machine(index).load.tasks().clone() {
            if commands.len() >= COMMANDS_PER_MESSAGE {
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
            tracing::info!(job = %self.job(task.job).record.spec.id, task = task.number, machine = %machine.name(), %epoch, direct, "start");
            commands.push(Command::Start {
                task: self.task_name(task),
                attempt: active.attempt,
            });
            self.apply_event(task, TaskEvent::Send { route, token });
        }
    }

    /// Adds the stops of a machine that were not sent yet to a message. A late one does no harm: it names its attempt.
    pub(in crate::scheduler) fn collect_stops(
        &mut self,
        index: MachineIndex,
        commands: &mut Vec<Command>,
    ) {
        for task in self.machine(index).load.tasks().clone() {
            if commands.len() >= COMMANDS_PER_MESSAGE {
                self.pending_commands.insert(index);
                return;
            }
            if let Some(stop) = self.unsent_stop(task) {
                commands.push(stop);
            }
        }
    }

    /// The stop of a task that is being stopped, unless it was sent; from now on it was.
    fn unsent_stop(&mut self, task: TaskId) -> Option<Command> {
        let job = self.job_mut(task.job);
        let active = job.active.get_mut(&task.number)?;
        let Phase::Stopping { save } = active.phase else {
            return None;
        };
        if std::mem::replace(&mut active.stop_sent, true) {
            return None;
        }
        let attempt = active.attempt;
        let grace_s = if save { job.record.spec.save_s } else { 0.0 };
        Some(Command::Stop {
            task: self.task_name(task),
            attempt,
            grace_s,
        })
    }
}
