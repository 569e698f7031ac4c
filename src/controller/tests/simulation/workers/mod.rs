//! The workers: one for each machine, with a lease, agent incarnations (sessions), a fencing token and tasks.
//!
//! A worker has one heartbeat in flight. It ends its tasks and begins a new session when no answer has renewed its lease in
//! time. [`delivery`](super::delivery) hands it what arrives, and [`commands`] executes the commands.

mod commands;

use super::network::{Message, HEARTBEAT_TIMEOUT};
use super::users::SubmittedJob;
use super::{Simulation, NODES, STEP};
use crate::controller::HeartbeatOutcome;
use crate::protocol::{
    split_task, Command, ExitReason, FencingToken, HeartbeatReply, TaskState, TaskStatus,
    WorkerStatus,
};
use crate::time::Timestamp;
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Length of a worker's lease; as in the tests' settings.
pub(crate) const LEASE: Duration = Duration::from_secs(12);

/// Bounds of the time between two heartbeats.
const HEARTBEAT_INTERVAL_MS: std::ops::Range<u64> = 1100..1900;

/// Longest time until the heartbeat after a change.
const CHANGE_HEARTBEAT: Duration = Duration::from_millis(500);

/// Longest time until the heartbeat after the exit of a task.
const EXIT_HEARTBEAT: Duration = Duration::from_millis(100);

/// Time until a worker turns to the leader that was named to it.
const REDIRECT: Duration = Duration::from_millis(300);

/// A heartbeat that is delayed for longer gets no answer, since its worker has given up waiting.
const UNANSWERED_DELAY: Duration = Duration::from_secs(4);

/// Bounds of the delay of a duplicated heartbeat.
const DUPLICATE_DELAY_MS: std::ops::Range<u64> = 2000..20_000;

/// Time until a worker turns to another controller.
const RETRY: Duration = Duration::from_secs(1);

/// A task and its attempt.
type AttemptKey = (String, u64);

/// An attempt of a task on a machine.
#[derive(Clone)]
pub(super) struct Attempt {
    pub state: TaskState,
    pub reason: Option<ExitReason>,
    ready_at: Timestamp,
    ends_at: Timestamp,
}

impl Attempt {
    /// Whether the task's own program runs.
    pub(super) fn is_running(&self) -> bool {
        matches!(self.state, TaskState::Running | TaskState::Saving)
    }

    fn has_exited(&self) -> bool {
        self.state == TaskState::Exited
    }
}

/// A machine and its worker.
pub(crate) struct Worker {
    pub(super) zone: String,
    pub(super) token: FencingToken,
    pub(super) session: u64,
    /// Number of heartbeats made.
    pub(super) sequence: u64,
    lease_renewed_at: Timestamp,
    pub(super) attempts: BTreeMap<AttemptKey, Attempt>,
    /// The controller to which it reports.
    pub(super) node: usize,
    next_heartbeat_at: Timestamp,
    /// When the heartbeat that is in flight was sent.
    pub(super) awaiting_answer_since: Option<Timestamp>,
    /// Until when its process hangs.
    pub hung_until: Timestamp,
    /// Until when nothing reaches it.
    pub deaf_until: Timestamp,
    /// Until when its heartbeats get lost.
    pub mute_until: Timestamp,
    /// The next heartbeat is delayed for so long.
    pub delay_next_heartbeat: Duration,
}

impl Worker {
    /// A worker that begins to report at that time.
    pub(super) fn booting(zone: &str, node: usize, up_at: Timestamp) -> Worker {
        Worker {
            zone: zone.into(),
            token: FencingToken::ZERO,
            session: 1,
            sequence: 0,
            lease_renewed_at: up_at,
            attempts: BTreeMap::new(),
            node,
            next_heartbeat_at: up_at,
            awaiting_answer_since: None,
            hung_until: Timestamp::ZERO,
            deaf_until: Timestamp::ZERO,
            mute_until: Timestamp::ZERO,
            delay_next_heartbeat: Duration::ZERO,
        }
    }

