//! Messages under way. Each arrives at a time that is known when it is sent.

use super::Simulation;
use crate::controller::HeartbeatOutcome;
use crate::coordination::leadership::Term;
use crate::protocol::{Txn, WorkerStatus};
use crate::scheduler::DirectCommands;
use crate::time::Timestamp;
use std::time::Duration;

/// After how long a controller gives up waiting for the answer to direct commands.
pub(super) const DIRECT_TIMEOUT: Duration = Duration::from_secs(2);

/// After how long a worker gives up waiting for the answer to a heartbeat.
pub(super) const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);

/// Direct commands with the process that decided them.
#[derive(Clone)]
pub(super) struct Dispatch {
    pub node: usize,
    /// Incarnation of the node's process; another one takes no notice of an answer.
    pub incarnation: u64,
    pub term: Option<Term>,
    pub direct: DirectCommands,
}

/// A message under way.
pub(super) enum Message {
    /// A heartbeat on its way to a controller.
    Heartbeat {
        node: usize,
        report: WorkerStatus,
        /// Nobody waits for the answer.
        discards_response: bool,
    },
    /// The answer to a heartbeat on its way to the worker.
    HeartbeatResponse {
        machine: String,
        session: u64,
        sent_at: Timestamp,
        node: usize,
        outcome: HeartbeatOutcome,
    },
    /// Direct commands that were decided, but not sent yet: the process is paused, or the connection is being opened.
    UnsentCommands(Dispatch),
    /// Direct commands on their way to a worker.
    DirectCommands {
        dispatch: Dispatch,
        sent_at: Timestamp,
    },
    /// The answer to direct commands; none if it was lost or came too late.
    DirectResponse {
        dispatch: Dispatch,
        report: Option<WorkerStatus>,
    },
    /// A transaction that got no answer and is carried out late.
    LateWrite(Txn),
}

struct InFlight {
    arrives_at: Timestamp,
    message: Message,
}

/// The messages under way, in the order in which they were sent.
#[derive(Default)]
pub(super) struct Network {
    in_flight: Vec<InFlight>,
}

impl Network {
    /// Takes what has arrived.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Vec<Message> {
        let (due, rest): (Vec<InFlight>, Vec<InFlight>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|in_flight| in_flight.arrives_at <= now);
        self.in_flight = rest;
        due.into_iter().map(|in_flight| in_flight.message).collect()
    }
}

impl Simulation {
    /// Sends a message that arrives after a delay.
    pub(super) fn send(&mut self, delay: Duration, message: Message) {
        let arrives_at = self.now() + delay;
        self.network.in_flight.push(InFlight {
            arrives_at,
            message,
        });
    }

    /// Commits a transaction late, as a test wants it.
    pub(crate) fn commit_late(&mut self, delay: Duration, txn: Txn) {
        self.send(delay, Message::LateWrite(txn));
    }
}
