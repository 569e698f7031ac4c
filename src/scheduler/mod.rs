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
mod index;
mod jobs;
mod machine;
mod machine_types;
mod machines;
mod names;
mod params;
mod preemption;
mod reports;
mod scheduling_pass;
mod start_log;
mod tasks;

pub use demand::{UnmetDemand, Utilization};
pub use index::{DenseIndex, ImageIndex, JobIndex, MachineIndex, MachineTypeIndex, ZoneIndex};
pub use jobs::{DoneChunk, Job};
pub use machine::{Direct, Hardware, Machine, MachineState, Offer, Origin};
pub use params::{Params, TeamQuota};
pub use reports::Arrival;
pub use start_log::Append;
pub use tasks::{Phase, TaskAttempt, TaskId};

use crate::protocol::{FencingToken, MachineType, ReportReply};
use crate::resources::{QuotaResources, Resources};
use boot_times::BootTimes;
use index::Table;
use machine_types::MachineTypes;
use names::Names;
use start_log::StartLog;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A job that has failed on so many machines, and of which no task has finished, is taken for one with a mistake.
const FAULTY_JOB_MACHINES: usize = 3;
/// A task that has run for so long is no mistake.
const PROVEN_RUN_MS: u64 = 30_000;
/// Bits of a token, and of an attempt, below the epoch.
const TOKEN_BITS: u32 = 24;
/// Attempts after which an epoch has to end, with room for those of a pass. A leader of a large fleet uses them up within a
/// few days. Beyond them attempts would be larger than the first ones of the next epoch, and a new leader, which goes by the
/// largest attempt of a task, would look for the task where it no longer is.
pub(super) const ATTEMPTS_OF_AN_EPOCH: u64 = (1 << TOKEN_BITS) - (1 << 22);

/// The lowest token of an epoch.
#[must_use]
pub fn first_token(epoch: u64) -> FencingToken {
    FencingToken::new(epoch << TOKEN_BITS)
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
    params: Params,
    epoch: u64,
    now: u64,
    machine_types: MachineTypes,
    zones: Names<ZoneIndex>,
    images: Names<ImageIndex>,
    jobs: Table<JobIndex, Option<Job>>,
    free_jobs: Vec<JobIndex>,
    job_index: HashMap<String, JobIndex>,
    machines: Table<MachineIndex, Option<Machine>>,
    /// Indices of machines that are gone, for new ones: what grows with every machine ever rented is gone over at each tick.
    free_machines: Vec<MachineIndex>,
    machine_index: HashMap<String, MachineIndex>,
    team_use: Vec<QuotaResources>,
    /// What of it is being stopped.
    team_ending: Vec<QuotaResources>,
    attempts: u64,
    log: StartLog,
    /// Machines with starts or stops to be sent.
    outbox: BTreeSet<MachineIndex>,
    /// Machines that hold or are fetching an image.
    holders: HashMap<ImageIndex, BTreeSet<MachineIndex>>,
    /// Nothing is placed before.
    place_from: u64,
    /// The last tick.
    ticked: u64,
    /// When most of a zone was last quiet.
    out_at: HashMap<ZoneIndex, u64>,
    /// Jobs, the oldest submission first.
    by_age: Vec<JobIndex>,
    /// Finished ranges that are not stored yet, and since when.
    dirty: BTreeMap<(JobIndex, u32), u64>,
    fetch_rate: HashMap<MachineTypeIndex, f64>,
    boot_times: BootTimes,
    /// Production jobs that the last pass has left with tasks to place, in their order.
    urgent: Vec<JobIndex>,
    changed: bool,
}

