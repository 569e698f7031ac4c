//! The workers: one for each machine, with a session, a lease, a fencing token and task attempts.
//!
//! A worker has at most one heartbeat in flight. If no reply has renewed its lease in time, it kills its tasks and begins a
//! new session. [`delivery`](super::delivery) delivers messages to it, and [`commands`] executes its commands.

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

/// Time to live of a worker's lease: `lease_s` of the tests' settings.
pub(crate) const WORKER_LEASE: Duration = Duration::from_secs(12);

/// Range of the time between two heartbeats, in milliseconds.
const HEARTBEAT_INTERVAL_MS: std::ops::Range<u64> = 1100..1900;

/// Maximum time from a change on the worker to its next heartbeat.
const CHANGE_HEARTBEAT_DELAY: Duration = Duration::from_millis(500);

/// Maximum time from the exit of a task to the next heartbeat.
const EXIT_HEARTBEAT_DELAY: Duration = Duration::from_millis(100);

/// Delay before a worker that was redirected to the leader sends it a heartbeat.
const REDIRECT_DELAY: Duration = Duration::from_millis(300);

/// Maximum delay of a heartbeat that is answered. After a longer delay, the worker no longer waits for the reply.
const MAX_ANSWERED_DELAY: Duration = Duration::from_secs(4);

/// Range of the delay of a duplicate heartbeat, in milliseconds.
const DUPLICATE_DELAY_MS: std::ops::Range<u64> = 2000..20_000;

/// Delay before a worker tries another controller.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Name of a task, `job/number`, and number of the attempt to run it.
type AttemptKey = (String, u64);

/// An attempt to run a task on this machine.
#[derive(Clone)]
pub(super) struct Attempt {
    pub state: TaskState,
    pub reason: Option<ExitReason>,
    /// Time at which the image is fetched and the task starts to run.
    ready_at: Timestamp,
    /// Time at which the task is done.
    ends_at: Timestamp,
}

impl Attempt {
    /// Reports whether the program of the task is running.
    pub(super) fn is_running(&self) -> bool {
        matches!(self.state, TaskState::Running | TaskState::Saving)
    }

    fn has_exited(&self) -> bool {
        self.state == TaskState::Exited
    }
}

/// The worker of a machine.
pub(crate) struct Worker {
    pub(super) zone: String,
    pub(super) token: FencingToken,
    pub(super) session: u64,
    /// Sequence number of the newest heartbeat or response to direct commands.
    pub(super) sequence: u64,
    lease_renewed_at: Timestamp,
    pub(super) attempts: BTreeMap<AttemptKey, Attempt>,
    /// Controller to which the worker sends its heartbeats.
    pub(super) node: usize,
    next_heartbeat_at: Timestamp,
    /// Time at which the heartbeat in flight was sent.
    pub(super) awaiting_reply_since: Option<Timestamp>,
    /// Time until which the worker hangs.
    pub hung_until: Timestamp,
    /// Time until which messages to the worker are lost.
    pub inbound_dropped_until: Timestamp,
    /// Time until which the worker's heartbeats are lost.
    pub heartbeats_dropped_until: Timestamp,
    /// Additional delay of the next heartbeat in the network.
    pub next_heartbeat_delay: Duration,
}

