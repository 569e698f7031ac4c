//! The scheduler: machines, what runs on them, and where tasks go. Pure logic: events in, decisions out, no I/O and no clock.
//!
//! The invariant that everything here serves: a task may be on a machine until it is proven gone, and until then it is
//! started nowhere else and counts for its team's quota and its zone. A new leader knows where tasks may be from the start
//! log: nothing is sent before its entry there is durable.
//!
//! [`Scheduler`] joins parts that own their state. Where to look:
//!
//! - jobs: `job` (one), `job_progress`, `task_bitmap`, `job_table` (all), `jobs` (how they come and go), `quota` (the ledger);
//! - tasks: `attempt` (the state machine), `task_events` (the one function for every change of a task, and what follows);
//! - placing: `scheduling_pass`, `queue` (which job is next), `candidates` (which machines), `unplaceable`; `crate::placement`
//!   chooses among the candidates;
//! - too little capacity: `preemption` (what is stopped for others), `demand` (what machines are needed for), both on a
//!   `capacity_pool`; `utilization` (what is used, and what is surplus);
//! - machines: `machines`, `heartbeat` (what workers report), `image_holders`, `fetch_rates`;
//! - `start_log`: the write-ahead log of starts, its text and its replay.

mod attempt;
mod candidates;
mod capacity_pool;
mod demand;
mod fetch_rates;
mod heartbeat;
mod image_holders;
mod index;
mod job;
mod job_progress;
mod job_table;
mod jobs;
mod machine_types;
mod machines;
mod names;
mod params;
mod preemption;
mod queue;
mod quota;
mod scheduling_pass;
mod start_log;
mod task_bitmap;
mod task_events;
mod unplaceable;
mod utilization;

pub use attempt::{Phase, TaskAttempt, TaskId};
pub use demand::UnmetDemand;
pub use heartbeat::{HeartbeatDecision, HeartbeatSource};
pub use index::{DenseIndex, ImageIndex, JobIndex, MachineIndex, MachineTypeIndex, ZoneIndex};
pub use job::Job;
pub use job_table::DoneChunk;
pub use jobs::{CompleteJob, TaskCounts};
pub use machines::{DirectCommands, Hardware, Machine, MachineState, Offer, Origin};
pub use params::{Params, TeamQuota};
pub use start_log::{SlotWrite, StoredSlot};
pub use utilization::Utilization;

use crate::protocol::{FencingToken, MachineType};
use crate::resources::Resources;
use crate::store::Epoch;
use crate::time::Timestamp;
use fetch_rates::FetchRates;
use image_holders::ImageHolders;
use job_table::JobTable;
use machine_types::MachineTypes;
use machines::{BootTimes, MachineRegistry, ZoneHealth};
use names::NameInterner;
use quota::QuotaLedger;
use start_log::StartLog;
use std::collections::BTreeSet;
use std::time::Duration;

/// Bits of a token, and of an attempt, below the epoch.
const EPOCH_SHIFT: u32 = 24;
/// Attempts after which an epoch has to end, with room for those of a pass. A leader of a large fleet uses them up within a
/// few days. Beyond them attempts would be larger than the first ones of the next epoch, and a new leader, which goes by the
/// largest attempt of a task, would look for the task where it no longer is.
pub(super) const MAX_ATTEMPTS_PER_EPOCH: u64 = (1 << EPOCH_SHIFT) - (1 << 22);

/// The lowest token of an epoch.
#[must_use]
pub fn first_token(epoch: Epoch) -> FencingToken {
    FencingToken::new(epoch.as_u64() << EPOCH_SHIFT)
}

