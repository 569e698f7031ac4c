//! The scheduler: machines, what runs on them, and where tasks go. Pure logic: events in, actions out, no I/O and no clock.
//!
//! The invariant that everything here serves: a task may be on a machine until it is proven gone, and until then it is
//! started nowhere else and counts for its team's quota and its zone. A new leader knows where tasks may be from the start
//! log (`start_log`): nothing is sent before its line there is durable.
//!
//! `machines`: what is known of each; `reports`: what workers say; `scheduling_pass`: where tasks go; `demand`: what finds no
//! room; `boot_times`: how long machines take to come up.

mod boot_times;
mod demand;
mod machines;
mod reports;
mod scheduling_pass;
mod start_log;

pub use demand::{UnmetDemand, Utilization};
pub use start_log::Append;

use crate::placement::{self, Capability};
use crate::protocol::{Command, Kind, MachineType, Priority, ReportReply};
use crate::store::{LiveRecord, CHUNK};
use boot_times::BootTimes;
use start_log::StartLog;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

/// A job that has failed on so many machines, and of which no task has finished, is taken for one with a mistake.
const MISTAKEN: usize = 3;
/// A task that has run for so long is no mistake.
const PROOF_MS: u64 = 30_000;
/// Bits of a token, and of an attempt, below the epoch.
const TOKEN_BITS: u32 = 24;

/// The lowest token of an epoch.
pub fn first_token(epoch: u64) -> u64 {
    epoch << TOKEN_BITS
}

/// CPUs in thousandths, accelerators in thousandths, memory in MB.
pub type Amounts = [u64; 3];

fn amounts(cpus: f64, gpus: f64, memory_gb: f64) -> Amounts {
    // Rounded up, so that rounding can never make a quota or a machine look roomier than it is.
    [cpus, gpus, memory_gb].map(|x| (x * 1000.0 - 1e-6).ceil().max(0.0) as u64)
}

fn fits(need: &Amounts, room: &Amounts) -> u32 {
    let times = |i: usize| room[i].checked_div(need[i]).unwrap_or(u64::MAX);
    (0..3).map(times).min().unwrap_or(0).min(u32::MAX as u64) as u32
}

fn less(a: &Amounts, b: &Amounts, n: u64) -> Amounts {
    std::array::from_fn(|i| a[i].saturating_sub(b[i].saturating_mul(n)))
}

fn more(a: &Amounts, b: &Amounts, n: u64) -> Amounts {
    std::array::from_fn(|i| a[i].saturating_add(b[i].saturating_mul(n)))
}

/// Names mapped to dense indices.
#[derive(Default)]
pub struct Names {
    index: HashMap<String, usize>,
    names: Vec<String>,
}

impl Names {
    /// The index of a name, new or not.
    pub fn add(&mut self, name: &str) -> usize {
        if let Some(i) = self.index.get(name) {
            return *i;
        }
        self.names.push(name.to_string());
        self.index.insert(name.to_string(), self.names.len() - 1);
        self.names.len() - 1
    }
    /// The index of a known name.
    pub fn get(&self, name: &str) -> Option<usize> {
        self.index.get(name).copied()
    }
    /// The name.
    pub fn name(&self, i: usize) -> &str {
        &self.names[i]
    }
}

/// A team's quota; `u64::MAX` where it has none.
#[derive(Debug, Clone)]
pub struct TeamQuota {
    /// Name.
    pub name: String,
    /// Guarantee (CPUs, accelerators).
    pub guarantee: [u64; 2],
    /// Limit (CPUs, accelerators).
    pub limit: [u64; 2],
}

impl TeamQuota {
    /// From the settings, where 0 means none.
    pub fn new(t: &crate::config::Team) -> Self {
        let floor = |x: f64| (x * 1000.0 + 1e-6).floor() as u64;
        let limit = |x: f64| if x > 0.0 { floor(x) } else { u64::MAX };
        TeamQuota {
            name: t.name.clone(),
            guarantee: [floor(t.cpus), floor(t.gpus)],
            limit: [limit(t.cpus_max), limit(t.gpus_max)],
        }
    }
}