impl Scheduler {
    /// An empty scheduler of an epoch that began now.
    #[must_use]
    pub fn new(params: Params, epoch: u64, now: u64) -> Self {
        let teams = params.teams.len();
        Scheduler {
            params,
            epoch,
            now,
            machine_types: MachineTypes::default(),
            zones: Names::default(),
            images: Names::default(),
            jobs: Table::default(),
            free_jobs: Vec::new(),
            job_index: HashMap::new(),
            machines: Table::default(),
            free_machines: Vec::new(),
            machine_index: HashMap::new(),
            team_use: vec![QuotaResources::ZERO; teams],
            team_ending: vec![QuotaResources::ZERO; teams],
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

    /// Adds or updates the machine types that the cloud's catalogue lists, and their zones.
    pub fn set_types(&mut self, types: &[MachineType]) {
        for machine_type in types {
            self.machine_types.update(machine_type);
            for zone in &machine_type.zones {
                self.zones.add(zone);
            }
        }
        self.changed = true;
    }

    /// The machine types with their indices.
    pub fn machine_types(&self) -> impl Iterator<Item = (MachineTypeIndex, &MachineType)> {
        self.machine_types.iter()
    }

    /// The machine type with an index.
    ///
    /// # Panics
    ///
    /// If it is the index of a machine whose type the catalogue does not list.
    #[must_use]
    pub fn machine_type(&self, index: MachineTypeIndex) -> &MachineType {
        self.machine_types
            .get(index)
            .expect("the catalogue lists the type")
    }

    /// The index of the machine type with a name.
    #[must_use]
    pub fn machine_type_index(&self, name: &str) -> Option<MachineTypeIndex> {
        self.machine_types.index(name)
    }

    /// All resources of a machine of a type.
    #[must_use]
    pub fn capacity_of_type(&self, machine_type: MachineTypeIndex) -> Resources {
        self.machine_types.capacity(machine_type)
    }

    /// The index of the zone with a name.
    #[must_use]
    pub fn zone_index(&self, name: &str) -> Option<ZoneIndex> {
        self.zones.get(name)
    }

    /// A zone's name.
    #[must_use]
    pub fn zone_name(&self, zone: ZoneIndex) -> &str {
        self.zones.name(zone)
    }

    /// Machines present, with their index.
    pub fn machines(&self) -> impl Iterator<Item = (MachineIndex, &Machine)> {
        self.machines
            .iter()
            .filter_map(|(i, m)| Some((i, m.as_ref()?)))
    }

    /// A machine's index.
    #[must_use]
    pub fn index(&self, machine: &str) -> Option<MachineIndex> {
        self.machine_index.get(machine).copied()
    }

    /// Whether a machine is known.
    #[must_use]
    pub fn knows(&self, machine: &str) -> bool {
        self.machine_index.contains_key(machine)
    }

    /// Whether a job is at work or being stopped here.
    #[must_use]
    pub fn has_job(&self, job: &str) -> bool {
        self.job_index.contains_key(job)
    }

    /// Whether something may be placed that could not be before.
    #[must_use]
    pub fn has_changed(&self) -> bool {
        self.changed
    }

    /// Whether something may be placed or is to be sent or logged.
    #[must_use]
    pub fn needs_pass(&self) -> bool {
        self.changed || !self.outbox.is_empty() || self.log.has_wanted()
    }

    /// Whether this epoch has to end, since its numbers for attempts are used up.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        self.attempts >= ATTEMPTS_OF_AN_EPOCH
    }

    /// Jobs at work.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().flatten()
    }

    fn machine(&self, i: MachineIndex) -> &Machine {
        self.machines[i]
            .as_ref()
            .expect("indices of machines are only kept while the machine is present")
    }

    fn machine_mut(&mut self, i: MachineIndex) -> &mut Machine {
        self.machines[i]
            .as_mut()
            .expect("indices of machines are only kept while the machine is present")
    }

    fn job(&self, i: JobIndex) -> &Job {
        self.jobs[i]
            .as_ref()
            .expect("indices of jobs are only kept while the job is present")
    }

    fn job_mut(&mut self, i: JobIndex) -> &mut Job {
        self.jobs[i]
            .as_mut()
            .expect("indices of jobs are only kept while the job is present")
    }

    /// A job's done and running tasks, for display.
    #[must_use]
    pub fn counts(&self, job: &str) -> Option<(u32, u32)> {
        let j = self.job(*self.job_index.get(job)?);
        Some((j.done_n, j.running))
    }

    /// Counts of every job, for the other nodes.
    #[must_use]
    pub fn all_counts(&self) -> Vec<(String, u32, u32)> {
        self.jobs()
            .map(|j| (j.record.spec.id.clone(), j.done_n, j.running))
            .collect()
    }

    fn token(&self, m: &Machine) -> FencingToken {
        first_token(self.epoch) + m.counter
    }
}

#[cfg(test)]
pub(crate) mod tests;