/// The state of a scheduler in one epoch.
pub struct Scheduler {
    params: Params,
    epoch: Epoch,
    now: Timestamp,
    machine_types: MachineTypes,
    zones: NameInterner<ZoneIndex>,
    images: NameInterner<ImageIndex>,
    jobs: JobTable,
    machines: MachineRegistry,
    quotas: QuotaLedger,
    /// Attempts that were numbered in this epoch.
    attempts: u64,
    start_log: StartLog,
    /// Machines with starts or stops to be sent.
    pending_commands: BTreeSet<MachineIndex>,
    image_holders: ImageHolders,
    /// Nothing is placed before.
    placement_allowed_from: Timestamp,
    last_tick_at: Timestamp,
    zone_health: ZoneHealth,
    fetch_rates: FetchRates,
    boot_times: BootTimes,
    /// Production jobs that the last pass has left with tasks to place, in their order.
    unplaced_production: Vec<JobIndex>,
    /// Whether something may be placed that could not be before, so that a pass is worth while.
    pass_requested: bool,
}

impl Scheduler {
    /// An empty scheduler of an epoch that began now.
    #[must_use]
    pub fn new(params: Params, epoch: Epoch, now: u64) -> Self {
        let quotas = QuotaLedger::new(&params.teams);
        let fetch_rates = FetchRates::new(params.fetch_gb_per_s);
        Scheduler {
            params,
            epoch,
            now: Timestamp::from_millis(now),
            machine_types: MachineTypes::default(),
            zones: NameInterner::default(),
            images: NameInterner::default(),
            jobs: JobTable::default(),
            machines: MachineRegistry::default(),
            quotas,
            attempts: 0,
            start_log: StartLog::default(),
            pending_commands: BTreeSet::new(),
            image_holders: ImageHolders::default(),
            placement_allowed_from: Timestamp::ZERO,
            last_tick_at: Timestamp::ZERO,
            zone_health: ZoneHealth::default(),
            fetch_rates,
            boot_times: BootTimes::default(),
            unplaced_production: Vec::new(),
            pass_requested: true,
        }
    }

    /// The time since a moment; none if it is to come.
    fn elapsed_since(&self, moment: Timestamp) -> Duration {
        self.now().saturating_duration_since(moment)
    }

    /// The moment to which the clock was moved last.
    fn now(&self) -> Timestamp {
        self.now
    }

    /// Moves the clock.
    pub fn advance_clock(&mut self, now: u64) {
        self.now = self.now.max(Timestamp::from_millis(now));
    }

    /// Adds or updates the machine types that the cloud's catalogue lists, and their zones.
    pub fn update_machine_types(&mut self, types: &[MachineType]) {
        for machine_type in types {
            self.machine_types.update(machine_type);
            for zone in &machine_type.zones {
                self.zones.intern(zone);
            }
        }
        self.pass_requested = true;
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
        self.machines.iter()
    }

    /// A machine's index.
    #[must_use]
    pub fn machine_index(&self, machine: &str) -> Option<MachineIndex> {
        self.machines.index_of(machine)
    }

    /// Whether a machine is known.
    #[must_use]
    pub fn is_known(&self, machine: &str) -> bool {
        self.machines.contains(machine)
    }

    /// Whether something may be placed that could not be before.
    #[must_use]
    pub fn is_pass_requested(&self) -> bool {
        self.pass_requested
    }

    /// Whether something may be placed or is to be sent or logged.
    #[must_use]
    pub fn needs_pass(&self) -> bool {
        self.pass_requested || !self.pending_commands.is_empty() || self.start_log.has_unwritten()
    }

    /// Whether this epoch has to end, since its numbers for attempts are used up.
    #[must_use]
    pub fn has_exhausted_attempts(&self) -> bool {
        self.attempts >= MAX_ATTEMPTS_PER_EPOCH
    }

    fn machine(&self, index: MachineIndex) -> &Machine {
        &self.machines[index]
    }

    fn machine_mut(&mut self, index: MachineIndex) -> &mut Machine {
        &mut self.machines[index]
    }

    fn job(&self, index: JobIndex) -> &Job {
        &self.jobs[index]
    }

    fn job_mut(&mut self, index: JobIndex) -> &mut Job {
        &mut self.jobs[index]
    }

    /// The fencing token of a machine.
    fn token(&self, machine: &Machine) -> FencingToken {
        first_token(self.epoch) + machine.commands.token_counter()
    }
}

#[cfg(test)]
pub(crate) mod tests;