/// Fixed numbers of a scheduler, from the settings.
#[derive(Debug, Clone)]
pub struct Params {
    /// Lease of the workers.
    pub lease_ms: u64,
    /// Time between reports.
    pub report_ms: u64,
    /// How long an earlier leader may have renewed leases after its own lease.
    pub grace_ms: u64,
    /// Group factor.
    pub group_factor: f64,
    /// Fetch rate until measured.
    pub fetch_gb_per_s: f64,
    /// Whether the transfer test applies.
    pub transfer_test: bool,
    /// Teams.
    pub teams: Vec<TeamQuota>,
    /// Classes whose jobs are expected to be finished within a time, in milliseconds.
    pub finish_ms: HashMap<String, u64>,
}

impl Params {
    /// From the settings.
    pub fn new(s: &crate::config::Settings) -> Self {
        let w = &s.platform.deployment.workers;
        let mut finish_ms: HashMap<String, u64> = HashMap::new();
        for o in s.platform.deployment.objectives.iter().filter(|o| o.kind == "finished") {
            if let (Some(class), Some(within_s)) = (&o.class, o.within_s) {
                let ms = (within_s * 1000.0).max(0.0) as u64;
                let known = finish_ms.entry(class.clone()).or_insert(ms);
                *known = ms.min(*known);
            }
        }
        Params {
            finish_ms,
            lease_ms: (w.lease_s * 1000.0) as u64,
            report_ms: (w.report_s * 1000.0) as u64,
            grace_ms: s.grace_ms(),
            group_factor: s.operator.group_factor,
            fetch_gb_per_s: s.operator.fetch_gb_per_s,
            transfer_test: s.operator.transfer_test,
            teams: s.platform.deployment.teams.iter().map(TeamQuota::new).collect(),
        }
    }
}

/// Where an active task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Room is reserved; nothing was sent.
    Assigned,
    /// The start was sent.
    Sent,
    /// The worker fetches the image.
    Fetching,
    /// It runs.
    Running,
    /// It is being stopped, with time to save or without.
    Stopping {
        /// Whether it gets time to save.
        save: bool,
    },
}

/// A task that is or may be on a machine.
#[derive(Debug, Clone, Copy)]
pub struct TaskAttempt {
    machine: usize,
    attempt: u64,
    phase: Phase,
    since: u64,
    direct: bool,
    /// Its line in the start log is durable: before that it is not sent.
    logged: bool,
    /// The token under which the start was sent; 0: by an earlier epoch.
    token: u64,
    /// The stop was sent straight to the worker.
    stop_sent: bool,
    /// Its worker has listed it.
    shown: bool,
}

/// Everything that can happen to a task.
enum TaskEvent {
    Assign { machine: usize, attempt: u64 },
    Adopt { machine: usize, attempt: u64, phase: Phase },
    Log,
    Send { direct: bool, token: u64 },
    Show(Phase),
    Stop { save: bool },
    Gone,
    Finished,
}

/// A job at work.
pub struct Job {
    /// Its record.
    pub record: LiveRecord,
    version: u64,
    submitted: u64,
    team: Option<usize>,
    image: usize,
    class: usize,
    need: Amounts,
    types: Option<Vec<usize>>,
    zone: Option<usize>,
    /// Cancelled: only to be stopped.
    ended: bool,
    done: Vec<u8>,
    saved: Vec<u8>,
    done_n: u32,
    saved_n: u32,
    active: BTreeMap<u32, TaskAttempt>,
    cursor: u32,
    returned: BTreeSet<u32>,
    zone_use: HashMap<usize, u32>,
    running: u32,
    finished_n: u32,
    mean_ms: f64,
    failed_on: HashSet<usize>,
    failures: u32,
    not_before: u64,
    /// When a task of it last found a place, or it became known here.
    placed_at: u64,
    within: bool,
    /// How often each task was stopped to make room for others.
    displaced: BTreeMap<u32, u32>,
}

