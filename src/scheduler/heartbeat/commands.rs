//! Assembly of the reply to a heartbeat.

use crate::protocol::{Command, HeartbeatReply};
use crate::scheduler::attempt::Route;
use crate::scheduler::index::MachineIndex;
use crate::scheduler::worker_message::{WorkerMessage, MAX_COMMANDS_PER_MESSAGE};
use crate::scheduler::Scheduler;

fn is_forget(command: &Command) -> bool {
    matches!(command, Command::Forget { .. })
}

impl Scheduler {
    /// Returns the reply to a heartbeat with the given commands and, if the machine `may_start` tasks, with its starts.
    ///
    /// The starts are added last, when it is decided whether the reply raises the token. Otherwise they would be recorded under
    /// the token before, as if they were void once the worker shows the raised one: a task whose start was on its way in the
    /// reply, while a direct command overtook it, was then started on a second machine.
    pub(super) fn reply(
        &mut self,
        index: MachineIndex,
        mut commands: Vec<Command>,
        may_start: bool,
    ) -> HeartbeatReply {
        // Stops come first. Commands beyond the limit are left to the next reply.
        commands.sort_by_key(|command| !matches!(command, Command::Stop { .. }));
        commands.truncate(MAX_COMMANDS_PER_MESSAGE);
        self.void_duplicates_of_forgotten_starts(index, &mut commands);
        let mut message = self.open_message(index, Route::HeartbeatReply, commands);
        if may_start {
            self.add_starts_to_reply(index, &mut message);
        }
        let closed = self.close_message(message);
        let reply = HeartbeatReply {
            token: closed.token,
            commands: closed.commands,
        };
        self.log_reply(index, &reply);
        reply
    }

    /// Adds the starts of a machine to a reply, and removes the machine from those with pending commands unless the reply is
    /// full or direct commands are in flight, after which more may follow.
    fn add_starts_to_reply(&mut self, index: MachineIndex, message: &mut WorkerMessage) {
        self.add_starts(message);
        if !message.is_full() && !self.machine(index).commands.is_direct_in_flight() {
            self.pending_commands.remove(&index);
        }
    }

    /// Logs a reply with commands. The worker may receive it seconds later, after direct commands that were sent later, so the
    /// token and the sequence of both are needed to tell what the worker knew when.
    fn log_reply(&self, index: MachineIndex, reply: &HeartbeatReply) {
        if reply.commands.is_empty() {
            return;
        }
        let machine = self.machine(index);
        let count = |is_counted: fn(&Command) -> bool| {
            let counted = reply.commands.iter().filter(|command| is_counted(command));
            counted.count()
        };
        tracing::debug!(
            machine = %machine.name(),
            sequence = machine.contact.latest_heartbeat().number,
            token = reply.token.as_u64(),
            starts = count(|command| matches!(command, Command::Start { .. })),
            stops = count(|command| matches!(command, Command::Stop { .. })),
            forgets = count(is_forget),
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
        let channel = &mut self.machine_mut(index).commands;
        if channel.is_direct_in_flight() {
            commands.retain(|command| !is_forget(command));
        } else if channel.has_sent_direct_starts() && commands.iter().any(is_forget) {
            channel.advance_token();
            let machine = self.machine(index);
            tracing::debug!(machine = %machine.name(), token = self.token(machine).as_u64(), "fencing token advanced, duplicates of direct starts are void");
        }
    }
}
