//! A worker that follows the protocol: token, session, lease, one request in flight, attempts.

use super::super::*;
use std::collections::BTreeMap;

/// Time for which a worker waits for the reply to a heartbeat, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 4000;

/// Name of a task and number of the attempt to run it.
type AttemptKey = (String, u64);

/// The request whose reply a worker waits for.
#[derive(Clone, Copy)]
pub(super) struct Awaited {
    pub(super) request: u64,
    sent_at_ms: u64,
}

/// The worker of a machine.
pub(super) struct Worker {
    pub(super) machine: String,
    token: FencingToken,
    session: u64,
    sequence: u64,
    lease_from_ms: u64,
    /// Time until which the worker reaches no controller, while direct commands reach it.
    pub(super) muted_until_ms: u64,
    pub(super) awaited: Option<Awaited>,
    /// Reason of the end of each attempt, or `None` while it runs.
    attempts: BTreeMap<AttemptKey, Option<ExitReason>>,
}

impl Worker {
    pub(super) fn new(machine: String, now_ms: u64) -> Worker {
        Worker {
            machine,
            token: FencingToken::ZERO,
            session: 1,
            sequence: 0,
            lease_from_ms: now_ms,
            muted_until_ms: 0,
            awaited: None,
            attempts: BTreeMap::new(),
        }
    }

    /// Returns the running tasks.
    pub(super) fn running(&self) -> impl Iterator<Item = &str> {
        let running = self.attempts.iter().filter(|(_, end)| end.is_none());
        running.map(|((task, _), _)| task.as_str())
    }

    /// Kills all tasks and begins a new session if the lease has expired, and gives up a request that was not answered in time.
    pub(super) fn advance(&mut self, now_ms: u64) {
        if now_ms > self.lease_from_ms + LEASE_MS {
            self.attempts.clear();
            self.session += 1;
            self.lease_from_ms = now_ms;
            self.awaited = None;
        }
        if self
            .awaited
            .is_some_and(|it| now_ms > it.sent_at_ms + REPLY_TIMEOUT_MS)
        {
            self.awaited = None;
        }
    }

    /// Returns the worker's status, with the next sequence number.
    pub(super) fn status(&mut self) -> WorkerStatus {
        self.sequence += 1;
        let statuses = self
            .attempts
            .iter()
            .map(|((task, attempt), end)| TaskStatus {
                task: task.clone(),
                attempt: *attempt,
                state: end.map_or(TaskState::Running, |_| TaskState::Exited),
                reason: *end,
                saved: None,
            });
        WorkerStatus {
            machine: self.machine.clone(),
            address: "1.2.3.4:9".into(),
            machine_type: "m8".into(),
            zone: "a".into(),
            spot: false,
            session: self.session,
            sequence: self.sequence,
            token: self.token,
            termination_notice_s: None,
            tasks: statuses.collect(),
        }
    }

    /// Sends a request, whose reply the worker waits for.
    pub(super) fn send_request(&mut self, request: u64, now_ms: u64) -> WorkerStatus {
        self.awaited = Some(Awaited {
            request,
            sent_at_ms: now_ms,
        });
        self.status()
    }

    /// Reports whether the worker would execute the reply to a request now.
    pub(super) fn accepts_reply(&self, request: u64, reply: &HeartbeatReply) -> bool {
        self.awaited.is_some_and(|it| it.request == request) && reply.token >= self.token
    }

    /// Reports whether the worker would execute direct commands now.
    pub(super) fn accepts_direct(&self, direct: &DirectCommands) -> bool {
        direct.token >= self.token && direct.session == self.session
    }

    /// Returns the tasks that these commands would start.
    pub(super) fn tasks_to_start<'a>(&self, commands: &'a [Command]) -> Vec<&'a str> {
        let new_task = |command: &'a Command| match command {
            Command::Start { task, attempt } => {
                let is_new = !self.attempts.contains_key(&(task.clone(), *attempt));
                is_new.then_some(task.as_str())
            }
            _ => None,
        };
        commands.iter().filter_map(new_task).collect()
    }

    /// Receives the reply to a request. Returns the tasks that it starts.
    pub(super) fn receive_reply(&mut self, request: u64, reply: &HeartbeatReply) -> Vec<String> {
        let is_accepted = self.accepts_reply(request, reply);
        let Some(awaited) = self.awaited.take_if(|it| it.request == request) else {
            return Vec::new();
        };
        if !is_accepted {
            return Vec::new();
        }
        self.token = reply.token;
        self.lease_from_ms = awaited.sent_at_ms;
        self.execute(&reply.commands)
    }

    /// Receives direct commands. Returns the tasks that they start.
    pub(super) fn receive_direct(&mut self, direct: &DirectCommands) -> Vec<String> {
        let is_accepted = self.accepts_direct(direct);
        // A worker raises its token, but executes nothing, if only the session differs.
        self.token = self.token.max(direct.token);
        if is_accepted {
            self.execute(&direct.commands)
        } else {
            Vec::new()
        }
    }

    fn execute(&mut self, commands: &[Command]) -> Vec<String> {
        let mut started = Vec::new();
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self.attempts.contains_key(&key) {
                        continue;
                    }
                    let is_here = self.running().any(|other| other == task);
                    let refusal = is_here.then_some(ExitReason::ConflictingAttempt);
                    self.attempts.insert(key, refusal);
                    if refusal.is_none() {
                        started.push(task.clone());
                    }
                }
                Command::Stop { task, attempt, .. } => {
                    let key = (task.clone(), *attempt);
                    if let Some(end) = self.attempts.get_mut(&key) {
                        end.get_or_insert(ExitReason::Stopped);
                    }
                }
                Command::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self.attempts.get(&key).is_some_and(Option::is_some) {
                        self.attempts.remove(&key);
                    }
                }
            }
        }
        started
    }

    /// Ends the running task at a position, if there is one.
    pub(super) fn end_task(&mut self, position: usize, reason: ExitReason) {
        let mut running = self.attempts.values_mut().filter(|end| end.is_none());
        if let Some(end) = running.nth(position) {
            *end = Some(reason);
        }
    }
}