fn bit(bits: &[u8], i: u32) -> bool {
    bits.get(i as usize / 8).is_some_and(|b| b >> (i % 8) & 1 == 1)
}

fn set_bit(bits: &mut [u8], i: u32) -> bool {
    let b = &mut bits[i as usize / 8];
    let fresh = *b >> (i % 8) & 1 == 0;
    *b |= 1 << (i % 8);
    fresh
}

impl Job {
    fn tasks(&self) -> u32 {
        self.record.spec.tasks
    }

    /// Tasks that are neither done nor on a machine.
    pub fn pending(&self) -> u32 {
        if self.ended {
            return 0;
        }
        self.tasks() - self.done_n - self.active.len() as u32
    }

    /// Whether it fails wherever it is tried: submitted with a mistake, it goes on failing until its user cancels it.
    fn fails_everywhere(&self, now: u64) -> bool {
        self.failed_on.len() >= MISTAKEN && !self.proven(now)
    }

    /// Whether a task of it has finished or has run for a while, so that what fails is the machine's fault.
    fn proven(&self, now: u64) -> bool {
        let runs = |a: &TaskAttempt| a.phase == Phase::Running && now > a.since + PROOF_MS;
        self.done_n > 0 || self.active.values().any(runs)
    }

    /// Tasks that should find a place now: of a job that fails everywhere one at a time, so that it neither takes the room
    /// of others nor has machines rented.
    fn wanted(&self, now: u64) -> u32 {
        let pending = self.pending();
        if self.record.spec.kind != Kind::Gang && self.fails_everywhere(now) {
            return if self.active.is_empty() { pending.min(1) } else { 0 };
        }
        pending
    }

    fn next_pending(&mut self) -> Option<u32> {
        if let Some(t) = self.returned.pop_first() {
            return Some(t);
        }
        while self.cursor < self.tasks() {
            let t = self.cursor;
            self.cursor += 1;
            if !bit(&self.done, t) && !self.active.contains_key(&t) {
                return Some(t);
            }
        }
        None
    }

    /// Expected task time on a machine with c = 1, in seconds. A replica has none that could be shorter elsewhere: only
    /// when it can start counts. Taken for very long, a hundredth in c outweighed every transfer, and replicas waited for
    /// places on full machines while others had room.
    fn time_s(&self) -> f64 {
        match self.record.spec.kind {
            Kind::Service => 0.0,
            Kind::Array | Kind::Gang if self.finished_n > 0 => self.mean_ms / 1000.0,
            Kind::Array | Kind::Gang => self.record.spec.estimate_s.max(1.0),
        }
    }
}

/// Where a machine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Known from a rental; not heard in this epoch.
    Waiting,
    /// Takes tasks.
    Up,
    /// Takes no new tasks.
    Draining,
    /// To be released; nothing may be started there any more, since the call may execute late.
    Releasing,
}

/// What the cloud offers: machines of a type in a zone, spot or ordinary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    /// Index of the machine type.
    pub kind: usize,
    /// Index of the zone.
    pub zone: usize,
    /// Spot machines.
    pub spot: bool,
}

/// What a machine is, by the names of the cloud.
#[derive(Debug, Clone, Copy)]
pub struct Hardware<'a> {
    /// Machine type.
    pub machine_type: &'a str,
    /// Zone.
    pub zone: &'a str,
    /// Spot machine.
    pub spot: bool,
}

/// How a machine became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Rented just now.
    Rented,
    /// Unexpected, but known to be there.
    Found,
    /// From the store: rented in an earlier epoch, and perhaps released or taken since.
    Inherited,
}

