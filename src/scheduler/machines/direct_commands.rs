//! Commands and probes that are sent directly to workers, and the order in which machines are released.

use super::machine::{Machine, MachineState};
use crate::protocol::{Command, DirectCommandRequest, FencingToken, WorkerStatus};
use crate::scheduler::attempt::Route;
use crate::scheduler::heartbeat::HeartbeatSource;
use crate::scheduler::index::MachineIndex;
use crate::scheduler::Scheduler;
use std::cmp::Reverse;
use std::time::Duration;

/// Added to the heartbeat timeout before a machine is probed.
const PROBE_MARGIN: Duration = Duration::from_millis(500);
/// Minimum time between two probes of a machine.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Commands to be sent directly to a worker. A message without commands is a probe: the worker responds with its status.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectCommands {
    /// Name of the machine.
    pub machine: String,
    /// Address of the worker.
    pub address: String,
    /// Fencing token of the machine.
    pub token: FencingToken,
    /// Session of the worker for which the commands are meant.
    pub session: u64,
    /// Commands, in the order in which the worker executes them.
    pub commands: Vec<Command>,
}

impl DirectCommands {
    /// Returns the request to be sent to the worker.
    #[must_use]
    pub fn request(&self) -> DirectCommandRequest {
        DirectCommandRequest {
            token: self.token,
            session: self.session,
            commands: self.commands.clone(),
        }
    }

    /// Reports whether the commands start a task.
    fn has_starts(&self) -> bool {
        self.commands
            .iter()
            .any(|command| matches!(command, Command::Start { .. }))
    }
}

/// Returns a sort key that orders machines by the work that cannot be restarted elsewhere until they send a heartbeat or are
/// confirmed gone, most work first: by CPUs of services, then by number of tasks.
fn blocked_work_key(machine: &Machine) -> (Reverse<u64>, Reverse<usize>) {
    (
        Reverse(machine.load.service_cpu_milli()),
        Reverse(machine.load.tasks().len()),
    )
}

impl Scheduler {
    /// Returns up to `limit` messages with the pending starts and stops, at most one for each machine. A machine is skipped
    /// while an earlier message to it is in flight.
    pub fn direct_commands(&mut self, limit: usize) -> Vec<DirectCommands> {
        let mut messages = Vec::new();
        for index in self.pending_commands.clone() {
            if messages.len() >= limit {
                break;
            }
            let Some(machine) = self.machines.get(index) else {
                self.pending_commands.remove(&index);
                continue;
            };
            // The machine stays pending until its commands can be sent, directly or in the reply to its heartbeat.
            if !machine.contact.acknowledges_token() || machine.commands.is_direct_in_flight() {
                continue;
            }
            self.pending_commands.remove(&index);
            let message = self.collect_commands(index);
            if !message.commands.is_empty() {
                self.machine_mut(index)
                    .commands
                    .begin_direct(message.has_starts());
                messages.push(message);
            }
        }
        messages
    }

    /// Returns a message with the unsent stops and starts of a machine.
    fn collect_commands(&mut self, index: MachineIndex) -> DirectCommands {
        let mut message = self.open_message(index, Route::Direct, Vec::new());
        self.add_stops(&mut message);
        // A release may take long if the cloud does not respond, so cancelled tasks are stopped in the meantime. Starts are
        // not sent to a machine that is to be released.
        if self.machine(index).state() != MachineState::Releasing {
            self.add_starts(&mut message);
        }
        let closed = self.close_message(message);
        DirectCommands {
            token: closed.token,
            commands: closed.commands,
            ..self.message_without_commands(index)
        }
    }

    /// Returns a message to a machine that contains no commands.
    fn message_without_commands(&self, index: MachineIndex) -> DirectCommands {
        let machine = self.machine(index);
        DirectCommands {
            machine: machine.name().to_string(),
            address: machine.contact.address().to_string(),
            token: self.token(machine),
            session: machine.contact.latest_heartbeat().session,
            commands: Vec::new(),
        }
    }