    /// Makes the next heartbeat.
    pub(super) fn next_heartbeat(&mut self, machine: &str) -> WorkerStatus {
        self.sequence += 1;
        let status = |((task, attempt), state): (&AttemptKey, &Attempt)| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: state.state,
            reason: state.reason,
            saved: None,
        };
        WorkerStatus {
            machine: machine.into(),
            address: "1.2.3.4:9".into(),
            machine_type: "m8".into(),
            zone: self.zone.clone(),
            spot: false,
            session: self.session,
            sequence: self.sequence,
            token: self.token,
            termination_notice_s: None,
            tasks: self.attempts.iter().map(status).collect(),
        }
    }

    fn report_within(&mut self, now: Timestamp, delay: Duration) {
        self.next_heartbeat_at = self.next_heartbeat_at.min(now + delay);
    }

    /// Ends the session if the lease has expired, also while the process hangs: it goes on within its lease only.
    fn expire_lease(&mut self, machine: &str, now: Timestamp) {
        if now <= self.lease_renewed_at + LEASE {
            return;
        }
        let (session, tasks) = (self.session, self.attempts.len());
        tracing::info!(
            now = now.as_millis(),
            machine,
            session,
            tasks,
            "worker lease expired"
        );
        self.attempts.clear();
        self.session += 1;
        self.lease_renewed_at = now;
        self.awaiting_answer_since = None;
    }

    /// The tasks of a worker that hangs stand still.
    fn stall_attempts(&mut self) {
        for attempt in self.attempts.values_mut() {
            attempt.ready_at += STEP;
            attempt.ends_at += STEP;
        }
    }

    /// Lets tasks begin and end; returns those that began.
    fn advance_attempts(
        &mut self,
        now: Timestamp,
        jobs: &mut BTreeMap<String, SubmittedJob>,
    ) -> Vec<String> {
        let mut begun = Vec::new();
        let mut ended = false;
        for ((task, _), attempt) in &mut self.attempts {
            if attempt.state == TaskState::Fetching && now >= attempt.ready_at {
                attempt.state = TaskState::Running;
                begun.push(task.clone());
            }
            if attempt.state == TaskState::Running && now >= attempt.ends_at {
                (attempt.state, attempt.reason) = (TaskState::Exited, Some(ExitReason::Done));
                let (id, number) = split_task(task).unwrap();
                jobs.get_mut(id).unwrap().done.insert(number);
                ended = true;
            }
        }
        if ended {
            self.report_within(now, EXIT_HEARTBEAT);
        }
        begun
    }

    /// Turns to the next controller if the heartbeat in flight was not answered in time.
    fn give_up_waiting(&mut self, now: Timestamp) {
        let expired = |sent_at: Timestamp| now > sent_at + HEARTBEAT_TIMEOUT;
        if self.awaiting_answer_since.is_some_and(expired) {
            self.awaiting_answer_since = None;
            self.node = (self.node + 1) % NODES;
            self.next_heartbeat_at = now + RETRY;
        }
    }

    /// Takes the answer to a heartbeat; returns the commands that are to be executed.
    pub(super) fn take_answer(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        node: usize,
        answer: HeartbeatOutcome,
    ) -> Option<Vec<Command>> {
        self.awaiting_answer_since = None;
        match answer {
            HeartbeatOutcome::Reply(HeartbeatReply { token, commands }) => {
                // An answer of an earlier leader is dropped.
                if token < self.token {
                    return None;
                }
                if token > self.token {
                    self.report_within(now, CHANGE_HEARTBEAT);
                }
                (self.token, self.lease_renewed_at, self.node) = (token, sent_at, node);
                return Some(commands);
            }
            HeartbeatOutcome::Redirect(leader) => {
                let leader = leader.as_deref().and_then(super::cluster::node_index);
                self.node = leader.unwrap_or((node + 1) % NODES);
                self.next_heartbeat_at = now + if leader.is_some() { REDIRECT } else { RETRY };
            }
            HeartbeatOutcome::NoLeader => {
                self.node = (node + 1) % NODES;
                self.next_heartbeat_at = now + RETRY;
            }
        }
        None
    }

    /// Takes the fencing token of direct commands; false if they are void, since a newer one is known or the session has ended.
    pub(super) fn accept_token(&mut self, token: FencingToken, session: u64) -> bool {
        let valid = token >= self.token && session == self.session;
        if valid {
            self.token = token;
        }
        valid
    }
}

impl Simulation {
    /// One step of a worker.
    pub(super) fn step_worker(&mut self, machine: &str) {
        let now = self.now();
        // Drawn in every step, whether it is used or not: the order of draws is part of what a seed means.
        let interval = Duration::from_millis(self.rng.gen_range(HEARTBEAT_INTERVAL_MS));
        let worker = self.workers.get_mut(machine).unwrap();
        worker.expire_lease(machine, now);
        if now < worker.hung_until {
            return worker.stall_attempts();
        }
        let begun = worker.advance_attempts(now, &mut self.jobs);
        worker.give_up_waiting(now);
        if worker.awaiting_answer_since.is_none() && now >= worker.next_heartbeat_at {
            worker.next_heartbeat_at = now + interval;
            self.send_heartbeat(machine);
        }
        for task in &begun {
            self.check_begun_task(machine, task);
        }
    }

    /// Sends a worker's heartbeat to its controller, perhaps with a delay, perhaps twice, perhaps not at all.
    fn send_heartbeat(&mut self, machine: &str) {
        let now = self.now();
        let worker = self.workers.get_mut(machine).unwrap();
        worker.awaiting_answer_since = Some(now);
        let node = worker.node;
        let lost = now < worker.mute_until || !self.faults.node_reaches_zone(node, &worker.zone);
        let delay = std::mem::take(&mut worker.delay_next_heartbeat);
        let report = worker.next_heartbeat(machine);
        if lost {
            return;
        }
        let duplicated = self.faults.duplicated_heartbeats;
        if duplicated > 0.0 && self.rng.gen_bool(duplicated) {
            let delay = Duration::from_millis(self.rng.gen_range(DUPLICATE_DELAY_MS));
            let duplicate = Message::Heartbeat {
                node: self.rng.gen_range(0..NODES),
                report: report.clone(),
                copy: true,
            };
            self.send(delay, duplicate);
        }
        let copy = delay > UNANSWERED_DELAY;
        self.send(STEP + delay, Message::Heartbeat { node, report, copy });
    }
}