/// A machine of the scheduler.
pub struct Machine {
    /// Name.
    pub name: String,
    /// State.
    pub state: MachineState,
    /// Type.
    pub kind: usize,
    /// Zone.
    pub zone: usize,
    /// Spot machine.
    pub spot: bool,
    /// When it became known here.
    pub since: u64,
    /// Since when nothing is there.
    pub idle_since: Option<u64>,
    address: String,
    room: Amounts,
    tasks: BTreeSet<(usize, u32)>,
    /// CPUs in use by services.
    service_cpus: u64,
    /// Tasks being stopped there.
    stopping: u32,
    counter: u64,
    last: (u64, u64),
    /// The newest that came as a report.
    last_live: (u64, u64),
    /// Reports under the current token have arrived.
    current: bool,
    /// When its last report, under whichever token, arrived.
    reported_at: Option<u64>,
    /// How it became known.
    origin: Origin,
    /// The cloud has listed it in this epoch.
    listed: bool,
    /// How long before `since` it was rented, as far as the cloud's list tells while it starts.
    rented_before_ms: u64,
    /// Known to be up: it has reported, holds tasks, or is listed as running.
    contacted: bool,
    /// When a report under the current token last arrived, or when it became known to be up. Reports under an older
    /// token do not count: they may come from a machine that nothing of ours reaches.
    last_heard: u64,
    last_answer: u64,
    /// When its present session became known here: it may have begun only just before, with its full lease.
    session_seen: u64,
    notice_at: Option<u64>,
    images: VecDeque<usize>,
    c: Capability,
    errors: Vec<usize>,
    /// Draining because of them.
    faulty: bool,
    not_before: u64,
    direct: bool,
    /// Direct starts were sent under its present token.
    direct_starts: bool,
    probe_at: u64,
    /// Draining only because there is more room than is needed.
    surplus: bool,
}

/// Direct orders to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Direct {
    /// Machine.
    pub machine: String,
    /// Worker's address.
    pub address: String,
    /// Token.
    pub token: u64,
    /// Session.
    pub session: u64,
    /// Commands.
    pub orders: Vec<Command>,
}

/// A durable write that the scheduler asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DoneChunk {
    /// Job.
    pub job: String,
    /// Version of its record.
    pub version: u64,
    /// Chunk.
    pub chunk: u32,
    /// Bits to be stored.
    pub bits: Vec<u8>,
}

/// How a report was taken.
#[derive(Debug, Clone, PartialEq)]
pub enum ReportOutcome {
    /// The answer.
    Reply(ReportReply),
    /// The worker has seen a later epoch.
    Superseded,
    /// No rental names the machine.
    UnregisteredMachine,
}

/// The state of a scheduler in one epoch.
pub struct Scheduler {
    p: Params,
    epoch: u64,
    now: u64,
    types: Vec<MachineType>,
    type_names: Names,
    zones: Names,
    images: Names,
    jobs: Vec<Option<Job>>,
    free_jobs: Vec<usize>,
    job_index: HashMap<String, usize>,
    machines: Vec<Option<Machine>>,
    machine_index: HashMap<String, usize>,
    team_use: Vec<[u64; 2]>,
    /// What of it is being stopped.
    team_ending: Vec<[u64; 2]>,
    attempts: u64,
    log: StartLog,
    /// Machines with starts or stops to be sent.
    outbox: BTreeSet<usize>,
    /// Machines that hold or are fetching an image.
    holders: HashMap<usize, BTreeSet<usize>>,
    /// Nothing is placed before.
    place_from: u64,
    /// The last tick.
    ticked: u64,
    /// When most of a zone was last quiet.
    out_at: HashMap<usize, u64>,
    /// Jobs, the oldest submission first.
    by_age: Vec<usize>,
    /// Finished ranges that are not stored yet, and since when.
    dirty: BTreeMap<(usize, u32), u64>,
    fetch_rate: HashMap<usize, f64>,
    boot_times: BootTimes,
    /// Production jobs that the last pass has left with tasks to place, in their order.
    urgent: Vec<usize>,
    changed: bool,
}

impl Machine {
    /// The offer that it was rented from.
    pub fn offer(&self) -> Offer {
        Offer { kind: self.kind, zone: self.zone, spot: self.spot }
    }
}

