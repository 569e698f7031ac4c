//! An unfinished job: which of its tasks are done, which are pending, and which are or may be on a machine.

use super::attempt::{Phase, TaskAttempt};
use super::index::{ImageIndex, MachineIndex, MachineTypeIndex, ZoneIndex};
use super::job_progress::{Failures, PendingTasks, RunTimes};
use super::quota::TeamIndex;
use super::task_bitmap::TaskBitmap;
use crate::placement::ResourceClass;
use crate::protocol::{JobKind, JobSpec, Priority};
use crate::resources::Resources;
use crate::store::{LiveRecord, Revision};
use crate::time::Timestamp;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A job that has failed on so many machines, and of which no task has finished, is taken for one with a mistake.
const FAULTY_JOB_MACHINES: usize = 3;
/// A task that has run for so long is no mistake.
const PROVEN_RUN: Duration = Duration::from_secs(30);
/// An unfinished job, or a cancelled one of which something may still run.
pub struct Job {
    /// Its record.
    pub record: LiveRecord,
    /// The version of its record.
    pub(super) version: Revision,
    pub(super) submitted_at: Timestamp,
    pub(super) team: Option<TeamIndex>,
    pub(super) image: ImageIndex,
    /// The resource class in which machines are measured for it.
    pub(super) class: ResourceClass,
    /// What one task takes.
    pub(super) task_resources: Resources,
    /// Allowed machine types; none: any.
    pub(super) machine_types: Option<Vec<MachineTypeIndex>>,
    /// The zone that it has to be in; none: any.
    pub(super) zone: Option<ZoneIndex>,
    /// Cancelled: only to be stopped.
    pub(super) cancelled: bool,
    /// Tasks that have finished.
    pub(super) done: TaskBitmap,
    /// Tasks whose result is durable.
    pub(super) saved: TaskBitmap,
    /// Tasks that are or may be on a machine.
    pub(super) active: BTreeMap<u32, TaskAttempt>,
    pub(super) pending: PendingTasks,
    pub(super) active_by_zone: HashMap<ZoneIndex, u32>,
    /// How many of the active tasks run or save.
    pub(super) running: u32,
    pub(super) run_times: RunTimes,
    pub(super) failures: Failures,
    /// Nothing of it is placed before.
    pub(super) retry_at: Timestamp,
    /// When a task of it last found a place, or it became known here.
    pub(super) last_placed_at: Timestamp,
    /// Whether its team's guarantee covers it, as of the last look at the queue.
    pub(super) within_guarantee: bool,
    /// How often each task was stopped to make room for others.
    pub(super) preemptions: BTreeMap<u32, u32>,
}

/// What a job is made of beside its record.
pub(super) struct JobPlacement {
    pub(super) team: Option<TeamIndex>,
    pub(super) image: ImageIndex,
    pub(super) class: ResourceClass,
    pub(super) task_resources: Resources,
    pub(super) machine_types: Option<Vec<MachineTypeIndex>>,
    pub(super) zone: Option<ZoneIndex>,
}

impl Job {
    /// A job of which nothing is known but its record and its stored results.
    pub(super) fn new(
        record: LiveRecord,
        version: Revision,
        placement: JobPlacement,
        results: TaskBitmap,
        submitted_at: Timestamp,
        now: Timestamp,
    ) -> Job {
        Job {
            record,
            version,
            submitted_at,
            team: placement.team,
            image: placement.image,
            class: placement.class,
            task_resources: placement.task_resources,
            machine_types: placement.machine_types,
            zone: placement.zone,
            cancelled: false,
            saved: results.clone(),
            done: results,
            active: BTreeMap::new(),
            pending: PendingTasks::default(),
            active_by_zone: HashMap::new(),
            running: 0,
            run_times: RunTimes::default(),
            failures: Failures::default(),
            retry_at: Timestamp::ZERO,
            last_placed_at: now,
            within_guarantee: false,
            preemptions: BTreeMap::new(),
        }
    }

    /// What its user asked for.
    pub(super) fn spec(&self) -> &JobSpec {
        &self.record.spec
    }

    /// Its id.
    pub(super) fn id(&self) -> &str {
        &self.record.spec.id
    }

    /// The number of its tasks.
    pub(super) fn tasks(&self) -> u32 {
        self.record.spec.tasks
    }

    /// How many of its tasks have not finished.
    pub(super) fn unfinished(&self) -> u32 {
        self.tasks() - self.done.count()
    }

    /// Whether all its tasks have finished.
    pub(super) fn is_complete(&self) -> bool {
        self.done.count() == self.tasks()
    }

