//! Heartbeats: what workers say of their machines, and what follows from it.
//!
//! A heartbeat comes as a request of the worker, whose answer renews the worker's lease and carries commands, or as the
//! response to direct commands. It is ordered by session and sequence number (`sequence`); only the newest one counts, and
//! only one under the machine's current fencing token says what is on the machine. `session` processes contact and lease,
//! `reconciliation` compares the worker's tasks with what is known of them, `adoption` adopts those that are unknown here,
//! `outcomes` handles those that have ended, and `commands` writes the answer.

mod adoption;
mod commands;
mod outcomes;
mod reconciliation;
mod sequence;
mod session;

pub(super) use sequence::HeartbeatSequence;

use super::index::MachineIndex;
use super::{Scheduler, EPOCH_SHIFT};
use crate::protocol::{HeartbeatReply, WorkerStatus};

/// How a heartbeat has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// As a request of the worker: the answer renews its lease.
    Request {
        /// Whether this node has the authority to start tasks.
        may_start: bool,
    },
    /// As the response to direct commands.
    DirectResponse,
}

impl HeartbeatSource {
    fn is_request(self) -> bool {
        matches!(self, HeartbeatSource::Request { .. })
    }
}

/// What follows from a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatDecision {
    /// The heartbeat gets this answer.
    Reply(HeartbeatReply),
    /// The worker has seen the token of a later epoch: this leader's term is over.
    Superseded,
    /// No rental names the machine.
    UnregisteredMachine,
}

/// A heartbeat of a registered machine.
#[derive(Clone, Copy)]
struct Heartbeat<'a> {
    machine: MachineIndex,
    report: &'a WorkerStatus,
    source: HeartbeatSource,
}

impl Heartbeat<'_> {
    fn sequence(&self) -> HeartbeatSequence {
        HeartbeatSequence {
            session: self.report.session,
            number: self.report.sequence,
        }
    }
}

impl Scheduler {
    /// Processes a heartbeat.
    pub fn handle_heartbeat(
        &mut self,
        report: &WorkerStatus,
        source: HeartbeatSource,
    ) -> HeartbeatDecision {
        if report.token.as_u64() >> EPOCH_SHIFT > self.epoch.as_u64() {
            return HeartbeatDecision::Superseded;
        }
        let Some(machine) = self.machines.index_of(&report.machine) else {
            return HeartbeatDecision::UnregisteredMachine;
        };
        let heartbeat = Heartbeat {
            machine,
            report,
            source,
        };
        if source.is_request() {
            self.renew_lease(heartbeat);
        }
        if self.is_newest(heartbeat) {
            HeartbeatDecision::Reply(self.handle_newest_heartbeat(heartbeat))
        } else {
            HeartbeatDecision::Reply(HeartbeatReply {
                token: self.token(self.machine(machine)),
                commands: Vec::new(),
            })
        }
    }

    /// Whether a heartbeat is newer than all before it, and under a token that this leader has given out.
    fn is_newest(&self, heartbeat: Heartbeat) -> bool {
        let machine = self.machine(heartbeat.machine);
        heartbeat.sequence() > machine.contact.latest_heartbeat()
            && heartbeat.report.token <= self.token(machine)
    }

    /// Processes the newest heartbeat of a machine and returns its answer.
    fn handle_newest_heartbeat(&mut self, heartbeat: Heartbeat) -> HeartbeatReply {
        let session_changed = self.record_contact(heartbeat);
        let mut commands = Vec::new();
        if heartbeat.report.token == self.token(self.machine(heartbeat.machine)) {
            self.handle_confirmed_heartbeat(heartbeat, session_changed, &mut commands);
        } else {
            self.stop_ended_jobs(heartbeat.report, &mut commands);
        }
        self.answer(heartbeat.machine, commands)
    }
}