impl Scheduler {
    /// An empty scheduler of an epoch that began now.
    pub fn new(p: Params, epoch: u64, now: u64) -> Self {
        let teams = p.teams.len();
        Scheduler {
            p,
            epoch,
            now,
            types: Vec::new(),
            type_names: Names::default(),
            zones: Names::default(),
            images: Names::default(),
            jobs: Vec::new(),
            free_jobs: Vec::new(),
            job_index: HashMap::new(),
            machines: Vec::new(),
            machine_index: HashMap::new(),
            team_use: vec![[0; 2]; teams],
            team_ending: vec![[0; 2]; teams],
            attempts: 0,
            log: StartLog::default(),
            outbox: BTreeSet::new(),
            holders: HashMap::new(),
            place_from: 0,
            ticked: 0,
            out_at: HashMap::new(),
            by_age: Vec::new(),
            dirty: BTreeMap::new(),
            fetch_rate: HashMap::new(),
            boot_times: BootTimes::default(),
            urgent: Vec::new(),
            changed: true,
        }
    }

    /// Moves the clock.
    pub fn at(&mut self, now: u64) {
        self.now = self.now.max(now);
    }

    /// Takes in the machine types.
    pub fn set_types(&mut self, types: &[MachineType]) {
        for t in types {
            let i = self.type_names.add(&t.name);
            if i == self.types.len() {
                self.types.push(t.clone());
            } else {
                self.types[i] = t.clone();
            }
            t.zones.iter().for_each(|z| {
                self.zones.add(z);
            });
        }
        self.changed = true;
    }

    /// The machine types by index.
    pub fn types(&self) -> &[MachineType] {
        &self.types
    }

    /// A zone's index.
    pub fn zone_index(&self, name: &str) -> Option<usize> {
        self.zones.get(name)
    }

    /// A zone's name.
    pub fn zone_name(&self, zone: usize) -> &str {
        self.zones.name(zone)
    }

    /// Machines present, with their index.
    pub fn machines(&self) -> impl Iterator<Item = (usize, &Machine)> {
        self.machines.iter().enumerate().filter_map(|(i, m)| Some((i, m.as_ref()?)))
    }

    /// A machine's index.
    pub fn index(&self, machine: &str) -> Option<usize> {
        self.machine_index.get(machine).copied()
    }

    /// Whether a machine is known.
    pub fn knows(&self, machine: &str) -> bool {
        self.machine_index.contains_key(machine)
    }

    /// Whether a job is at work or being stopped here.
    pub fn has_job(&self, job: &str) -> bool {
        self.job_index.contains_key(job)
    }