    /// Reports whether direct commands may still be sent: every start in them is of an active attempt that is not being
    /// stopped. Opening a connection may take seconds, in which a job may be cancelled and the cancellation confirmed to its
    /// user.
    #[must_use]
    pub fn is_still_valid(&self, direct: &DirectCommands) -> bool {
        direct.commands.iter().all(|command| match command {
            Command::Start { task, attempt } => self.should_run(task, *attempt),
            _ => true,
        })
    }

    /// Reports whether this attempt of a task is the active one and is not being stopped.
    fn should_run(&self, task: &str, attempt: u64) -> bool {
        self.find_task(task)
            .and_then(|task| self.attempt(task))
            .is_some_and(|active| active.attempt == attempt && !active.is_stopping())
    }

    /// Returns the names of up to `limit` machines to be released. Machines that block the most work come first, because one
    /// release call takes only some of the machines when many fail together.
    #[must_use]
    pub fn machines_to_release(&self, limit: usize) -> Vec<String> {
        let mut releasing: Vec<_> = self
            .machines()
            .filter(|(_, machine)| machine.state() == MachineState::Releasing)
            .collect();
        releasing.sort_by_key(|(index, machine)| (blocked_work_key(machine), *index));
        releasing
            .into_iter()
            .take(limit)
            .map(|(_, machine)| machine.name().to_string())
            .collect()
    }

    /// Returns up to `limit` probes for machines whose heartbeat is overdue or that have not acknowledged the current token:
    /// the response is a heartbeat under that token and arrives much sooner than the worker's next one. Machines that may
    /// hold replicas of services come first, then those with other tasks.
    pub fn due_probes(&mut self, limit: usize) -> Vec<DirectCommands> {
        let mut due: Vec<_> = self
            .machines()
            .filter(|(_, machine)| self.is_probe_due(machine))
            .map(|(index, machine)| (blocked_work_key(machine), index))
            .collect();
        due.sort_unstable();
        let next_at = self.now() + MIN_PROBE_INTERVAL.max(self.params.heartbeat_interval / 2);
        let mut probes = Vec::new();
        for (_, index) in due.into_iter().take(limit) {
            probes.push(self.message_without_commands(index));
            let machine = self.machine_mut(index);
            machine.commands.begin_direct(false);
            machine.contact.record_probe(next_at);
        }
        probes
    }

    /// Reports whether a machine should be probed now.
    fn is_probe_due(&self, machine: &Machine) -> bool {
        let now = self.now();
        let overdue_after = self.params.heartbeat_timeout() + PROBE_MARGIN;
        let contact = &machine.contact;
        machine.is_heartbeat_expected()
            && (!contact.acknowledges_token() || contact.is_silent_for(overdue_after, now))
            && !machine.commands.is_direct_in_flight()
            && contact.may_be_probed(now)
    }

    /// Processes the response to direct commands, or its absence. Without a response the commands may execute minutes later,
    /// so the fencing token is advanced: the worker ignores them once it has seen the new token, and until it acknowledges
    /// that token, its heartbeats say nothing about the tasks on the machine.
    pub fn handle_direct_response(
        &mut self,
        sent: &DirectCommands,
        response: Option<&WorkerStatus>,
    ) {
        let Some(index) = self.machines.index_of(&sent.machine) else {
            return;
        };
        self.machine_mut(index).commands.finish_direct();
        match response {
            Some(report) => {
                self.handle_heartbeat(report, HeartbeatSource::DirectResponse);
            }
            None if sent.commands.is_empty() => {}
            None => self.advance_fencing_token(index, "no response to direct commands"),
        }
    }

    /// Advances a machine's fencing token: commands under the old token are void once the worker has seen the new one. The
    /// machine gets no work until it acknowledges the new token. If it never does, it is replaced like a silent machine, even
    /// if its heartbeats arrive.
    pub(in crate::scheduler) fn advance_fencing_token(
        &mut self,
        index: MachineIndex,
        reason: &str,
    ) {
        let machine = self.machine_mut(index);
        machine.commands.advance_token();
        machine.contact.reset_acknowledgement();
        let machine = self.machine(index);
        tracing::info!(machine = %machine.name(), reason, token = self.token(machine).as_u64(), "fencing token advanced, no new work until the worker acknowledges it");
    }
}
