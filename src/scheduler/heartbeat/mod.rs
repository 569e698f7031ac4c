//! Processing of heartbeats, in which workers report the status of their machines and tasks.
//!
//! A heartbeat arrives as a request of the worker, whose reply renews the worker's lease and carries commands, or as the
//! response to direct commands. Heartbeats are ordered by session and sequence number (`sequence`). Only the newest one
//! counts, and only one under the machine's current fencing token determines which tasks are on the machine. `session`
//! processes contact and lease, `reconciliation` compares the listed tasks with the known ones, `unlisted` drops
//! those that are gone, `adoption` adopts tasks that
//! are unknown here, `outcomes` handles tasks that have ended, and `commands` assembles the reply.

mod adoption;
mod commands;
mod outcomes;
mod reconciliation;
mod sequence;
mod session;
mod unlisted;

pub(super) use sequence::HeartbeatSequence;

use super::index::MachineIndex;
use super::{Scheduler, EPOCH_SHIFT};
use crate::protocol::{HeartbeatReply, WorkerStatus};

/// How a heartbeat arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// As a request of the worker, whose reply renews its lease.
    Request {
        /// Whether this controller has the authority to start tasks.
        may_start: bool,
    },
    /// As the response to direct commands.
    DirectResponse,
}

impl HeartbeatSource {
    /// Reports whether the heartbeat is a request of the worker.
    fn is_request(self) -> bool {
        matches!(self, HeartbeatSource::Request { .. })
    }
}

/// Decision of the scheduler on a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatDecision {
    /// The heartbeat gets this reply.
    Reply(HeartbeatReply),
    /// The worker has seen a token of a later epoch, so the term of this leader is over.
    Superseded,
    /// The scheduler does not know the machine: no rental record names it.
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
    /// Returns the heartbeat's position in the order of its machine's heartbeats.
    fn sequence(&self) -> HeartbeatSequence {
        HeartbeatSequence {
            session: self.report.session,
            number: self.report.sequence,
        }
    }
}

impl Scheduler {
    /// Processes a heartbeat and returns the decision on it.
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

    /// Reports whether a heartbeat is newer than all earlier ones of its machine, under a token no higher than the current one.
    fn is_newest(&self, heartbeat: Heartbeat) -> bool {
        let machine = self.machine(heartbeat.machine);
        heartbeat.sequence() > machine.contact.latest_heartbeat()
            && heartbeat.report.token <= self.token(machine)
    }

    /// Processes the newest heartbeat of a machine and returns the reply.
    fn handle_newest_heartbeat(&mut self, heartbeat: Heartbeat) -> HeartbeatReply {
        let session_changed = self.record_contact(heartbeat);
        let mut commands = Vec::new();
        let may_start = if heartbeat.report.token == self.token(self.machine(heartbeat.machine)) {
            self.handle_current_token_heartbeat(heartbeat, session_changed, &mut commands)
        } else {
            self.stop_ended_jobs(heartbeat.report, &mut commands);
            false
        };
        if !heartbeat.source.is_request() {
            // Nothing answers the response to direct commands. If it raised the token for a reply that is never sent, replies
            // under the token before would be ignored by the worker, with their starts and the renewal of its lease.
            commands.clear();
        }
        self.reply(heartbeat.machine, commands, may_start)
    }
}