    /// Jobs at work.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.iter().flatten()
    }

    fn machine(&self, i: usize) -> &Machine {
        self.machines[i].as_ref().expect("indices of machines are only kept while the machine is present")
    }

    fn machine_mut(&mut self, i: usize) -> &mut Machine {
        self.machines[i].as_mut().expect("indices of machines are only kept while the machine is present")
    }

    fn job(&self, i: usize) -> &Job {
        self.jobs[i].as_ref().expect("indices of jobs are only kept while the job is present")
    }

    fn job_mut(&mut self, i: usize) -> &mut Job {
        self.jobs[i].as_mut().expect("indices of jobs are only kept while the job is present")
    }

    /// A job's done and running tasks, for display.
    pub fn counts(&self, job: &str) -> Option<(u32, u32)> {
        let j = self.job(*self.job_index.get(job)?);
        Some((j.done_n, j.running))
    }

    /// Counts of every job, for the other nodes.
    pub fn all_counts(&self) -> Vec<(String, u32, u32)> {
        self.jobs().map(|j| (j.record.spec.id.clone(), j.done_n, j.running)).collect()
    }

    fn token(&self, m: &Machine) -> u64 {
        first_token(self.epoch) + m.counter
    }

    // ---- jobs ----

    /// Takes in a job. `done` holds its stored ranges; `wall_ms` is the time of day now; `ended`: it was cancelled, and
    /// only what runs of it matters.
    pub fn add_job(&mut self, record: LiveRecord, version: u64, done: &[(u32, Vec<u8>)], wall_ms: u64, ended: bool) {
        let spec = &record.spec;
        if let Some(&i) = self.job_index.get(&spec.id) {
            if ended {
                self.end_job(i);
            }
            return;
        }
        let typical = self.types.iter().fold([1; 3], |a, t| {
            let b = amounts(t.cpus, t.gpus, t.memory_gb);
            std::array::from_fn(|i| a[i].max(b[i]))
        });
        let need = amounts(spec.cpus, spec.gpus, spec.memory_gb);
        let bytes = (spec.tasks as usize).div_ceil(8);
        let mut bits = vec![0u8; bytes];
        let mut done_n = 0;
        for (chunk, stored) in done {
            let from = (*chunk as usize).saturating_mul(CHUNK as usize);
            for i in (0..CHUNK).filter(|i| bit(stored, *i)) {
                let t = from + i as usize;
                if t < spec.tasks as usize && set_bit(&mut bits, t as u32) {
                    done_n += 1;
                }
            }
        }
        let age = wall_ms.saturating_sub(record.at_ms);
        let job = Job {
            team: self.p.teams.iter().position(|t| t.name == spec.team),
            image: self.images.add(&spec.image),
            class: placement::class_of(need, typical),
            need,
            types: spec
                .types
                .as_ref()
                .map(|l| l.iter().map(|t| self.type_names.get(t).unwrap_or(usize::MAX)).collect()),
            zone: spec.zone.as_ref().map(|z| self.zones.add(z)),
            ended: false,
            saved: bits.clone(),
            done: bits,
            done_n,
            saved_n: done_n,
            active: BTreeMap::new(),
            cursor: 0,
            returned: BTreeSet::new(),
            zone_use: HashMap::new(),
            running: 0,
            finished_n: 0,
            mean_ms: 0.0,
            failed_on: HashSet::new(),
            failures: 0,
            not_before: 0,
            placed_at: self.now,
            within: false,
            displaced: BTreeMap::new(),
            submitted: self.now.saturating_sub(age),
            version,
            record,
        };
        let id = job.record.spec.id.clone();
        let i = self.free_jobs.pop().unwrap_or_else(|| {
            self.jobs.push(None);
            self.jobs.len() - 1
        });
        let submitted = job.submitted;
        self.jobs[i] = Some(job);
        let at = self.by_age.partition_point(|k| self.job(*k).submitted <= submitted);
        self.by_age.insert(at, i);
        self.job_index.insert(id, i);
        if ended {
            self.end_job(i);
        }
        self.changed = true;
    }

    /// A job is no longer unfinished: what runs of it is stopped, and counts until it is proven gone.
    pub fn drop_job(&mut self, id: &str) {
        if let Some(&i) = self.job_index.get(id) {
            self.end_job(i);
        }
    }

    fn end_job(&mut self, i: usize) {
        self.job_mut(i).ended = true;
        for t in self.job(i).active.keys().copied().collect::<Vec<_>>() {
            self.apply(i, t, TaskEvent::Stop { save: false });
        }
        self.changed = true;
    }

    /// Cancelled jobs of which nothing can run any more. Those still listed in the store may be dropped there.
    pub fn stopped_jobs(&mut self) -> Vec<String> {
        let over: Vec<usize> = (0..self.jobs.len())
            .filter(|&i| self.jobs[i].as_ref().is_some_and(|j| j.ended && j.active.is_empty()))
            .collect();
        over.into_iter()
            .filter_map(|i| {
                self.by_age.retain(|k| *k != i);
                self.urgent.retain(|k| *k != i);
                let job = self.jobs[i].take()?;
                self.free_jobs.push(i);
                self.dirty.retain(|(j, _), _| *j != i);
                self.machines.iter_mut().flatten().for_each(|m| m.errors.retain(|e| *e != i));
                self.job_index.remove(&job.record.spec.id);
                Some(job.record.spec.id)
            })
            .collect()
    }

    /// Jobs whose every task is done, with the version of their record.
    pub fn complete_jobs(&self) -> Vec<(String, u64, u32)> {
        self.jobs()
            .filter(|j| !j.ended && j.done_n == j.tasks())
            .map(|j| (j.record.spec.id.clone(), j.version, j.tasks()))
            .collect()
    }

    /// Finished ranges that are not stored yet, up to `most`, the oldest first.
    pub fn unsaved(&self, most: usize) -> Vec<DoneChunk> {
        let mut oldest: Vec<_> = self.dirty.iter().map(|(k, since)| (*since, *k)).collect();
        oldest.sort_unstable();
        let rows = oldest.into_iter().filter_map(|(_, (i, chunk))| {
            let j = self.jobs[i].as_ref().filter(|j| !j.ended && j.done_n < j.tasks())?;
            let from = (chunk * CHUNK) as usize / 8;
            let to = (from + CHUNK as usize / 8).min(j.done.len());
            let bits = j.done[from..to].to_vec();
            Some(DoneChunk { job: j.record.spec.id.clone(), version: j.version, chunk, bits })
        });
        rows.take(most).collect()
    }

    /// A range is durable.
    pub fn saved(&mut self, row: &DoneChunk) {
        let Some(&i) = self.job_index.get(&row.job) else { return };
        let from = row.chunk * CHUNK;
        let job = self.job_mut(i);
        for n in (0..row.bits.len() as u32 * 8).filter(|n| bit(&row.bits, *n)) {
            if from + n < job.tasks() && set_bit(&mut job.saved, from + n) {
                job.saved_n += 1;
            }
        }
        let (a, b) = ((from / 8) as usize, ((from + CHUNK) as usize / 8).min(job.done.len()));
        let all = job.done[a..b] == job.saved[a..b];
        // What has finished meanwhile takes its turn behind the others.
        let now = self.now;
        match all {
            true => self.dirty.remove(&(i, row.chunk)),
            false => self.dirty.insert((i, row.chunk), now),
        };
    }

    // ---- the one function for every change of a task ----

    fn apply(&mut self, j: usize, t: u32, apply: TaskEvent) {
        let now = self.now;
        let old = self.job(j).active.get(&t).copied();
        let next = match (apply, old) {
            (TaskEvent::Assign { machine, attempt }, None) => Some(TaskAttempt {
                machine,
                attempt,
                phase: Phase::Assigned,
                since: now,
                direct: false,
                logged: false,
                token: 0,
                stop_sent: false,
                shown: false,
            }),
            (TaskEvent::Adopt { machine, attempt, phase }, None) => Some(TaskAttempt {
                machine,
                attempt,
                phase,
                since: now,
                direct: false,
                logged: true,
                token: 0,
                stop_sent: false,
                shown: phase != Phase::Sent,
            }),
            (TaskEvent::Log, Some(a)) if a.phase == Phase::Assigned => Some(TaskAttempt { logged: true, ..a }),
            (TaskEvent::Send { direct, token }, Some(a)) if a.phase == Phase::Assigned && a.logged => {
                Some(TaskAttempt { phase: Phase::Sent, since: now, direct, token, ..a })
            }
            (TaskEvent::Show(phase), Some(a)) if a.phase != phase && a.phase != Phase::Assigned => {
                if matches!(a.phase, Phase::Stopping { .. }) {
                    return;
                }
                Some(TaskAttempt { phase, since: now, ..a })
            }
            // Never sent, so it cannot be anywhere.
            (TaskEvent::Stop { .. }, Some(a)) if a.phase == Phase::Assigned => None,
            (TaskEvent::Stop { save }, Some(a)) => match a.phase {
                Phase::Stopping { save: false } => return,
                Phase::Stopping { save: true } if save => return,
                _ => Some(TaskAttempt { phase: Phase::Stopping { save }, since: now, stop_sent: false, ..a }),
            },
            (TaskEvent::Gone | TaskEvent::Finished, Some(_)) => None,
            _ => return,
        };
        let job = self.jobs[j].as_mut().expect("a task that changes belongs to a present job");
        match (old, next) {
            (None, Some(n)) => {
                job.placed_at = now;
                job.active.insert(t, n);
                self.account(j, t, n.machine, true);
            }
            (Some(o), None) => {
                job.active.remove(&t);
                if !bit(&job.done, t) {
                    job.returned.insert(t);
                }
                self.account(j, t, o.machine, false);
            }
            (Some(_), Some(n)) => {
                job.active.insert(t, n);
            }
            (None, None) => {}
        }
        if let (Some(_), None) = (old, next) {
            // A gang that has lost a task is stopped, to start again as a whole.
            let job = self.job(j);
            if job.record.spec.kind == Kind::Gang && !bit(&job.done, t) {
                for other in job.active.keys().copied().collect::<Vec<_>>() {
                    self.apply(j, other, TaskEvent::Stop { save: self.job(j).record.spec.checkpoint_s > 0.0 });
                }
            }
        }
        let runs =
            |a: Option<TaskAttempt>| a.is_some_and(|a| matches!(a.phase, Phase::Running | Phase::Stopping { .. }));
        let stops = |a: Option<TaskAttempt>| a.is_some_and(|a| matches!(a.phase, Phase::Stopping { .. }));
        let job = self.job_mut(j);
        job.running = job.running + runs(next) as u32 - runs(old) as u32;
        let need = job.need;
        if let Some(team) = job.team.filter(|_| stops(next) != stops(old)) {
            let e = &mut self.team_ending[team];
            *e = std::array::from_fn(|r| if stops(next) { e[r] + need[r] } else { e[r] - need[r] });
        }
        let Some(at) = next.or(old).map(|a| a.machine) else { return };
        let m = self.machine_mut(at);
        m.stopping = m.stopping + stops(next) as u32 - stops(old) as u32;
        match next {
            Some(a) if a.phase == Phase::Assigned && !a.logged => self.log.wants(j, t, at, a.attempt),
            Some(a) if a.phase == Phase::Assigned || (stops(next) && !a.stop_sent) => {
                self.outbox.insert(at);
            }
            // Only room that has come free can let something else be placed.
            None => self.changed = true,
            _ => {}
        }
    }

    fn account(&mut self, j: usize, t: u32, machine: usize, enter: bool) {
        let job = self.jobs[j].as_mut().expect("accounted tasks belong to a present job");
        let m = self.machines[machine].as_mut().expect("accounted tasks are on a present machine");
        let zone = job.zone_use.entry(m.zone).or_default();
        let team = job.team.map(|t| &mut self.team_use[t]);
        if enter {
            m.tasks.insert((j, t));
            m.service_cpus += if job.record.spec.kind == Kind::Service { job.need[0] } else { 0 };
            m.room = less(&m.room, &job.need, 1);
            *zone += 1;
            if let Some(u) = team {
                *u = [u[0] + job.need[0], u[1] + job.need[1]];
            }
            m.idle_since = None;
        } else {
            m.tasks.remove(&(j, t));
            m.service_cpus -= if job.record.spec.kind == Kind::Service { job.need[0] } else { 0 };
            *zone -= 1;
            if let Some(u) = team {
                *u = [u[0] - job.need[0], u[1] - job.need[1]];
            }
            m.room = self.types.get(m.kind).map_or([0; 3], |t| {
                let all = [t.cpus, t.gpus, t.memory_gb].map(|x| (x * 1000.0) as u64);
                m.tasks.iter().filter_map(|(j, _)| self.jobs[*j].as_ref()).fold(all, |r, j| less(&r, &j.need, 1))
            });
            if m.tasks.is_empty() {
                m.idle_since = Some(self.now);
            }
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
