//! The leader's scheduler, its workers, the messages between them, and what the store holds.

use super::super::cluster::scheduler_of_epoch;
use super::super::*;
use super::worker::Worker;
use crate::store::Epoch;
use rand::{rngs::StdRng, Rng};
use std::collections::BTreeMap;

/// Number of machines.
const MACHINES: usize = 3;
/// Maximum number of jobs that are unfinished at a time.
const MAX_JOBS: usize = 9;
/// Time for which a leader waits for the response to direct commands, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 2000;
/// Time between two rounds without faults, in milliseconds.
const ROUND_MS: u64 = 500;
/// Maximum number of messages that a round sends.
const MAX_MESSAGES: usize = 9;

/// A message in flight. Workers are named by their position.
#[derive(Clone)]
enum Message {
    /// A heartbeat on its way to the leader. A copy gets no reply.
    Request {
        worker: usize,
        request: Option<u64>,
        status: WorkerStatus,
    },
    Reply {
        worker: usize,
        request: u64,
        reply: HeartbeatReply,
    },
    /// Direct commands on their way to a worker. A copy has no call that waits for its response.
    Direct {
        worker: usize,
        call: Option<u64>,
        direct: DirectCommands,
    },
    Response {
        call: u64,
        status: WorkerStatus,
    },
}

impl Message {
    /// Returns the probability that the message is left for later when it could be delivered: replies so that direct commands
    /// overtake them, copies so that they arrive when their commands have long been executed.
    fn delay_probability(&self) -> f64 {
        match self {
            Message::Reply { .. } => 0.7,
            Message::Request { request: None, .. } | Message::Direct { call: None, .. } => 0.98,
            _ => 0.0,
        }
    }
}

/// Direct commands whose response the leader waits for.
struct Call {
    direct: DirectCommands,
    sent_at_ms: u64,
}

/// An unfinished job, or one that is being stopped.
struct StoredJob {
    spec: JobSpec,
    version: u64,
    is_cancelled: bool,
}

pub(super) struct World {
    scheduler: Scheduler,
    epoch: Epoch,
    now_ms: u64,
    /// The last number given to a request, a call, a job or a version.
    last_number: u64,
    workers: Vec<Worker>,
    in_flight: Vec<Message>,
    calls: BTreeMap<u64, Call>,
    jobs: BTreeMap<String, StoredJob>,
    /// Contents of the start log's slots.
    slots: BTreeMap<u32, (Revision, String)>,
    pub(super) violations: Vec<String>,
}

impl World {
    pub(super) fn new() -> World {
        let now_ms = 1000;
        let workers = (0..MACHINES).map(|i| Worker::new(format!("n-{i}"), now_ms));
        let mut world = World {
            scheduler: scheduler_of_epoch(EPOCH, u64::MAX, now_ms),
            epoch: EPOCH,
            now_ms,
            last_number: 100,
            workers: workers.collect(),
            in_flight: Vec::new(),
            calls: BTreeMap::new(),
            jobs: BTreeMap::new(),
            slots: BTreeMap::new(),
            violations: Vec::new(),
        };
        world.add_machines(Origin::Rented);
        world
    }

    fn add_machines(&mut self, origin: Origin) {
        let hardware = Hardware {
            machine_type: "m8",
            zone: "a",
            spot: false,
        };
        for worker in &self.workers {
            self.scheduler
                .add_machine(&worker.machine, hardware, origin);
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Advances the clocks of the leader and the workers, and ends the leader's waits for responses that are overdue.
    pub(super) fn advance(&mut self, by_ms: u64) {
        self.now_ms += by_ms;
        self.scheduler.tick(self.now_ms);
        for worker in &mut self.workers {
            worker.advance(self.now_ms);
        }
        let now_ms = self.now_ms;
        let is_overdue = |call: &Call| now_ms > call.sent_at_ms + RESPONSE_TIMEOUT_MS;
        let overdue: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| is_overdue(call))
            .map(|(number, _)| *number)
            .collect();
        for call in overdue {
            self.end_call(call, None);
        }
    }

    /// Ends the leader's wait for a response, unless it has ended before.
    fn end_call(&mut self, call: u64, status: Option<&WorkerStatus>) {
        if let Some(call) = self.calls.remove(&call) {
            self.scheduler.handle_direct_response(&call.direct, status);
        }
    }

    /// Delivers a random message, unless it is left for later.
    pub(super) fn deliver_any(&mut self, rng: &mut StdRng) {
        if self.in_flight.is_empty() {
            return;
        }
        let position = rng.gen_range(0..self.in_flight.len());
        if rng.gen_bool(self.in_flight[position].delay_probability()) {
            return;
        }
        let message = self.in_flight.swap_remove(position);
        self.deliver(message);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request {
                worker,
                request,
                status,
            } => {
                let source = HeartbeatSource::Request { may_start: true };
                let decision = self.scheduler.handle_heartbeat(&status, source);
                if let (HeartbeatDecision::Reply(reply), Some(request)) = (decision, request) {
                    self.in_flight.push(Message::Reply {
                        worker,
                        request,
                        reply,
                    });
                }
            }
            Message::Reply {
                worker,
                request,
                reply,
            } => {
                let started = self.workers[worker].receive_reply(request, &reply);
                self.check_started(worker, &started);
            }
            Message::Direct {
                worker,
                call,
                direct,
            } => {
                let started = self.workers[worker].receive_direct(&direct);
                self.check_started(worker, &started);
                let status = self.workers[worker].status();
                if let Some(call) = call {
                    self.in_flight.push(Message::Response { call, status });
                }
            }
            Message::Response { call, status } => self.end_call(call, Some(&status)),
        }
    }

