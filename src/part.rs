//! A part: a set of machines and what runs there. Pure logic: events in, actions out, no I/O and no clock.
//!
//! The invariant that everything here serves: a task may be on a machine until it is proven gone, and until then it is
//! started nowhere else and counts for its team's quota and its zone.

use crate::placement::{self, Ask, Candidate, Capability};
use crate::protocol::{split_task, Kind, MachineType, Order, Priority, Report, ReportReply, TaskState, Why};
use crate::store::{LiveRecord, CHUNK};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

/// A bound on how wrong steady clocks run, doubled for safety, and a margin for the rest, in milliseconds.
const LEASE_MARGIN_MS: u64 = 500;
/// Most orders in one answer: keeps answers far below their limit.
const ORDERS: usize = 300;
/// Bits of a token below the epoch.
const TOKEN_BITS: u32 = 24;

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

/// Fixed numbers of a part, from the settings.
#[derive(Debug, Clone)]
pub struct Params {
    /// Lease of the workers.
    pub lease_ms: u64,
    /// Time between reports.
    pub report_ms: u64,
    /// How long an earlier leader may have renewed leases after its hold.
    pub ride_ms: u64,
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
            ride_ms: s.ride_ms(),
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
pub struct Active {
    machine: usize,
    attempt: u64,
    phase: Phase,
    since: u64,
    direct: bool,
    /// The stop was sent straight to the worker.
    told: bool,
    /// Its worker has listed it.
    shown: bool,
}

/// Everything that can happen to a task.
enum Step {
    Assign { machine: usize, attempt: u64 },
    Adopt { machine: usize, attempt: u64, phase: Phase },
    Send { direct: bool },
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
    /// Its tasks may be on machines from before this epoch.
    old: bool,
    /// Cancelled: only to be stopped.
    ended: bool,
    done: Vec<u8>,
    saved: Vec<u8>,
    done_n: u32,
    saved_n: u32,
    active: BTreeMap<u32, Active>,
    cursor: u32,
    returned: BTreeSet<u32>,
    zone_use: HashMap<usize, u32>,
    running: u32,
    finished_n: u32,
    mean_ms: f64,
    failed_on: HashSet<usize>,
    failures: u32,
    not_before: u64,
    within: bool,
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
        self.unlocated()
    }

    fn unlocated(&self) -> u32 {
        self.tasks() - self.done_n - self.active.len() as u32
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

    /// Expected task time on a machine with c = 1, in seconds; a service's never ends.
    fn time_s(&self) -> f64 {
        match self.record.spec.kind {
            Kind::Service => 1e6,
            Kind::Array | Kind::Gang if self.finished_n > 0 => self.mean_ms / 1000.0,
            Kind::Array | Kind::Gang => self.record.spec.estimate_s.max(1.0),
        }
    }
}

/// Where a machine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Known from a hire; not heard in this epoch.
    Waiting,
    /// Takes tasks.
    Up,
    /// Takes no new tasks.
    Draining,
    /// To be released; nothing may be started there any more, since the call may execute late.
    Releasing,
}

/// A machine of the part.
pub struct Machine {
    /// Name.
    pub name: String,
    /// Its hire.
    pub hire: String,
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
    counter: u64,
    last: (u64, u64),
    /// Reports under the current token have arrived.
    current: bool,
    /// May hold tasks from before this epoch.
    inherited: bool,
    /// The store knows that it is up: before that nothing is started there, so that an heir may rely on it.
    recorded: bool,
    last_heard: u64,
    last_answer: u64,
    notice_at: Option<u64>,
    images: VecDeque<usize>,
    c: Capability,
    errors: Vec<usize>,
    not_before: u64,
    direct: bool,
    probe_at: u64,
    /// Draining only because there is more room than is needed.
    surplus: bool,
}

/// How much of a machine is used, for the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Index.
    pub machine: usize,
    /// Type.
    pub kind: usize,
    /// Zone.
    pub zone: usize,
    /// Spot machine.
    pub spot: bool,
    /// Since when it is known.
    pub since: u64,
    /// All its CPUs.
    pub cpus: u64,
    /// CPUs in use.
    pub used: u64,
    /// CPUs in use by services.
    pub services: u64,
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
    pub orders: Vec<Order>,
}

/// Tasks for which no room is in sight.
#[derive(Debug, Clone)]
pub struct Need {
    /// What one takes.
    pub need: Amounts,
    /// How many.
    pub tasks: u32,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Allowed types.
    pub types: Option<Vec<usize>>,
    /// Allowed zones; none: any.
    pub zones: Option<Vec<usize>>,
    /// A service's tasks never end.
    pub service: bool,
}

/// A durable write that the part asks for.
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
pub enum Taken {
    /// The answer.
    Reply(ReportReply),
    /// The worker has seen a later epoch.
    Superseded,
    /// The machine is in no hire.
    Stranger,
}

/// The state of a part in one epoch.
pub struct Part {
    p: Params,
    epoch: u64,
    epoch_version: u64,
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
    team_maybe: Vec<[u64; 2]>,
    attempts: u64,
    dirty: BTreeSet<(usize, u32)>,
    fetch_rate: HashMap<usize, f64>,
    /// In one pass of placing: places on full holders that tasks wait for.
    waited: HashMap<usize, u32>,
    changed: bool,
}

