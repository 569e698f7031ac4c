//! The scheduler: keeps track of machines and tasks and decides where tasks run. It takes events and returns decisions; it
//! performs no I/O and reads no clock.
//!
//! Its central invariant: a task may be on a machine until it is proven gone. Until then it is not started anywhere else and
//! counts towards its team's quota and its zone. A new leader learns from the start log where tasks may be, since no start is
//! sent before its log entry is durable.
//!
//! [`Scheduler`] combines modules that own their state:
//!
//! - jobs: `job` (a job's state), `job_progress`, `task_bitmap`, `job_table` (all jobs), `jobs` (adding and removing jobs),
//!   `quota` (the ledger of team quotas);
//! - tasks: `attempt` (the state machine), `gone_proof` (the proofs that a task is on no machine), `task_events` (state
//!   changes and their effects);
//! - placement: `scheduling_pass`, `queue` (the order of jobs), `candidates` (eligible machines), `unplaceable` (requests that
//!   can't be placed in a pass); `crate::placement` selects among the candidates;
//! - capacity: `preemption` (tasks to stop in favor of others) and `demand` (machines to rent), both based on
//!   `capacity_pool`; `utilization` (used and surplus capacity);
//! - machines: `machines`, `heartbeat` (worker reports), `worker_message` (commands to workers), `image_holders`, `fetch_rates`, `machine_types`;
//! - durability: `start_log` (the write-ahead log of starts, its text format and its replay).

mod attempt;
mod candidates;
mod capacity_pool;
mod demand;
mod fetch_rates;
mod gone_proof;
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
mod worker_message;

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
use scheduling_pass::Sweep;
use start_log::StartLog;
use std::collections::BTreeSet;
use std::time::Duration;

/// Position of the epoch in fencing tokens and attempt numbers. The bits below it hold a counter that restarts in each epoch.
const EPOCH_SHIFT: u32 = 24;
/// Number of attempt numbers after which an epoch has to end. The rest of the range is headroom for the attempts of one
/// scheduling pass. A leader of a large fleet uses up the range within a few days. If the counter overflowed, attempt numbers
/// would be larger than the first ones of the next epoch, and a new leader, which takes the largest attempt number of a task
/// as the latest, would assume the task to be on a machine that it has left.
pub(super) const MAX_ATTEMPTS_PER_EPOCH: u64 = (1 << EPOCH_SHIFT) - (1 << 22);

/// Returns the lowest fencing token of an epoch.
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
    /// Number of attempt numbers used in this epoch.
    attempt_counter: u64,
    start_log: StartLog,
    /// Machines to which starts or stops are to be sent.
    pending_commands: BTreeSet<MachineIndex>,
    image_holders: ImageHolders,
    /// Time before which no task is placed.
    placement_allowed_from: Timestamp,
    last_tick_at: Timestamp,
    zone_health: ZoneHealth,
    fetch_rates: FetchRates,
    boot_times: BootTimes,
    /// Production jobs with tasks that the last pass could not place, in queue order.
    unplaced_production: Vec<JobIndex>,
    /// Whether a scheduling pass is needed because tasks may be placed that could not be placed before.
    pass_requested: bool,
    sweep: Sweep,
}

impl Scheduler {
    /// Creates an empty scheduler for an epoch that begins now.
    #[must_use]
    pub fn new(params: Params, epoch: Epoch, now_ms: u64) -> Self {
        let quotas = QuotaLedger::new(&params.teams);
        let fetch_rates = FetchRates::new(params.fetch_gb_per_s);
        Scheduler {
            params,
            epoch,
            now: Timestamp::from_millis(now_ms),
            machine_types: MachineTypes::default(),
            zones: NameInterner::default(),
            images: NameInterner::default(),
            jobs: JobTable::default(),
            machines: MachineRegistry::default(),
            quotas,
            attempt_counter: 0,
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
            sweep: Sweep::default(),
        }
    }

    /// Returns the time since `moment`, or zero if it lies in the future.
    fn elapsed_since(&self, moment: Timestamp) -> Duration {
        self.now().saturating_duration_since(moment)
    }

    /// Returns the current time, as last set by [`Scheduler::advance_clock`].
    fn now(&self) -> Timestamp {
        self.now
    }

    /// Advances the clock to `now_ms`. The clock never goes back.
    pub fn advance_clock(&mut self, now_ms: u64) {
        self.now = self.now.max(Timestamp::from_millis(now_ms));
    }

    /// Adds or updates the machine types that the cloud's catalogue lists, and adds their zones.
    pub fn update_machine_types(&mut self, types: &[MachineType]) {
        for machine_type in types {
            self.machine_types.update(machine_type);
            for zone in &machine_type.zones {
                self.zones.intern(zone);
            }
        }
        self.pass_requested = true;
    }

    /// Returns the machine types with their indices.
    pub fn machine_types(&self) -> impl Iterator<Item = (MachineTypeIndex, &MachineType)> {
        self.machine_types.iter()
    }

    /// Returns the machine type with an index.
    ///
    /// # Panics
    ///
    /// Panics if the index stands for a type that the catalogue has never listed.
    #[must_use]
    pub fn machine_type(&self, index: MachineTypeIndex) -> &MachineType {
        self.machine_types
            .get(index)
            .expect("machine type is listed in the catalogue")
    }

    /// Returns the index of the machine type with a name.
    #[must_use]
    pub fn machine_type_index(&self, name: &str) -> Option<MachineTypeIndex> {
        self.machine_types.index(name)
    }

    /// Returns the total resources of a machine of a type.
    #[must_use]
    pub fn capacity_of_type(&self, machine_type: MachineTypeIndex) -> Resources {
        self.machine_types.capacity(machine_type)
    }

    /// Returns the index of the zone with a name.
    #[must_use]
    pub fn zone_index(&self, name: &str) -> Option<ZoneIndex> {
        self.zones.get(name)
    }

    /// Returns the name of a zone.
    #[must_use]
    pub fn zone_name(&self, zone: ZoneIndex) -> &str {
        self.zones.name(zone)
    }

    /// Returns the machines that are present, with their indices.
    pub fn machines(&self) -> impl Iterator<Item = (MachineIndex, &Machine)> {
        self.machines.iter()
    }

    /// Returns the index of the machine with a name.
    #[must_use]
    pub fn machine_index(&self, machine: &str) -> Option<MachineIndex> {
        self.machines.index_of(machine)
    }

    /// Reports whether a machine with this name is present.
    #[must_use]
    pub fn is_known(&self, machine: &str) -> bool {
        self.machines.contains(machine)
    }

    /// Reports whether a scheduling pass is requested, commands are to be sent or starts are to be logged.
    #[must_use]
    pub fn needs_pass(&self) -> bool {
        self.is_pass_requested()
            || !self.pending_commands.is_empty()
            || self.start_log.has_unwritten()
    }

    /// Reports whether this epoch has to end because its attempt numbers are used up.
    #[must_use]
    pub fn has_exhausted_attempts(&self) -> bool {
        self.attempt_counter >= MAX_ATTEMPTS_PER_EPOCH
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

    /// Returns the current fencing token of a machine.
    fn token(&self, machine: &Machine) -> FencingToken {
        first_token(self.epoch) + machine.commands.token_counter()
    }
}

#[cfg(test)]
pub(crate) mod tests;