    /// Records a violation if a task that was started runs on another machine too.
    fn check_started(&mut self, worker: usize, started: &[String]) {
        for task in started {
            for (other, elsewhere) in self.workers.iter().enumerate() {
                if other != worker && elsewhere.running().any(|running| running == task) {
                    let violation =
                        format!("{task} is started on n-{worker} while it runs on n-{other}");
                    self.violations.push(violation);
                }
            }
        }
    }

    /// Records a violation if the scheduler takes a task for gone that runs on a machine or that a message in flight would start
    /// there.
    pub(super) fn check_proofs(&mut self) {
        let running = self.workers.iter().flat_map(|worker| {
            let tasks = worker.running();
            tasks.map(|task| (worker.machine.as_str(), task))
        });
        let in_flight = self.in_flight.iter();
        let starting = in_flight.flat_map(|message| self.tasks_to_start(message));
        let is_taken_for_gone = |(machine, task): &(&str, &str)| !self.is_active(machine, task);
        let taken_for_gone = running.chain(starting).find(is_taken_for_gone);
        if let Some((machine, task)) = taken_for_gone {
            let violation = format!("{task} is taken for gone, but is or may start on {machine}");
            self.violations.push(violation);
        }
    }

    /// Returns the machine of a message in flight and the tasks that it would start there if it arrived now.
    fn tasks_to_start<'a>(&'a self, message: &'a Message) -> Vec<(&'a str, &'a str)> {
        let (worker, commands) = match message {
            Message::Reply {
                worker,
                request,
                reply,
            } if self.workers[*worker].accepts_reply(*request, reply) => (worker, &reply.commands),
            Message::Direct { worker, direct, .. }
                if self.workers[*worker].accepts_direct(direct) =>
            {
                (worker, &direct.commands)
            }
            _ => return Vec::new(),
        };
        let worker = &self.workers[*worker];
        let tasks = worker.tasks_to_start(commands).into_iter();
        tasks.map(|task| (worker.machine.as_str(), task)).collect()
    }

    /// Reports whether the scheduler knows that a task is or may be on a machine.
    fn is_active(&self, machine: &str, task: &str) -> bool {
        let task = self.scheduler.find_task(task);
        let active = task.and_then(|task| self.scheduler.attempt(task));
        active.is_some_and(|active| self.scheduler.machine(active.machine).name() == machine)
    }

    /// Repeats a request or direct commands, or loses a message.
    pub(super) fn repeat_or_lose_any(&mut self, rng: &mut StdRng) {
        if self.in_flight.is_empty() {
            return;
        }
        let position = rng.gen_range(0..self.in_flight.len());
        match self.in_flight[position].clone() {
            Message::Request { worker, status, .. } => self.in_flight.push(Message::Request {
                worker,
                request: None,
                status,
            }),
            Message::Direct { worker, direct, .. } => self.in_flight.push(Message::Direct {
                worker,
                call: None,
                direct,
            }),
            Message::Reply { .. } | Message::Response { .. } => {
                self.in_flight.swap_remove(position);
            }
        }
    }

    /// Lets a random worker send a heartbeat, unless it waits for a reply.
    pub(super) fn send_request(&mut self, rng: &mut StdRng) {
        self.send_request_of(rng.gen_range(0..MACHINES));
    }

    /// Cuts a random worker off from the controllers for up to two leases. Direct commands and their responses get through.
    pub(super) fn mute_any(&mut self, rng: &mut StdRng) {
        let duration_ms = rng.gen_range(0..2 * LEASE_MS);
        self.workers[rng.gen_range(0..MACHINES)].muted_until_ms = self.now_ms + duration_ms;
    }

    fn send_request_of(&mut self, worker: usize) {
        let is_muted = self.now_ms < self.workers[worker].muted_until_ms;
        if is_muted || self.workers[worker].awaited.is_some() {
            return;
        }
        let request = self.next_number();
        let status = self.workers[worker].send_request(request, self.now_ms);
        self.in_flight.push(Message::Request {
            worker,
            request: Some(request),
            status,
        });
    }

    pub(super) fn end_any_task(&mut self, rng: &mut StdRng) {
        let reason = if rng.gen_bool(0.9) {
            ExitReason::Done
        } else {
            ExitReason::UnknownTask
        };
        self.workers[rng.gen_range(0..MACHINES)].end_task(rng.gen_range(0..3), reason);
    }

    /// Submits a one-task job, unless there are enough.
    pub(super) fn submit(&mut self, rng: &mut StdRng) {
        if self.jobs.len() >= MAX_JOBS {
            return;
        }
        let version = self.next_number();
        let job = StoredJob {
            spec: JobSpec {
                cpus: [1.0, 2.0, 4.0][rng.gen_range(0..3)],
                ..spec(&format!("wk-{version}"), 1)
            },
            version,
            is_cancelled: false,
        };
        self.add_job(&job);
        self.jobs.insert(job.spec.id.clone(), job);
    }

    fn add_job(&mut self, job: &StoredJob) {
        let record = JobRecord {
            spec: job.spec.clone(),
            at_ms: 0,
        };
        let version = Revision::new(job.version);
        self.scheduler
            .add_job(record, version, &[], 0, job.is_cancelled);
    }

    pub(super) fn cancel_any(&mut self, rng: &mut StdRng) {
        if self.jobs.is_empty() {
            return;
        }
        let position = rng.gen_range(0..self.jobs.len());
        if let Some((id, job)) = self.jobs.iter_mut().nth(position) {
            job.is_cancelled = true;
            self.scheduler.stop_job(id);
        }
    }

    /// Runs a scheduling pass, and removes the jobs that are done or stopped.
    pub(super) fn place(&mut self) {
        for job in self.scheduler.complete_jobs() {
            self.scheduler.stop_job(&job.id);
        }
        for id in self.scheduler.remove_stopped_jobs() {
            self.jobs.remove(&id);
        }
        self.scheduler.request_pass();
        self.scheduler.place();
    }

    /// Makes the starts that are assigned durable.
    pub(super) fn write_log(&mut self) {
        while let Some(write) = self.scheduler.next_log_write(8000, 60) {
            let version = Revision::new(self.next_number());
            self.slots.insert(write.slot, (version, write.text.clone()));
            self.scheduler.log_write_applied(write, version);
        }
    }

    pub(super) fn send_direct_commands(&mut self) {
        let messages = self.scheduler.direct_commands(MAX_MESSAGES);
        self.send_directly(messages);
    }

    pub(super) fn send_probes(&mut self) {
        let messages = self.scheduler.due_probes(MAX_MESSAGES);
        self.send_directly(messages);
    }

    fn send_directly(&mut self, messages: Vec<DirectCommands>) {
        for direct in messages {
            let call = self.next_number();
            let is_addressed = |worker: &Worker| worker.machine == direct.machine;
            let Some(worker) = self.workers.iter().position(is_addressed) else {
                continue;
            };
            self.in_flight.push(Message::Direct {
                worker,
                call: Some(call),
                direct: direct.clone(),
            });
            let sent_at_ms = self.now_ms;
            self.calls.insert(call, Call { direct, sent_at_ms });
        }
    }

    /// Begins the next epoch: a new leader reads jobs, machines and start log from the store. Messages stay in flight, but the new
    /// leader expects no responses.
    pub(super) fn change_leader(&mut self) {
        self.epoch = self.epoch.next();
        self.calls.clear();
        self.scheduler = scheduler_of_epoch(self.epoch, u64::MAX, self.now_ms);
        self.add_machines(Origin::Inherited);
        for job in std::mem::take(&mut self.jobs).into_values() {
            self.add_job(&job);
            self.jobs.insert(job.spec.id.clone(), job);
        }
        let slots = self
            .slots
            .iter()
            .map(|(number, (version, text))| StoredSlot {
                number: *number,
                version: *version,
                text,
            });
        self.scheduler.replay_start_log(slots);
    }

    /// Runs a round in which all messages arrive in the order in which they were sent. Returns true once all jobs have ended.
    pub(super) fn run_without_faults(&mut self) -> bool {
        self.advance(ROUND_MS);
        for worker in 0..MACHINES {
            self.workers[worker].end_task(0, ExitReason::Done);
            self.send_request_of(worker);
        }
        self.deliver_all();
        self.place();
        self.write_log();
        self.send_direct_commands();
        self.send_probes();
        self.deliver_all();
        self.jobs.is_empty()
    }

    /// Delivers all messages in flight and those that they cause.
    fn deliver_all(&mut self) {
        while !self.in_flight.is_empty() {
            let message = self.in_flight.remove(0);
            self.deliver(message);
        }
    }

    /// Returns the ids of the jobs that have not ended.
    pub(super) fn unsettled(&self) -> Vec<&str> {
        self.jobs.keys().map(String::as_str).collect()
    }
}
