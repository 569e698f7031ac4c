//! Commands and probes that are sent straight to workers, and the order in which machines are released.

use super::machine::{Machine, MachineState};
use crate::protocol::{Command, DirectCommandRequest, FencingToken, WorkerStatus};
use crate::scheduler::attempt::Route;
use crate::scheduler::heartbeat::HeartbeatSource;
use crate::scheduler::index::MachineIndex;
use crate::scheduler::Scheduler;
use std::cmp::Reverse;
use std::time::Duration;

/// Beside the time in which a machine surely reports, before it is probed.
const PROBE_MARGIN: Duration = Duration::from_millis(500);
/// Least time between two probes of a machine.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Commands to be sent straight to a worker; without any they are a probe.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectCommands {
    /// The machine's name.
    pub machine: String,
    /// The worker's address.
    pub address: String,
    /// The machine's fencing token.
    pub token: FencingToken,
    /// The worker's session.
    pub session: u64,
    /// The commands.
    pub commands: Vec<Command>,
}

impl DirectCommands {
    /// The message to the worker.
    #[must_use]
    pub fn request(&self) -> DirectCommandRequest {
        DirectCommandRequest {
            token: self.token,
            session: self.session,
            commands: self.commands.clone(),
        }
    }

    /// Whether a task is started.
    fn has_starts(&self) -> bool {
        self.commands
            .iter()
            .any(|command| matches!(command, Command::Start { .. }))
    }
}

/// How much waits for a machine to be heard or proven gone, the most first: replicas of services, other tasks, nothing.
fn urgency(machine: &Machine) -> (Reverse<u64>, Reverse<usize>) {
    (
        Reverse(machine.load.service_cpu_milli()),
        Reverse(machine.load.tasks().len()),
    )
}

impl Scheduler {
    /// Starts and stops to be sent straight to workers, at most one message a machine at a time, up to a number of messages.
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
            // Stays pending until it can be told, by direct commands or in the answer to its heartbeat.
            if !machine.contact.acknowledges_token() || machine.commands.is_direct_in_flight() {
                continue;
            }
            self.pending_commands.remove(&index);
            let message = self.collect_commands(index);
            if !message.commands.is_empty() {
                self.machine_mut(index)
                    .commands
                    .send_direct(message.has_starts());
                messages.push(message);
            }
        }
        messages
    }

    /// What is to be sent to a machine.
    fn collect_commands(&mut self, index: MachineIndex) -> DirectCommands {
        let mut message = self.message_to(index);
        self.collect_stops(index, &mut message.commands);
        // A release may take long where the cloud does not answer: what is cancelled there is stopped meanwhile.
        if self.machine(index).state() != MachineState::Releasing {
            self.collect_starts(index, Route::Direct, &mut message.commands);
        }
        message
    }

    /// A message to a machine without commands.
    fn message_to(&self, index: MachineIndex) -> DirectCommands {
        let machine = self.machine(index);
        DirectCommands {
            machine: machine.name().to_string(),
            address: machine.contact.address().to_string(),
            token: self.token(machine),
            session: machine.contact.latest_heartbeat().session,
            commands: Vec::new(),
        }
    }

    /// Whether direct commands may still be sent: every start in them is of an attempt that is to run. A connection may take
    /// seconds, in which the job is cancelled and that is confirmed to its user.
    #[must_use]
    pub fn is_still_valid(&self, direct: &DirectCommands) -> bool {
        direct.commands.iter().all(|command| match command {
            Command::Start { task, attempt } => self.is_to_run(task, *attempt),
            _ => true,
        })
    }

    fn is_to_run(&self, task: &str, attempt: u64) -> bool {
        self.find_task(task)
            .and_then(|task| self.attempt(task))
            .is_some_and(|active| active.attempt == attempt && !active.is_stopping())
    }

    /// Machines to be released, up to a number, those first of which most waits for the proof that they are gone: when many
    /// fall together, a call takes only some of them.
    #[must_use]
    pub fn machines_to_release(&self, limit: usize) -> Vec<String> {
        let mut releasing: Vec<_> = self
            .machines()
            .filter(|(_, machine)| machine.state() == MachineState::Releasing)
            .collect();
        releasing.sort_by_key(|(index, machine)| (urgency(machine), *index));
        releasing
            .into_iter()
            .take(limit)
            .map(|(_, machine)| machine.name().to_string())
            .collect()
    }

    /// Probes, up to a number, for machines that are overdue or have not shown the current token yet: the response is a
    /// heartbeat under it, much sooner than the worker's next one. Those that may hold replicas come first, then those with
    /// other tasks.
    pub fn due_probes(&mut self, limit: usize) -> Vec<DirectCommands> {
        let mut due: Vec<_> = self
            .machines()
            .filter(|(_, machine)| self.is_probe_due(machine))
            .map(|(index, machine)| (urgency(machine), index))
            .collect();
        due.sort_unstable();
        let next_at = self.now() + MIN_PROBE_INTERVAL.max(self.params.heartbeat_interval / 2);
        let mut probes = Vec::new();
        for (_, index) in due.into_iter().take(limit) {
            probes.push(self.message_to(index));
            let machine = self.machine_mut(index);
            machine.commands.send_direct(false);
            machine.contact.record_probe(next_at);
        }
        probes
    }

    fn is_probe_due(&self, machine: &Machine) -> bool {
        let now = self.now();
        let overdue = self.params.quiet_time() + PROBE_MARGIN;
        let contact = &machine.contact;
        machine.is_expected()
            && (!contact.acknowledges_token() || contact.is_silent_for(overdue, now))
            && !machine.commands.is_direct_in_flight()
            && contact.may_be_probed(now)
    }

    /// The response to direct commands, or none. Without one they may execute minutes later: the fencing token is advanced,
    /// so that they are void once the worker has seen it, and until then nothing is concluded from its heartbeats.
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
            None => self.advance_fencing_token(index, "no answer to direct commands"),
        }
    }

    /// Advances a machine's fencing token: what was sent under the old one is void once the worker has seen the new one.
    /// Until it shows it, it gets no work; if it never does, though it reports, it is replaced like a silent one.
    pub(in crate::scheduler) fn advance_fencing_token(
        &mut self,
        index: MachineIndex,
        reason: &str,
    ) {
        let machine = self.machine_mut(index);
        machine.commands.advance_token();
        machine.contact.await_token();
        tracing::info!(machine = %machine.name(), reason, "fencing token advanced");
    }
}
