//! Messages in flight. The arrival time of a message is fixed when it is sent.

use super::Simulation;
use crate::controller::HeartbeatOutcome;
use crate::coordination::leadership::Term;
use crate::protocol::{Txn, WorkerStatus};
use crate::scheduler::DirectCommands;
use crate::time::Timestamp;
use std::time::Duration;

/// Time for which a controller waits for the response to direct commands.
pub(super) const DIRECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a worker waits for the reply to a heartbeat.
pub(super) const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);

/// Direct commands, with the controller's process and the term in which they were decided.
#[derive(Clone)]
pub(super) struct Dispatch {
    pub node: usize,
    /// Incarnation of the controller's process. A later one ignores the response.
    pub incarnation: u64,
    pub term: Option<Term>,
    pub direct: DirectCommands,
}

/// A message in flight.
pub(super) enum Message {
    /// A heartbeat on its way to a controller.
    Heartbeat {
        node: usize,
        report: WorkerStatus,
        /// Whether the reply is discarded, because the heartbeat is a duplicate or the worker no longer waits for it.
        reply_discarded: bool,
    },
    /// The reply to a heartbeat on its way to the worker.
    HeartbeatReply {
        machine: String,
        session: u64,
        sent_at: Timestamp,
        node: usize,
        outcome: HeartbeatOutcome,
    },
    /// Direct commands that were decided but not sent yet: the process is paused, or the connection is still being opened.
    UnsentCommands(Dispatch),
    /// Direct commands on their way to a worker.
    DirectCommands {
        dispatch: Dispatch,
        sent_at: Timestamp,
    },
    /// The response to direct commands; its report is absent if the response was lost or too late.
    DirectResponse {
        dispatch: Dispatch,
        report: Option<WorkerStatus>,
    },
    /// A transaction that was not answered and is committed late.
    LateWrite(Txn),
}

struct InFlight {
    arrives_at: Timestamp,
    message: Message,
}

/// The messages in flight, in the order in which they were sent.
#[derive(Default)]
pub(super) struct Network {
    in_flight: Vec<InFlight>,
}

impl Network {
    /// Removes and returns the messages that have arrived.
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

    /// Schedules a transaction, chosen by a test, to be committed after a delay.
    pub(crate) fn commit_late(&mut self, delay: Duration, txn: Txn) {
        self.send(delay, Message::LateWrite(txn));
    }
}