impl Part {
    /// An empty part of an epoch that began now.
    pub fn new(p: Params, epoch: u64, epoch_version: u64, now: u64) -> Self {
        let teams = p.teams.len();
        Part {
            p,
            epoch,
            epoch_version,
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
            team_maybe: vec![[0; 2]; teams],
            attempts: 0,
            dirty: BTreeSet::new(),
            fetch_rate: HashMap::new(),
            waited: HashMap::new(),
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
        (self.epoch << TOKEN_BITS) + m.counter
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
            // A job accepted after this epoch's record cannot have been seen by an earlier leader with a right to
            // start: that right ended with the hold whose end made room for this epoch.
            old: version <= self.epoch_version,
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
            within: false,
            submitted: self.now.saturating_sub(age),
            version,
            record,
        };
        let id = job.record.spec.id.clone();
        let i = self.free_jobs.pop().unwrap_or_else(|| {
            self.jobs.push(None);
            self.jobs.len() - 1
        });
        self.jobs[i] = Some(job);
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
            self.step(i, t, Step::Stop { save: false });
        }
        self.changed = true;
    }

    /// Cancelled jobs of which nothing can run any more. Those still listed in the store may be dropped there.
    pub fn stopped_jobs(&mut self) -> Vec<String> {
        let unsettled = self.unsettled() > 0;
        let over: Vec<usize> = (0..self.jobs.len())
            .filter(|&i| self.jobs[i].as_ref().is_some_and(|j| j.ended && j.active.is_empty() && !(j.old && unsettled)))
            .collect();
        over.into_iter()
            .filter_map(|i| {
                let job = self.jobs[i].take()?;
                self.free_jobs.push(i);
                self.dirty.retain(|(j, _)| *j != i);
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

    /// Finished ranges that are not stored yet, up to `most`.
    pub fn unsaved(&self, most: usize) -> Vec<DoneChunk> {
        let rows = self.dirty.iter().filter_map(|&(i, chunk)| {
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
        if job.done[a..b] == job.saved[a..b] {
            self.dirty.remove(&(i, row.chunk));
        }
    }

    // ---- machines ----

    /// Takes in a machine that the store records. `address`: it was up before this epoch, so that tasks may be
    /// there, and its lease counts from the last moment at which an earlier leader could have answered it.
    pub fn add_machine(&mut self, name: &str, hire: &str, of: (&str, &str, bool), address: Option<&str>) {
        let inherited = address.is_some();
        if self.knows(name) {
            return;
        }
        let kind = self.type_names.get(of.0).unwrap_or(usize::MAX);
        let room = self.types.get(kind).map_or([0; 3], |t| [t.cpus, t.gpus, t.memory_gb].map(|x| (x * 1000.0) as u64));
        let zone = self.zones.add(of.1);
        let machine = Machine {
            name: name.to_string(),
            hire: hire.to_string(),
            state: MachineState::Waiting,
            kind,
            zone,
            spot: of.2,
            since: self.now,
            idle_since: None,
            address: address.unwrap_or_default().to_string(),
            room,
            tasks: BTreeSet::new(),
            counter: 0,
            last: (0, 0),
            current: false,
            inherited,
            recorded: inherited,
            last_heard: self.now,
            last_answer: self.now + if inherited { self.p.ride_ms + self.p.ride_ms / 500 } else { 0 },
            notice_at: None,
            images: VecDeque::new(),
            c: Capability::default(),
            errors: Vec::new(),
            not_before: 0,
            direct: false,
            probe_at: 0,
            surplus: false,
        };
        self.machines.push(Some(machine));
        self.machine_index.insert(name.to_string(), self.machines.len() - 1);
        self.changed = true;
    }

    /// The one place where a machine's state changes.
    pub fn enter(&mut self, i: usize, next: MachineState, why: &str) {
        let m = self.machine_mut(i);
        // A release may have been sent: it may execute at any later time, so there is no way back.
        if m.state == next || m.state == MachineState::Releasing {
            return;
        }
        tracing::info!(machine = %m.name, from = ?m.state, to = ?next, why, "machine");
        m.state = next;
        if next != MachineState::Up {
            let unsent: Vec<_> = self.machine(i).tasks.iter().copied().collect();
            for (j, t) in unsent {
                if self.job(j).active.get(&t).is_some_and(|a| a.phase == Phase::Assigned) {
                    self.step(j, t, Step::Gone);
                }
            }
        }
        self.changed = true;
    }

    /// The cloud has confirmed that a machine is gone, and everything on it.
    pub fn machine_gone(&mut self, name: &str) {
        let Some(i) = self.machine_index.remove(name) else { return };
        for (j, t) in self.machine(i).tasks.clone() {
            self.step(j, t, Step::Gone);
        }
        self.machines[i] = None;
        self.jobs.iter_mut().flatten().for_each(|j| {
            j.failed_on.remove(&i);
        });
        self.changed = true;
    }

    /// Machines that have reported but are not recorded as up: name, hire, address.
    pub fn unrecorded(&self) -> Vec<(String, String, String)> {
        let fresh = self.machines().filter(|(_, m)| m.state == MachineState::Up && !m.recorded);
        fresh.map(|(_, m)| (m.name.clone(), m.hire.clone(), m.address.clone())).collect()
    }

    /// A machine is recorded as up.
    pub fn recorded(&mut self, machine: &str) {
        if let Some(&i) = self.machine_index.get(machine) {
            self.machine_mut(i).recorded = true;
            self.changed = true;
        }
    }

    /// Machines that may hold tasks from before this epoch and were neither heard nor outwaited nor released.
    pub fn unsettled(&self) -> usize {
        self.machines().filter(|(_, m)| m.inherited).count()
    }

    /// Whether a machine should have been up long ago.
    pub fn overdue(&self, m: &Machine, times: f64) -> bool {
        let boot = self.types.get(m.kind).map_or(60.0, |t| t.boot_s);
        m.state == MachineState::Waiting && self.now > m.since + ((boot * times + 10.0) * 1000.0) as u64
    }

    fn lease_over(&self, m: &Machine) -> bool {
        self.now > m.last_answer + self.p.lease_ms + self.p.lease_ms / 500 + LEASE_MARGIN_MS
    }

    /// Machines from which nothing has been heard for a time, and how many there are to hear from.
    pub fn silent(&self, for_ms: u64) -> (Vec<usize>, usize) {
        // Also those that direct orders did not reach: they are not current, and were once never missed.
        let expected = |m: &Machine| m.inherited || m.state != MachineState::Waiting;
        let all = self.machines().filter(|(_, m)| expected(m)).count();
        let quiet = self.machines().filter(|(_, m)| expected(m) && self.now > m.last_heard + for_ms);
        (quiet.map(|(i, _)| i).collect(), all)
    }

    // ---- the one function for every change of a task ----

    fn step(&mut self, j: usize, t: u32, step: Step) {
        let now = self.now;
        let old = self.job(j).active.get(&t).copied();
        let next = match (step, old) {
            (Step::Assign { machine, attempt }, None) => Some(Active {
                machine,
                attempt,
                phase: Phase::Assigned,
                since: now,
                direct: false,
                told: false,
                shown: false,
            }),
            (Step::Adopt { machine, attempt, phase }, None) => {
                Some(Active { machine, attempt, phase, since: now, direct: false, told: false, shown: true })
            }
            (Step::Send { direct }, Some(a)) if a.phase == Phase::Assigned => {
                Some(Active { phase: Phase::Sent, since: now, direct, ..a })
            }
            (Step::Show(phase), Some(a)) if a.phase != phase && a.phase != Phase::Assigned => {
                if matches!(a.phase, Phase::Stopping { .. }) {
                    return;
                }
                Some(Active { phase, since: now, ..a })
            }
            // Never sent, so it cannot be anywhere.
            (Step::Stop { .. }, Some(a)) if a.phase == Phase::Assigned => None,
            (Step::Stop { save }, Some(a)) => match a.phase {
                Phase::Stopping { save: false } => return,
                Phase::Stopping { save: true } if save => return,
                _ => Some(Active { phase: Phase::Stopping { save }, since: now, told: false, ..a }),
            },
            (Step::Gone | Step::Finished, Some(_)) => None,
            _ => return,
        };
        let job = self.jobs[j].as_mut().expect("a task that changes belongs to a present job");
        match (old, next) {
            (None, Some(n)) => {
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
                    self.step(j, other, Step::Stop { save: self.job(j).record.spec.checkpoint_s > 0.0 });
                }
            }
        }
        let runs = |a: Option<Active>| a.is_some_and(|a| matches!(a.phase, Phase::Running | Phase::Stopping { .. }));
        let job = self.job_mut(j);
        job.running = job.running + runs(next) as u32 - runs(old) as u32;
        self.changed = true;
    }

    fn account(&mut self, j: usize, t: u32, machine: usize, enter: bool) {
        let job = self.jobs[j].as_mut().expect("accounted tasks belong to a present job");
        let m = self.machines[machine].as_mut().expect("accounted tasks are on a present machine");
        let zone = job.zone_use.entry(m.zone).or_default();
        let team = job.team.map(|t| &mut self.team_use[t]);
        if enter {
            m.tasks.insert((j, t));
            m.room = less(&m.room, &job.need, 1);
            *zone += 1;
            if let Some(u) = team {
                *u = [u[0] + job.need[0], u[1] + job.need[1]];
            }
            m.idle_since = None;
        } else {
            m.tasks.remove(&(j, t));
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

    // ---- reports ----

    /// Takes in a report. `live`: it arrived as a report, so the answer renews the lease; otherwise it is the answer to
    /// a direct order. `start`: the node has the right to start tasks.
    pub fn report(&mut self, r: &Report, live: bool, start: bool) -> Taken {
        if r.token >> TOKEN_BITS > self.epoch {
            return Taken::Superseded;
        }
        let Some(&i) = self.machine_index.get(&r.machine) else { return Taken::Stranger };
        let now = self.now;
        let token = self.token(self.machine(i));
        let m = self.machine_mut(i);
        if live {
            m.last_answer = m.last_answer.max(now);
        }
        // Held back by the network, an old report is as old as its task list.
        if (r.session, r.seq) <= m.last || r.token > token {
            return Taken::Reply(ReportReply { token, orders: Vec::new() });
        }
        m.last = (r.session, r.seq);
        m.last_heard = now;
        m.address = r.address.clone();
        m.notice_at = r.notice_s.map(|s| now + (s * 1000.0) as u64);
        let mut orders = Vec::new();
        if r.token == token {
            m.current = true;
            m.inherited = false;
            // Also a report that changes nothing brings time: machines heard again, jobs that have backed off.
            self.changed = true;
            let m = self.machine_mut(i);
            if m.state == MachineState::Waiting {
                m.idle_since = Some(now);
                self.enter(i, MachineState::Up, "reported");
            }
            self.reconcile(i, r, live, &mut orders);
            if start {
                self.place();
                self.collect_starts(i, false, &mut orders);
            }
        }
        orders.truncate(ORDERS);
        Taken::Reply(ReportReply { token, orders })
    }

    /// The report is the newest under the current token: it is the truth about its machine, but for starts on their way:
    /// direct ones whose answer is still out, and, where the report is the answer to direct orders (not `live`), those in
    /// the response to a report, which the worker may not have received yet. Only its next report tells of these, since
    /// it has one in flight at a time. (A direct stop that overtook such a start once made tasks run twice.)
    fn reconcile(&mut self, i: usize, r: &Report, live: bool, orders: &mut Vec<Order>) {
        let mut listed = HashSet::new();
        for line in &r.tasks {
            let found = split_task(&line.task).and_then(|(job, t)| Some((*self.job_index.get(job)?, t)));
            let known = found.filter(|(j, t)| *t < self.job(*j).tasks());
            let name = || line.task.clone();
            let Some((j, t)) = known else {
                orders.push(match line.state {
                    TaskState::Exited => Order::Forget { task: name(), attempt: line.attempt },
                    _ => Order::Stop { task: name(), attempt: line.attempt, grace_s: 0.0 },
                });
                continue;
            };
            let here =
                |p: &Self| p.job(j).active.get(&t).copied().filter(|a| a.machine == i && a.attempt == line.attempt);
            if line.state == TaskState::Exited {
                if here(self).is_some_and(|a| a.phase == Phase::Assigned) {
                    continue;
                }
                let attempt = here(self);
                if attempt.is_some() {
                    listed.insert((j, t));
                }
                if self.exited(i, j, t, line.why, attempt) {
                    orders.push(Order::Forget { task: name(), attempt: line.attempt });
                }
                continue;
            }
            let early = matches!(line.state, TaskState::Fetching | TaskState::Gathering);
            let phase = if early { Phase::Fetching } else { Phase::Running };
            let job = self.job(j);
            if !job.active.contains_key(&t) && !bit(&job.done, t) {
                self.step(j, t, Step::Adopt { machine: i, attempt: line.attempt, phase });
                if self.job(j).ended {
                    self.step(j, t, Step::Stop { save: false });
                }
            }
            let Some(a) = here(self) else {
                orders.push(Order::Stop { task: name(), attempt: line.attempt, grace_s: 0.0 });
                continue;
            };
            listed.insert((j, t));
            if let Some(a) = self.job_mut(j).active.get_mut(&t) {
                a.shown = true;
            }
            if let Phase::Stopping { save } = a.phase {
                if !(save && line.state == TaskState::Saving) {
                    let grace_s = if save { self.job(j).record.spec.save_s } else { 0.0 };
                    orders.push(Order::Stop { task: name(), attempt: line.attempt, grace_s });
                }
                continue;
            }
            self.show(i, j, t, a, phase);
        }
        let m = self.machine(i);
        let absent: Vec<_> = m.tasks.iter().copied().filter(|k| !listed.contains(k)).collect();
        let out = m.direct;
        for (j, t) in absent {
            let Some(a) = self.job(j).active.get(&t).copied() else { continue };
            let under_way = !a.shown && if a.direct { out } else { !live };
            if a.phase != Phase::Assigned && !under_way {
                tracing::info!(job = %self.job(j).record.spec.id, task = t, machine = %self.machine(i).name, "task gone");
                self.step(j, t, Step::Gone);
            }
        }
    }

    /// A live task's state as its worker tells it.
    fn show(&mut self, i: usize, j: usize, t: u32, a: Active, phase: Phase) {
        let image = self.job(j).image;
        if phase == Phase::Running && a.phase != Phase::Running {
            let size = self.job(j).record.spec.image_gb;
            let took = self.now.saturating_sub(a.since) as f64 / 1000.0;
            if a.phase == Phase::Fetching && took > 0.5 && size > 0.0 {
                let kind = self.machine(i).kind;
                let first = self.types.get(kind).map_or(self.p.fetch_gb_per_s, |_| self.p.fetch_gb_per_s);
                let rate = self.fetch_rate.entry(kind).or_insert(first);
                *rate += 0.1 * (size / took - *rate);
            }
        }
        if a.phase != phase {
            let (job, machine) = (self.job(j), self.machine(i));
            let age_ms = self.now.saturating_sub(job.submitted);
            let held = machine.images.contains(&image);
            tracing::info!(job = %job.record.spec.id, task = t, machine = %machine.name, ?phase, held, age_ms, "task");
        }
        self.hold_image(i, image);
        self.step(j, t, Step::Show(phase));
    }

    /// Remembers which images a machine holds, the latest used last.
    fn hold_image(&mut self, i: usize, image: usize) {
        let m = self.machine_mut(i);
        if m.images.back() == Some(&image) {
            return;
        }
        m.images.retain(|x| *x != image);
        m.images.push_back(image);
        while m.images.len() > 24 {
            m.images.pop_front();
        }
    }

    /// A task has ended on a machine. True if its line may be forgotten.
    fn exited(&mut self, i: usize, j: usize, t: u32, why: Option<Why>, active: Option<Active>) -> bool {
        let job = self.job(j);
        if why == Some(Why::Done) && job.record.spec.kind != Kind::Service && !job.ended {
            if !bit(&job.done, t) {
                if job.active.contains_key(&t) && active.is_none() {
                    // The same task is at work elsewhere; this result is kept until that has ended.
                    return false;
                }
                self.finish(i, j, t, active);
            }
            return bit(&self.job(j).saved, t);
        }
        let Some(a) = active else { return true };
        self.step(j, t, Step::Gone);
        if matches!(a.phase, Phase::Stopping { .. }) {
            return true;
        }
        let now = self.now;
        match why {
            Some(Why::Error) => self.failed(i, j),
            Some(Why::NoRoom) => self.machine_mut(i).not_before = now + 3000,
            Some(Why::Unknown) => self.job_mut(j).not_before = now + 2000,
            _ => {}
        }
        true
    }

    fn finish(&mut self, i: usize, j: usize, t: u32, active: Option<Active>) {
        let now = self.now;
        let job = self.job_mut(j);
        set_bit(&mut job.done, t);
        job.done_n += 1;
        job.returned.remove(&t);
        job.failures = 0;
        self.dirty.insert((j, t / CHUNK));
        if let Some(a) = active {
            if a.phase == Phase::Running {
                let took = now.saturating_sub(a.since) as f64;
                let job = self.job_mut(j);
                job.finished_n += 1;
                job.mean_ms += (took - job.mean_ms) / job.finished_n as f64;
                let (class, mean, n) = (job.class, job.mean_ms, job.finished_n);
                if n > 1 && mean > 0.0 {
                    self.machine_mut(i).c.measure(class, took / mean);
                }
            }
            self.machine_mut(i).errors.clear();
            self.step(j, t, Step::Finished);
        }
        self.changed = true;
    }

    /// A task failed: its machine is faulty, or its job has a mistake. A job that fails everywhere only backs off; a
    /// machine that fails tasks of several jobs is given up.
    fn failed(&mut self, i: usize, j: usize) {
        let now = self.now;
        let job = self.job_mut(j);
        job.failures += 1;
        job.failed_on.insert(i);
        let mistaken = job.failed_on.len() >= 3 && job.finished_n == 0;
        if mistaken {
            job.not_before = now + (1000u64 << job.failures.min(6)).min(60_000);
            self.machines.iter_mut().flatten().for_each(|m| m.errors.retain(|e| *e != j));
        }
        let m = self.machine_mut(i);
        if !mistaken {
            if !m.errors.contains(&j) {
                m.errors.push(j);
            }
            m.not_before = now + (2000u64 << m.errors.len().min(4));
            if m.errors.len() >= 2 {
                self.enter(i, MachineState::Draining, "fails tasks of several jobs");
                for (j, t) in self.machine(i).tasks.clone() {
                    self.step(j, t, Step::Stop { save: self.job(j).record.spec.checkpoint_s > 0.0 });
                }
            }
        }
    }

    /// Moves assigned tasks of a machine into orders.
    fn collect_starts(&mut self, i: usize, direct: bool, orders: &mut Vec<Order>) {
        for (j, t) in self.machine(i).tasks.clone() {
            if orders.len() >= ORDERS {
                return;
            }
            let Some(a) = self.job(j).active.get(&t).copied() else { continue };
            if a.phase == Phase::Assigned {
                let task = format!("{}/{t}", self.job(j).record.spec.id);
                let (machine, epoch) = (&self.machine(i).name, self.epoch);
                tracing::info!(job = %self.job(j).record.spec.id, task = t, %machine, epoch, direct, "start");
                orders.push(Order::Start { task, attempt: a.attempt });
                self.step(j, t, Step::Send { direct });
            }
        }
    }

    /// Stops of a machine that were not sent yet. A late one does no harm: it names its attempt.
    fn collect_stops(&mut self, i: usize, orders: &mut Vec<Order>) {
        for (j, t) in self.machine(i).tasks.clone() {
            let job = self.jobs[j].as_mut().expect("accounted tasks belong to a present job");
            let Some(a) = job.active.get_mut(&t) else { continue };
            if let (Phase::Stopping { save }, false) = (a.phase, a.told) {
                a.told = true;
                let grace_s = if save { job.record.spec.save_s } else { 0.0 };
                let task = format!("{}/{t}", job.record.spec.id);
                orders.push(Order::Stop { task, attempt: a.attempt, grace_s });
            }
        }
    }

    /// Starts and stops to be sent straight to workers, at most one message a machine at a time.
    pub fn direct(&mut self, most: usize) -> Vec<Direct> {
        let mut out = Vec::new();
        for i in 0..self.machines.len() {
            let Some(m) = self.machines[i].as_ref() else { continue };
            if out.len() >= most || !m.current || m.direct || m.state == MachineState::Releasing {
                continue;
            }
            let mut orders = Vec::new();
            let (machine, address, token, session) = (m.name.clone(), m.address.clone(), self.token(m), m.last.0);
            self.collect_stops(i, &mut orders);
            self.collect_starts(i, true, &mut orders);
            if !orders.is_empty() {
                self.machine_mut(i).direct = true;
                out.push(Direct { machine, address, token, session, orders });
            }
        }
        out
    }

    /// Empty orders for machines that are overdue or, in a new epoch, were not heard yet: the answer is a report under the
    /// current token, much sooner than the worker's next one.
    pub fn probes(&mut self, most: usize) -> Vec<Direct> {
        let late = self.p.report_ms * 3 / 2 + 500;
        let mut out = Vec::new();
        for i in 0..self.machines.len() {
            let Some(m) = self.machines[i].as_ref() else { continue };
            let due = m.inherited || (m.state != MachineState::Waiting && self.now > m.last_heard + late);
            if out.len() >= most || !due || m.direct || m.address.is_empty() || self.now < m.probe_at {
                continue;
            }
            let (machine, address, token, session) = (m.name.clone(), m.address.clone(), self.token(m), m.last.0);
            let again = self.now + 1000;
            let m = self.machine_mut(i);
            m.direct = true;
            m.probe_at = again;
            out.push(Direct { machine, address, token, session, orders: Vec::new() });
        }
        out
    }

    /// The answer to direct orders. Without one they may execute minutes later: the token is raised, so that they are
    /// void once the worker has seen it, and until then nothing is concluded from its reports.
    pub fn direct_answer(&mut self, sent: &Direct, answer: Option<&Report>) {
        let Some(&i) = self.machine_index.get(&sent.machine) else { return };
        self.machine_mut(i).direct = false;
        match answer {
            Some(r) => {
                self.report(r, false, false);
            }
            None if sent.orders.is_empty() => {}
            None => {
                let m = self.machine_mut(i);
                m.counter += 1;
                m.current = false;
                tracing::info!(machine = %sent.machine, "no answer to direct orders, token raised");
            }
        }
    }

    // ---- time ----

    /// What time alone brings: leases that have surely run out, notices, machines that came back to nothing.
    pub fn tick(&mut self, now: u64) {
        self.at(now);
        for i in 0..self.machines.len() {
            let Some(m) = self.machines[i].as_ref() else { continue };
            if (m.inherited || !m.tasks.is_empty()) && self.lease_over(m) {
                tracing::info!(machine = %m.name, tasks = m.tasks.len(), "lease has run out");
                for (j, t) in m.tasks.clone() {
                    self.step(j, t, Step::Gone);
                }
                let m = self.machine_mut(i);
                m.inherited = false;
                // Its tasks of the next session would be reported under the same token.
                m.current = false;
                self.changed = true;
            }
            let Some(m) = self.machines[i].as_ref() else { continue };
            let Some(at) = m.notice_at else { continue };
            self.enter(i, MachineState::Draining, "notice");
            for (j, t) in self.machine(i).tasks.clone() {
                let spec = &self.job(j).record.spec;
                // Work that saves is stopped just in time to save; the rest may still finish.
                let lead = (spec.save_s * 1000.0) as u64 + 2 * self.p.report_ms + 2000;
                if spec.kind == Kind::Service || (spec.checkpoint_s > 0.0 && now + lead >= at) {
                    self.step(j, t, Step::Stop { save: spec.checkpoint_s > 0.0 });
                }
            }
        }
        // What may run unseen counts for its team.
        self.team_maybe.iter_mut().for_each(|u| *u = [0; 2]);
        if self.unsettled() > 0 {
            for j in self.jobs.iter().flatten().filter(|j| j.old) {
                if let Some(t) = j.team {
                    let n = j.unlocated() as u64;
                    let u = &mut self.team_maybe[t];
                    *u = [u[0] + n * j.need[0], u[1] + n * j.need[1]];
                }
            }
        }
    }

    // ---- placing ----

    /// Jobs with tasks to place, in the order in which they are served.
    fn queue(&mut self) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.jobs.len()).filter(|i| self.jobs[*i].is_some()).collect();
        all.sort_by_key(|i| (self.job(*i).submitted, *i));
        let mut asked = vec![[0u64; 2]; self.p.teams.len()];
        for &i in &all {
            let job = self.job(i);
            let left = (job.tasks() - job.done_n) as u64;
            let within = job.team.is_some_and(|t| {
                let g = self.p.teams[t].guarantee;
                let a = &mut asked[t];
                *a = [a[0] + left * job.need[0], a[1] + left * job.need[1]];
                !job.ended && a[0] <= g[0] && (job.need[1] == 0 || a[1] <= g[1])
            });
            self.job_mut(i).within = within;
        }
        let now = self.now;
        all.retain(|i| self.job(*i).pending() > 0 && self.job(*i).not_before <= now);
        all.sort_by_cached_key(|i| {
            let j = self.job(*i);
            let spec = &j.record.spec;
            let (turn, work) = self.turn(j);
            (spec.priority != Priority::Production, !j.within, spec.priority, turn, work, *i)
        });
        all
    }

    /// A job's place among its equals: those that can still be in time, the shortest first, since a team's limit or a full
    /// fleet makes some late and aims count jobs; then late ones, the oldest first, who come first once they are very late.
    fn turn(&self, j: &Job) -> (u8, u64) {
        let spec = &j.record.spec;
        if spec.kind == Kind::Service {
            return (1, j.submitted);
        }
        let span = spec.deadline_s.map(|d| (d * 1000.0) as u64).or(self.p.finish_ms.get(&spec.class).copied());
        let age = self.now.saturating_sub(j.submitted);
        match span {
            Some(span) if age > span.saturating_mul(3) => (0, j.submitted),
            Some(span) if age > span => (2, j.submitted),
            _ => (1, ((j.tasks() - j.done_n) as f64 * j.time_s() * 1000.0) as u64),
        }
    }

    /// How many tasks of a job may be added for its team's limit.
    fn quota_room(&self, j: &Job) -> u32 {
        let Some(t) = j.team else { return 0 };
        let room = |r: usize| {
            let used = self.team_use[t][r].saturating_add(self.team_maybe[t][r]);
            self.p.teams[t].limit[r].saturating_sub(used).checked_div(j.need[r]).unwrap_or(u64::MAX)
        };
        room(0).min(room(1)).min(u32::MAX as u64) as u32
    }

    fn may_host(&self, j: &Job, m: &Machine) -> bool {
        (j.record.spec.spot || !m.spot)
            && j.types.as_ref().is_none_or(|t| t.contains(&m.kind))
            && j.zone.is_none_or(|z| z == m.zone)
    }

    fn open(&self, m: &Machine) -> bool {
        m.recorded
            && m.state == MachineState::Up
            && m.notice_at.is_none()
            && m.not_before <= self.now
            && self.now <= m.last_heard + 3 * self.p.report_ms
    }

    /// The zone that a job with all tasks in one place must use, if it is settled, and the room that scatter leaves.
    fn zone_cap(&self, j: &Job, zone: usize) -> u32 {
        let used = j.zone_use.get(&zone).copied().unwrap_or(0);
        if j.record.spec.together && j.zone_use.iter().any(|(z, n)| *n > 0 && *z != zone) {
            return 0;
        }
        if j.record.spec.scatter {
            return j.tasks().div_ceil(2).saturating_sub(used);
        }
        u32::MAX
    }

    /// Places what can be placed now.
    pub fn place(&mut self) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let unsettled = self.unsettled() > 0;
        self.waited.clear();
        for j in self.queue() {
            if unsettled && self.job(j).old {
                continue;
            }
            self.place_job(j);
        }
    }

    /// Asks for a new look at what can be placed, since time has passed.
    pub fn stir(&mut self) {
        self.changed = true;
    }

    fn candidates(&self, job: &Job) -> Vec<Candidate> {
        let open = || self.machines().filter(|(_, m)| self.open(m) && self.may_host(job, m));
        let measured: Vec<f64> = open().filter_map(|(_, m)| m.c.get(job.class)).collect();
        let mean = if measured.is_empty() { 1.0 } else { measured.iter().sum::<f64>() / measured.len() as f64 };
        open()
            .map(|(i, m)| {
                let room = fits(&job.need, &m.room);
                let holder = m.images.contains(&job.image);
                // Spot machines first where allowed. Services go together, since only they keep a machine from being
                // returned; other tasks fill the fullest machine.
                let spare = if job.record.spec.kind == Kind::Service { self.without_services(m) } else { m.room[0] };
                let order = ((!m.spot as u64) << 40) + ((job.failed_on.contains(&i) as u64) << 41) + spare;
                let ends_s = if room == 0 && holder { self.ends_s(i, m, job) } else { Vec::new() };
                Candidate { machine: i, c: m.c.get(job.class).unwrap_or(mean), holder, room, ends_s, order }
            })
            .collect()
    }

    /// CPUs of a machine that no service uses.
    fn without_services(&self, m: &Machine) -> u64 {
        let all = self.types.get(m.kind).map_or(0, |t| (t.cpus * 1000.0) as u64);
        let services = m.tasks.iter().map(|(j, _)| self.job(*j)).filter(|j| j.record.spec.kind == Kind::Service);
        all.saturating_sub(services.map(|j| j.need[0]).sum())
    }

    /// The machines that take tasks.
    pub fn loads(&self) -> Vec<Load> {
        let open = self.machines().filter(|(_, m)| m.state == MachineState::Up && m.notice_at.is_none());
        open.map(|(machine, m)| {
            let cpus = self.types.get(m.kind).map_or(0, |t| (t.cpus * 1000.0) as u64);
            let services = cpus - self.without_services(m);
            let (kind, zone, spot, since) = (m.kind, m.zone, m.spot, m.since);
            Load { machine, kind, zone, spot, since, cpus, used: cpus.saturating_sub(m.room[0]), services }
        })
        .collect()
    }

    /// Takes a machine out of use because there is more room than is needed.
    pub fn spare_machine(&mut self, i: usize) {
        self.enter(i, MachineState::Draining, "surplus");
        self.machine_mut(i).surplus = true;
    }

    /// Takes surplus machines back into use.
    pub fn use_surplus(&mut self) {
        for i in 0..self.machines.len() {
            let back = |m: &Machine| m.surplus && m.state == MachineState::Draining && m.notice_at.is_none();
            if self.machines[i].as_ref().is_some_and(back) {
                self.enter(i, MachineState::Up, "needed again");
                self.machine_mut(i).surplus = false;
            }
        }
    }

    /// Moves one replica off a surplus machine on which nothing else is left, if a holder has room for it.
    pub fn move_replica(&mut self) {
        for i in 0..self.machines.len() {
            let Some(m) = self.machines[i].as_ref().filter(|m| m.surplus && m.state == MachineState::Draining) else {
                continue;
            };
            let services = m.tasks.iter().all(|(j, _)| self.job(*j).record.spec.kind == Kind::Service);
            let Some(&(j, t)) = m.tasks.iter().next().filter(|_| services) else { continue };
            let job = self.job(j);
            let free = |o: &Machine| {
                let same_zone = o.zone == m.zone || !(job.record.spec.scatter || job.record.spec.together);
                self.open(o)
                    && self.may_host(job, o)
                    && same_zone
                    && o.images.contains(&job.image)
                    && fits(&job.need, &o.room) > 0
            };
            if self.machines().any(|(_, o)| free(o)) {
                self.step(j, t, Step::Stop { save: false });
                return;
            }
        }
    }

    /// When a machine's tasks are expected to end, less what others wait for already.
    fn ends_s(&self, i: usize, m: &Machine, job: &Job) -> Vec<f64> {
        let c = m.c.get(job.class).unwrap_or(1.0);
        let rest = m.tasks.iter().filter_map(|(j, t)| {
            let other = self.jobs[*j].as_ref()?;
            let a = other.active.get(t)?;
            let spent = if a.phase == Phase::Running { self.now.saturating_sub(a.since) } else { 0 } as f64 / 1000.0;
            (other.record.spec.kind != Kind::Service).then(|| (other.time_s() / c - spent).max(1.0))
        });
        let mut ends: Vec<f64> = rest.collect();
        ends.sort_by(f64::total_cmp);
        ends.split_off(ends.len().min(self.waited.get(&i).copied().unwrap_or(0) as usize))
    }

    fn place_job(&mut self, j: usize) {
        let job = self.job(j);
        let whole = job.record.spec.kind == Kind::Gang;
        let most = if whole { u32::MAX } else { 2000 };
        let mut left = job.pending().min(self.quota_room(job)).min(most);
        // A gang starts whole or not at all: what is left of an earlier try must be gone first.
        if left == 0 || (whole && (left < job.pending() || !job.active.is_empty())) {
            return;
        }
        let mut candidates = self.candidates(job);
        if candidates.is_empty() {
            return;
        }
        if job.record.spec.together && job.zone_use.values().all(|n| *n == 0) {
            // The zone with the most room is chosen with the first task.
            let mut by_zone: BTreeMap<usize, u64> = BTreeMap::new();
            for c in &candidates {
                *by_zone.entry(self.machine(c.machine).zone).or_default() += c.room as u64;
            }
            let best = by_zone.iter().max_by_key(|(_, room)| **room).map(|(z, _)| *z);
            candidates.retain(|c| Some(self.machine(c.machine).zone) == best);
        }
        let kind = self.machine(candidates[0].machine).kind;
        let rate = self.fetch_rate.get(&kind).copied().unwrap_or(self.p.fetch_gb_per_s).max(0.001);
        let ask = Ask {
            tasks: left,
            time_s: job.time_s(),
            transfer_s: job.record.spec.image_gb / rate,
            group_factor: self.p.group_factor,
            transfer_test: self.p.transfer_test,
        };
        // With a zone cap a machine may get less than planned; the plan then covers all machines.
        let capped = job.record.spec.scatter;
        let plan = placement::plan(candidates, if capped { Ask { tasks: u32::MAX, ..ask } } else { ask });
        if whole && plan.now.iter().map(|(_, n)| *n as u64).sum::<u64>() < left as u64 {
            return;
        }
        // A gang's tasks share an attempt.
        self.attempts += whole as u64;
        for (machine, n) in plan.later {
            *self.waited.entry(machine).or_default() += n;
        }
        for (machine, n) in plan.now {
            let zone = self.machine(machine).zone;
            for _ in 0..n {
                if left == 0 {
                    return;
                }
                if self.zone_cap(self.job(j), zone) == 0 {
                    break;
                }
                let Some(t) = self.job_mut(j).next_pending() else { return };
                self.attempts += !whole as u64;
                let attempt = (self.epoch << TOKEN_BITS) + self.attempts;
                self.step(j, t, Step::Assign { machine, attempt });
                left -= 1;
            }
        }
    }

    /// Room of open machines, with what is being stopped there.
    fn room_coming(&self) -> HashMap<usize, Amounts> {
        let open = self.machines().filter(|(_, m)| self.open(m));
        open.map(|(i, m)| {
            let mut r = m.room;
            for (j, t) in &m.tasks {
                let job = self.job(*j);
                if job.active.get(t).is_some_and(|a| matches!(a.phase, Phase::Stopping { .. })) {
                    r = more(&r, &job.need, 1);
                }
            }
            (i, r)
        })
        .collect()
    }

    /// Looks ahead: stops lower work where a higher job or a guarantee has a claim, and returns what finds no room even
    /// on the machines that are coming up.
    pub fn look_ahead(&mut self, preempt: bool) -> Vec<Need> {
        let unsettled = self.unsettled() > 0;
        let mut room = self.room_coming();
        let waiting = |m: &Machine| m.state == MachineState::Waiting && !m.inherited && !self.overdue(m, 2.0);
        let mut coming: HashMap<usize, Amounts> =
            self.machines().filter(|(_, m)| waiting(m)).map(|(i, m)| (i, m.room)).collect();
        let mut team_left: Vec<[u64; 2]> = (0..self.p.teams.len())
            .map(|t| {
                std::array::from_fn(|r| {
                    self.p.teams[t].limit[r].saturating_sub(self.team_use[t][r].saturating_add(self.team_maybe[t][r]))
                })
            })
            .collect();
        let mut needs = Vec::new();
        for j in self.queue() {
            let job = self.job(j);
            let Some(team) = job.team else { continue };
            if unsettled && job.old {
                continue;
            }
            let quota = (0..2).map(|r| team_left[team][r].checked_div(job.need[r]).unwrap_or(u64::MAX)).min();
            let mut left = job.pending().min(quota.unwrap_or(0).min(u32::MAX as u64) as u32);
            if job.record.spec.kind == Kind::Gang && left < job.pending() {
                continue;
            }
            let taken = left as u64;
            team_left[team] = std::array::from_fn(|r| team_left[team][r].saturating_sub(job.need[r] * taken));
            let mut zones: HashMap<usize, u32> = HashMap::new();
            for pool in [&mut room, &mut coming] {
                let mut keys: Vec<usize> =
                    pool.keys().copied().filter(|i| self.may_host(job, self.machine(*i))).collect();
                keys.sort_by_key(|i| (!self.machine(*i).spot, *i));
                for i in keys {
                    let zone = self.machine(i).zone;
                    let cap = self.zone_cap(job, zone).saturating_sub(zones.get(&zone).copied().unwrap_or(0));
                    let r = pool.get_mut(&i).expect("key just listed");
                    let n = fits(&job.need, r).min(left).min(cap);
                    *r = less(r, &job.need, n as u64);
                    left -= n;
                    *zones.entry(zone).or_default() += n;
                }
            }
            if left == 0 {
                continue;
            }
            let (need, spec) = (job.need, job.record.spec.clone());
            let (types, zone) = (job.types.clone(), job.zone);
            let capped: Option<Vec<usize>> = (spec.scatter || spec.together).then(|| {
                (0..self.zones.names.len())
                    .filter(|z| self.zone_cap(self.job(j), *z) > zones.get(z).copied().unwrap_or(0))
                    .collect()
            });
            if preempt {
                left -= self.preempt(j, left, &mut room);
            }
            if left > 0 {
                needs.push(Need {
                    need,
                    tasks: left,
                    spot: spec.spot,
                    types,
                    zones: zone.map(|z| vec![z]).or(capped),
                    service: spec.kind == Kind::Service,
                });
            }
        }
        needs
    }

    /// Stops lower work for up to `n` tasks of a job; returns for how many.
    fn preempt(&mut self, j: usize, n: u32, room: &mut HashMap<usize, Amounts>) -> u32 {
        let job = self.job(j);
        let (need, priority, within, team) = (job.need, job.record.spec.priority, job.within, job.team);
        let mut won = 0;
        let mut hosts: Vec<usize> = room.keys().copied().filter(|i| self.may_host(job, self.machine(*i))).collect();
        // Holders first, so that the room won is used at once.
        let image = job.image;
        hosts.sort_unstable_by_key(|i| (!self.machine(*i).images.contains(&image), *i));
        for i in hosts {
            let zone = self.machine(i).zone;
            let mut victims: Vec<(Priority, u64, usize, u32)> = Vec::new();
            for (vj, vt) in &self.machine(i).tasks {
                let v = self.job(*vj);
                let Some(a) = v.active.get(vt) else { continue };
                if matches!(a.phase, Phase::Stopping { .. }) {
                    continue;
                }
                let spec = &v.record.spec;
                let lower = spec.priority > priority && (!v.within || priority == Priority::Production);
                let borrowed = within && !v.within && v.team != team && spec.priority != Priority::Production;
                if lower || borrowed {
                    victims.push((spec.priority, a.since, *vj, *vt));
                }
            }
            // The lowest first, and among them the one that loses the least work.
            victims.sort_by_key(|v| (std::cmp::Reverse(v.0), std::cmp::Reverse(v.1)));
            let mut victims = victims.into_iter();
            while won < n && self.zone_cap(self.job(j), zone) > 0 {
                let mut r = room[&i];
                let mut chosen = Vec::new();
                while fits(&need, &r) == 0 {
                    let Some((_, _, vj, vt)) = victims.next() else { break };
                    r = more(&r, &self.job(vj).need, 1);
                    chosen.push((vj, vt));
                }
                if fits(&need, &r) == 0 {
                    break;
                }
                for (vj, vt) in chosen {
                    tracing::info!(job = %self.job(vj).record.spec.id, task = vt, for_job = %self.job(j).record.spec.id, "preempted");
                    let save = self.job(vj).record.spec.checkpoint_s > 0.0;
                    self.step(vj, vt, Step::Stop { save });
                }
                room.insert(i, less(&r, &need, 1));
                won += 1;
            }
        }
        won
    }
}

#[cfg(test)]
pub(crate) mod tests;