impl Worker {
    /// Creates the worker of a machine that boots. It sends its first heartbeat, to `node`, at `up_at`.
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
            awaiting_reply_since: None,
            hung_until: Timestamp::ZERO,
            inbound_dropped_until: Timestamp::ZERO,
            heartbeats_dropped_until: Timestamp::ZERO,
            next_heartbeat_delay: Duration::ZERO,
        }
    }

    /// Returns the next heartbeat.
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

    /// Moves the next heartbeat forward so that it is sent within `delay`.
    fn schedule_heartbeat_within(&mut self, now: Timestamp, delay: Duration) {
        self.next_heartbeat_at = self.next_heartbeat_at.min(now + delay);
    }

    /// Kills all tasks and begins a new session if the lease has expired, even while the worker hangs: no task may run beyond the
    /// lease.
    fn expire_lease(&mut self, machine: &str, now: Timestamp) {
        if now <= self.lease_renewed_at + WORKER_LEASE {
            return;
        }
        let (session, tasks) = (self.session, self.attempts.len());
        tracing::info!(
            now = now.as_millis(),
            machine,
            session,
            tasks,
            "worker lease expired, its tasks were killed and a new session begins"
        );
        self.attempts.clear();
        self.session += 1;
        self.lease_renewed_at = now;
        self.awaiting_reply_since = None;
    }

    /// Delays all attempts by a step: tasks make no progress while their worker hangs.
    fn stall_attempts(&mut self) {
        for attempt in self.attempts.values_mut() {
            attempt.ready_at += STEP;
            attempt.ends_at += STEP;
        }
    }

    /// Starts the tasks whose images are fetched and ends those that are done. Returns the started ones.
    fn advance_attempts(
        &mut self,
        now: Timestamp,
        jobs: &mut BTreeMap<String, SubmittedJob>,
    ) -> Vec<String> {
        let mut started = Vec::new();
        let mut ended = false;
        for ((task, _), attempt) in &mut self.attempts {
            if attempt.state == TaskState::Fetching && now >= attempt.ready_at {
                attempt.state = TaskState::Running;
                started.push(task.clone());
            }
            if attempt.state == TaskState::Running && now >= attempt.ends_at {
                (attempt.state, attempt.reason) = (TaskState::Exited, Some(ExitReason::Done));
                let (id, number) = split_task(task).unwrap();
                jobs.get_mut(id).unwrap().done.insert(number);
                ended = true;
            }
        }
        if ended {
            self.schedule_heartbeat_within(now, EXIT_HEARTBEAT_DELAY);
        }
        started
    }

    /// Switches to the next controller if the reply to the heartbeat in flight is overdue.
    fn time_out_heartbeat(&mut self, now: Timestamp) {
        let expired = |sent_at: Timestamp| now > sent_at + HEARTBEAT_TIMEOUT;
        if self.awaiting_reply_since.is_some_and(expired) {
            self.awaiting_reply_since = None;
            self.node = (self.node + 1) % NODES;
            self.next_heartbeat_at = now + RETRY_DELAY;
        }
    }

    /// Handles the reply to a heartbeat. Returns the commands to execute, if the reply renewed the lease.
    pub(super) fn handle_reply(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        node: usize,
        outcome: HeartbeatOutcome,
    ) -> Option<Vec<Command>> {
        self.awaiting_reply_since = None;
        match outcome {
            HeartbeatOutcome::Reply(HeartbeatReply { token, commands }) => {
                // A token below the highest one seen is out of date, as that of an earlier leader is. The reply is dropped.
                if token < self.token {
                    return None;
                }
                if token > self.token {
                    self.schedule_heartbeat_within(now, CHANGE_HEARTBEAT_DELAY);
                }
                (self.token, self.lease_renewed_at, self.node) = (token, sent_at, node);
                return Some(commands);
            }
            HeartbeatOutcome::Redirect(leader) => {
                let leader = leader.as_deref().and_then(super::cluster::node_index);
                self.node = leader.unwrap_or((node + 1) % NODES);
                self.next_heartbeat_at = now
                    + if leader.is_some() {
                        REDIRECT_DELAY
                    } else {
                        RETRY_DELAY
                    };
            }
            HeartbeatOutcome::NoLeader => {
                self.node = (node + 1) % NODES;
                self.next_heartbeat_at = now + RETRY_DELAY;
            }
        }
        None
    }

    /// Adopts the fencing token of direct commands. Returns false if they must not be executed: a higher token was seen, or they
    /// are meant for another session.
    pub(super) fn accept_token(&mut self, token: FencingToken, session: u64) -> bool {
        let valid = token >= self.token && session == self.session;
        if valid {
            self.token = token;
        }
        valid
    }
}

impl Simulation {
    /// Runs one step of a worker.
    pub(super) fn step_worker(&mut self, machine: &str) {
        let now = self.now();
        // Drawn in every step, even if it is not used: a conditional draw would change the run that each seed produces.
        let interval = Duration::from_millis(self.rng.gen_range(HEARTBEAT_INTERVAL_MS));
        let worker = self.workers.get_mut(machine).unwrap();
        worker.expire_lease(machine, now);
        if now < worker.hung_until {
            return worker.stall_attempts();
        }
        let started = worker.advance_attempts(now, &mut self.jobs);
        worker.time_out_heartbeat(now);
        if worker.awaiting_reply_since.is_none() && now >= worker.next_heartbeat_at {
            worker.next_heartbeat_at = now + interval;
            self.send_heartbeat(machine);
        }
        for task in &started {
            self.check_started_task(machine, task);
        }
    }

    /// Sends a worker's heartbeat to its controller. Depending on the faults in effect, it is lost, delayed or duplicated.
    fn send_heartbeat(&mut self, machine: &str) {
        let now = self.now();
        let worker = self.workers.get_mut(machine).unwrap();
        worker.awaiting_reply_since = Some(now);
        let node = worker.node;
        let lost = now < worker.heartbeats_dropped_until
            || !self.faults.node_reaches_zone(node, &worker.zone);
        let delay = std::mem::take(&mut worker.next_heartbeat_delay);
        let report = worker.next_heartbeat(machine);
        if lost {
            return;
        }
        let duplicated = self.faults.heartbeat_duplicate_probability;
        if duplicated > 0.0 && self.rng.gen_bool(duplicated) {
            let delay = Duration::from_millis(self.rng.gen_range(DUPLICATE_DELAY_MS));
            let duplicate = Message::Heartbeat {
                node: self.rng.gen_range(0..NODES),
                report: report.clone(),
                reply_discarded: true,
            };
            self.send(delay, duplicate);
        }
        let reply_discarded = delay > MAX_ANSWERED_DELAY;
        self.send(
            STEP + delay,
            Message::Heartbeat {
                node,
                report,
                reply_discarded,
            },
        );
    }
}
