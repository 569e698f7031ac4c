//! Delivery of messages: the effect of each one when it arrives.

use super::network::{Dispatch, Message, DIRECT_TIMEOUT, HEARTBEAT_TIMEOUT};
use super::{Simulation, STEP};
use crate::controller::HeartbeatOutcome;
use crate::protocol::{HeartbeatReply, Txn, WorkerStatus};
use crate::time::Timestamp;
use std::time::Duration;

/// Delay before a late transaction is tried again while the store is down.
const LATE_WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Simulation {
    /// Delivers a message to its receiver.
    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::LateWrite(txn) => self.deliver_late_write(txn),
            Message::Heartbeat {
                node,
                report,
                reply_discarded,
            } => self.deliver_heartbeat(node, report, reply_discarded),
            Message::HeartbeatReply {
                machine,
                session,
                sent_at,
                node,
                outcome,
            } => self.deliver_heartbeat_reply(&machine, session, sent_at, node, outcome),
            Message::UnsentCommands(dispatch) => self.send_delayed_commands(dispatch),
            Message::DirectCommands { dispatch, sent_at } => {
                self.deliver_direct_commands(dispatch, sent_at);
            }
            Message::DirectResponse { dispatch, report } => {
                self.deliver_direct_response(&dispatch, report.as_ref());
            }
        }
    }

    /// Commits a transaction that the store did not answer. During an outage it is postponed until the store is back.
    fn deliver_late_write(&mut self, txn: Txn) {
        if self.store.is_down() {
            self.send(LATE_WRITE_RETRY_DELAY, Message::LateWrite(txn));
        } else {
            self.commit(&txn);
        }
    }

    /// Delivers a heartbeat to a controller, after the end of the controller's pause if it is paused, and sends the reply.
    fn deliver_heartbeat(&mut self, node: usize, report: WorkerStatus, reply_discarded: bool) {
        let (now, paused_until) = (self.now(), self.nodes[node].paused_until);
        if now < paused_until {
            let retry = Message::Heartbeat {
                node,
                report,
                reply_discarded,
            };
            return self.send(paused_until.saturating_duration_since(now), retry);
        }
        let Some(controller) = self.nodes[node].controller.as_mut() else {
            return;
        };
        let outcome = controller.handle_heartbeat(&report);
        if let (HeartbeatOutcome::Reply(HeartbeatReply { commands, .. }), false) =
            (&outcome, reply_discarded)
        {
            self.check_sent_commands(commands);
        }
        let Some(worker) = self.workers.get(&report.machine) else {
            return;
        };
        let lost = reply_discarded
            || worker.session != report.session
            || worker.sequence < report.sequence
            || now < worker.inbound_dropped_until
            || !self.faults.node_reaches_zone(node, &worker.zone);
        if lost {
            return;
        }
        let reply = Message::HeartbeatReply {
            sent_at: worker.awaiting_reply_since.unwrap_or_default(),
            machine: report.machine,
            session: report.session,
            node,
            outcome,
        };
        self.send(STEP, reply);
    }

    /// Delivers the reply to a heartbeat if the worker, in the same session, still waits for it.
    fn deliver_heartbeat_reply(
        &mut self,
        machine: &str,
        session: u64,
        sent_at: Timestamp,
        node: usize,
        outcome: HeartbeatOutcome,
    ) {
        let (now, image_fetch_time) = (self.now(), self.image_fetch_time);
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        let is_awaited =
            worker.awaiting_reply_since == Some(sent_at) && now <= sent_at + HEARTBEAT_TIMEOUT;
        if now < worker.hung_until || !is_awaited || worker.session != session {
            return;
        }
        if let Some(commands) = worker.handle_reply(now, sent_at, node, outcome) {
            worker.execute(machine, &commands, now, image_fetch_time, &self.jobs);
        }
    }

    /// Sends direct commands that were delayed by a pause or an opening connection, unless they are no longer valid.
    fn send_delayed_commands(&mut self, dispatch: Dispatch) {
        let node = &mut self.nodes[dispatch.node];
        if node.incarnation != dispatch.incarnation {
            return;
        }
        let Some(controller) = node.controller.as_mut() else {
            return;
        };
        if controller.may_send_direct(dispatch.term, &dispatch.direct) {
            self.send_commands(vec![dispatch]);
        } else {
            controller.handle_direct_response(dispatch.term, &dispatch.direct, None);
        }
    }

    /// Delivers direct commands. The worker executes them unless it has seen a higher fencing token or begun another session.
    fn deliver_direct_commands(&mut self, dispatch: Dispatch, sent_at: Timestamp) {
        let (now, image_fetch_time) = (self.now(), self.image_fetch_time);
        let machine = dispatch.direct.machine.clone();
        let Some(worker) = self.workers.get_mut(&machine) else {
            return self.schedule_direct_timeout(DIRECT_TIMEOUT, dispatch);
        };
        let reachable = self.faults.node_reaches_zone(dispatch.node, &worker.zone);
        if now < worker.inbound_dropped_until || !reachable {
            return self.schedule_direct_timeout(DIRECT_TIMEOUT, dispatch);
        }
        if now < worker.hung_until {
            let hung_until = worker.hung_until;
            return self.postpone_direct_commands(dispatch, sent_at, hung_until);
        }
        if worker.accept_token(dispatch.direct.token, dispatch.direct.session) {
            worker.execute(
                &machine,
                &dispatch.direct.commands,
                now,
                image_fetch_time,
                &self.jobs,
            );
        }
        let report = worker.next_heartbeat(&machine);
        if now < sent_at + DIRECT_TIMEOUT {
            let report = Some(report);
            self.send(STEP, Message::DirectResponse { dispatch, report });
        }
    }

    /// Postpones direct commands to a hung worker. It executes them when it resumes, although the controller no longer waits for
    /// the response then.
    fn postpone_direct_commands(
        &mut self,
        dispatch: Dispatch,
        sent_at: Timestamp,
        hung_until: Timestamp,
    ) {
        let now = self.now();
        if now < sent_at + DIRECT_TIMEOUT {
            let remaining = (sent_at + DIRECT_TIMEOUT).saturating_duration_since(now);
            self.schedule_direct_timeout(remaining, dispatch.clone());
        }
        let retry = Message::DirectCommands {
            dispatch,
            sent_at: Timestamp::ZERO,
        };
        self.send(hung_until.saturating_duration_since(now) + STEP, retry);
    }

    /// Lets the controller's wait for the response to direct commands time out after a delay.
    pub(super) fn schedule_direct_timeout(&mut self, delay: Duration, dispatch: Dispatch) {
        let no_response = Message::DirectResponse {
            dispatch,
            report: None,
        };
        self.send(delay, no_response);
    }

    fn deliver_direct_response(&mut self, dispatch: &Dispatch, report: Option<&WorkerStatus>) {
        let node = &mut self.nodes[dispatch.node];
        if node.incarnation != dispatch.incarnation {
            return;
        }
        if let Some(controller) = node.controller.as_mut() {
            controller.handle_direct_response(dispatch.term, &dispatch.direct, report);
        }
    }
}