    /// Tasks that are neither done nor on a machine.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "no more tasks are active than the job has"
    )]
    pub fn pending(&self) -> u32 {
        if self.cancelled {
            return 0;
        }
        self.unfinished() - self.active.len() as u32
    }

    /// Whether its tasks start together or not at all.
    pub(super) fn is_gang(&self) -> bool {
        self.spec().kind == JobKind::Gang
    }

    /// CPUs that one of its tasks takes as a replica of a service, in thousandths; 0 for other tasks.
    pub(super) fn service_cpu_milli(&self) -> u64 {
        if self.is_service() {
            self.task_resources.cpu_milli
        } else {
            0
        }
    }

    /// Whether its tasks are replicas that never end.
    pub(super) fn is_service(&self) -> bool {
        self.spec().kind == JobKind::Service
    }

    /// Whether it is of the highest priority.
    pub(super) fn is_production(&self) -> bool {
        self.spec().priority == Priority::Production
    }

    /// Whether its tasks save their progress when they are stopped with time to do so.
    pub(super) fn saves_checkpoints(&self) -> bool {
        self.spec().checkpoint_interval_s > 0.0
    }

    /// Whether the number of its tasks in a zone is limited.
    pub(super) fn has_zone_rule(&self) -> bool {
        self.spec().spread_zones || self.spec().single_zone
    }

    /// Its tasks that are or may be on machines of a zone.
    pub(super) fn active_in(&self, zone: ZoneIndex) -> u32 {
        self.active_by_zone.get(&zone).copied().unwrap_or(0)
    }

    /// How many more tasks its zone rules allow in a zone.
    pub(super) fn zone_allowance(&self, zone: ZoneIndex) -> u32 {
        let elsewhere = |(other, count): (&ZoneIndex, &u32)| *count > 0 && *other != zone;
        if self.spec().single_zone && self.active_by_zone.iter().any(elsewhere) {
            return 0;
        }
        if self.spec().spread_zones {
            return self
                .tasks()
                .div_ceil(2)
                .saturating_sub(self.active_in(zone));
        }
        u32::MAX
    }

    /// How often a task was stopped to make room for others.
    pub(super) fn preemptions_of(&self, number: u32) -> u32 {
        self.preemptions.get(&number).copied().unwrap_or(0)
    }

    /// Whether it fails wherever it is tried: submitted with a mistake, it goes on failing until its user cancels it.
    pub(super) fn fails_everywhere(&self, now: Timestamp) -> bool {
        self.failures.machine_count() >= FAULTY_JOB_MACHINES && !self.is_proven(now)
    }

    /// Whether a task of it has finished or has run for a while, so that what fails is the machine's fault.
    pub(super) fn is_proven(&self, now: Timestamp) -> bool {
        let has_run = |attempt: &TaskAttempt| {
            attempt.phase == Phase::Running && now > attempt.since + PROVEN_RUN
        };
        self.done.count() > 0 || self.active.values().any(has_run)
    }

    /// Tasks that should find a place now: of a job that fails everywhere one at a time, so that it neither takes the room
    /// of others nor has machines rented.
    pub(super) fn placeable(&self, now: Timestamp) -> u32 {
        let pending = self.pending();
        if !self.is_gang() && self.fails_everywhere(now) {
            return if self.active.is_empty() {
                pending.min(1)
            } else {
                0
            };
        }
        pending
    }

    /// Takes the next pending task, which is to become active.
    pub(super) fn take_pending(&mut self) -> Option<u32> {
        let (tasks, done, active) = (self.record.spec.tasks, &self.done, &self.active);
        let is_new = |number| !done.contains(number) && !active.contains_key(&number);
        self.pending.take_next(tasks, is_new)
    }

    /// Expected task time on a machine with capability 1, in seconds. A replica has none that could be shorter elsewhere:
    /// only when it can start counts. Taken for very long, a hundredth in capability outweighed every transfer, and replicas
    /// waited for places on full machines while others had room.
    pub(super) fn expected_run_s(&self) -> f64 {
        match self.spec().kind {
            JobKind::Service => 0.0,
            JobKind::Array | JobKind::Gang => self
                .run_times
                .mean_s()
                .unwrap_or_else(|| self.spec().run_time_estimate_s.max(1.0)),
        }
    }

    /// A task has finished.
    pub(super) fn record_result(&mut self, number: u32) {
        self.done.insert(number);
        self.pending.remove(number);
        self.failures.record_success();
    }

    /// A task has failed on a machine. If the job fails everywhere, it is tried again only after a pause.
    pub(super) fn record_failure(&mut self, machine: MachineIndex, now: Timestamp) {
        self.failures.record(machine);
        if self.fails_everywhere(now) {
            self.retry_at = now + self.failures.retry_delay();
        }
    }
}
