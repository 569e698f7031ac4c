//! The state of a worker: its session, its lease, the highest token it has seen, and its tasks.

use super::tasks::Tasks;
use super::WorkerSettings;
use crate::harness::history::{CommandSource, Millis, Observation};
use hollowswitch::protocol::{
    encode, DirectCommandRequest, FencingToken, HeartbeatReply, ListedMachine, WorkerStatus,
};
use std::time::Duration;
use tokio::time::Instant;

/// Time after which the reply to a heartbeat is dropped.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_secs(4);

/// A heartbeat that is sent, with what is needed to judge its reply.
pub(super) struct SentHeartbeat {
    /// The encoded message.
    pub(super) body: Vec<u8>,
    /// The session in which it is sent.
    session: u64,
    /// When it is sent.
    sent_at: Instant,
    /// The same in the time of the history.
    asked_at: Millis,
}

/// What a worker knows and does.
pub(super) struct WorkerState {
    machine: ListedMachine,
    session: u64,
    sequence: u64,
    token: FencingToken,
    /// When the newest answered heartbeat of the session was sent, or when the session began.
    lease_begins_at: Instant,
    tasks: Tasks,
}

impl WorkerState {
    /// Creates a worker without tasks, in its first session.
    pub(super) fn new(machine: &ListedMachine, cpus: f64, settings: &WorkerSettings) -> Self {
        WorkerState {
            tasks: Tasks::new(
                &machine.id,
                cpus,
                settings.fetch_time,
                settings.registry.clone(),
                settings.recorder.clone(),
            ),
            machine: machine.clone(),
            session: 1,
            sequence: 0,
            token: FencingToken::ZERO,
            lease_begins_at: Instant::now(),
        }
    }

    /// Begins the first session.
    pub(super) fn boot(&mut self) {
        self.lease_begins_at = Instant::now();
    }

    /// Returns the next status, which is newer than all earlier ones.
    pub(super) fn next_status(&mut self) -> WorkerStatus {
        self.sequence += 1;
        WorkerStatus {
            machine: self.machine.id.clone(),
            address: self.machine.address.clone(),
            machine_type: self.machine.machine_type.clone(),
            zone: self.machine.zone.clone(),
            spot: self.machine.spot,
            session: self.session,
            sequence: self.sequence,
            token: self.token,
            termination_notice_s: None,
            tasks: self.tasks.statuses(),
        }
    }

    /// Returns the next heartbeat to send.
    pub(super) fn next_heartbeat(&mut self, asked_at: Millis) -> SentHeartbeat {
        SentHeartbeat {
            body: encode(&self.next_status()),
            session: self.session,
            sent_at: Instant::now(),
            asked_at,
        }
    }

    /// Handles the reply to a heartbeat. Returns whether there is a change to report.
    pub(super) fn handle_reply(
        &mut self,
        heartbeat: &SentHeartbeat,
        reply: &HeartbeatReply,
        settings: &WorkerSettings,
    ) -> bool {
        self.end_expired_session(settings);
        let is_late = heartbeat.sent_at.elapsed() > REPLY_TIMEOUT;
        if is_late || heartbeat.session != self.session || reply.token < self.token {
            return false;
        }
        let is_newer_token = reply.token > self.token;
        self.accept_token(reply.token, settings);
        self.lease_begins_at = self.lease_begins_at.max(heartbeat.sent_at);
        let source = CommandSource::HeartbeatReply(heartbeat.asked_at);
        self.tasks.execute(&reply.commands, source) || is_newer_token
    }

    /// Executes direct commands. Returns whether they were accepted: their token is not older than the known one, and they are
    /// for this session.
    pub(super) fn handle_direct_commands(
        &mut self,
        request: &DirectCommandRequest,
        asked_at: Millis,
        settings: &WorkerSettings,
    ) -> bool {
        self.end_expired_session(settings);
        let is_accepted = request.token >= self.token && request.session == self.session;
        if is_accepted {
            self.accept_token(request.token, settings);
            let source = CommandSource::Direct(asked_at);
            self.tasks.execute(&request.commands, source);
        }
        is_accepted
    }

    fn accept_token(&mut self, token: FencingToken, settings: &WorkerSettings) {
        self.token = token;
        settings.recorder.record(Observation::TokenAccepted {
            machine: self.machine.id.clone(),
            token: token.as_u64(),
        });
    }

    /// Returns when the lease ends unless it is renewed.
    pub(super) fn lease_ends_at(&self, settings: &WorkerSettings) -> Instant {
        self.lease_begins_at + settings.lease
    }

    /// Ends the session if its lease has expired. Returns whether it has.
    pub(super) fn end_expired_session(&mut self, settings: &WorkerSettings) -> bool {
        let now = Instant::now();
        if now < self.lease_ends_at(settings) {
            return false;
        }
        self.tasks.kill_all(self.lease_ends_at(settings));
        self.session += 1;
        self.lease_begins_at = now;
        true
    }

    /// Returns the tasks.
    pub(super) fn tasks(&mut self) -> &mut Tasks {
        &mut self.tasks
    }
}
