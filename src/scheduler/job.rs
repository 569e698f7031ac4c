//! The state of one unfinished job: its done and pending tasks, and the active ones, which are or may be on a machine.

use super::attempt::{Phase, TaskAttempt};
use super::index::{ImageIndex, MachineIndex, MachineTypeIndex, ZoneIndex};
use super::job_progress::{Failures, PendingTasks, RunTimes};
use super::quota::TeamIndex;
use super::task_bitmap::TaskBitmap;
use crate::placement::ResourceClass;
use crate::protocol::{JobKind, JobSpec, Priority};
use crate::resources::Resources;
use crate::store::{JobRecord, Revision};
use crate::time::Timestamp;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Number of machines on which a job must have failed to be considered faulty itself, unless it is known to work.
const FAULTY_JOB_MIN_MACHINES: usize = 3;
/// A task that has been running for longer than this shows that its job works.
const MIN_WORKING_RUN: Duration = Duration::from_secs(30);

/// An unfinished job, or a final job with tasks that may still be running.
pub struct Job {
    /// The job's record in the store.
    pub record: JobRecord,
    /// Version of the job's record.
    pub(super) version: Revision,
    pub(super) submitted_at: Timestamp,
    /// The job's team, or none if the settings do not name it: tasks of such a job are not placed.
    pub(super) team: Option<TeamIndex>,
    pub(super) image: ImageIndex,
    /// Resource class whose measured machine capability applies to the job.
    pub(super) resource_class: ResourceClass,
    /// Resources of one task.
    pub(super) task_resources: Resources,
    /// Allowed machine types; `None` allows any.
    pub(super) machine_types: Option<Vec<MachineTypeIndex>>,
    /// Required zone; `None` allows any.
    pub(super) zone: Option<ZoneIndex>,
    /// Whether the job has a final state, cancelled or done: its active tasks are being stopped and none is placed.
    pub(super) is_final: bool,
    /// Tasks that have finished.
    pub(super) done: TaskBitmap,
    /// Finished tasks whose result is stored durably.
    pub(super) stored: TaskBitmap,
    /// Tasks that are or may be on a machine, by their number.
    pub(super) active: BTreeMap<u32, TaskAttempt>,
    pub(super) pending: PendingTasks,
    pub(super) active_by_zone: HashMap<ZoneIndex, u32>,
    /// Number of active tasks that are running or being stopped.
    pub(super) running: u32,
    pub(super) run_times: RunTimes,
    pub(super) failures: Failures,
    /// No task of the job is placed before this time.
    pub(super) retry_at: Timestamp,
    /// When a task of the job was last assigned to a machine; until then, when the job was added to the scheduler.
    pub(super) last_placed_at: Timestamp,
    /// Whether the team's guarantee covers the job, as of the last computation of the queue.
    pub(super) within_guarantee: bool,
    /// Number of the latest sweep of scheduling passes that has tried to place tasks of the job.
    pub(super) tried_in_sweep: u64,
    /// How often each task was preempted.
    pub(super) preemptions: BTreeMap<u32, u32>,
}

/// The placement constraints of a job, with the names of its specification resolved.
pub(super) struct JobPlacement {
    pub(super) team: Option<TeamIndex>,
    pub(super) image: ImageIndex,
    pub(super) resource_class: ResourceClass,
    pub(super) task_resources: Resources,
    pub(super) machine_types: Option<Vec<MachineTypeIndex>>,
    pub(super) zone: Option<ZoneIndex>,
}

impl Job {
    /// Returns a job without active tasks; `results` are the finished tasks that the store records.
    pub(super) fn new(
        record: JobRecord,
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
            resource_class: placement.resource_class,
            task_resources: placement.task_resources,
            machine_types: placement.machine_types,
            zone: placement.zone,
            is_final: false,
            stored: results.clone(),
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
            tried_in_sweep: 0,
            preemptions: BTreeMap::new(),
        }
    }

    /// Returns the specification that the user submitted.
    pub(super) fn spec(&self) -> &JobSpec {
        &self.record.spec
    }

    /// Returns the job's id.
    pub(super) fn id(&self) -> &str {
        &self.record.spec.id
    }

    /// Returns the number of tasks of the job.
    pub(super) fn tasks(&self) -> u32 {
        self.record.spec.tasks
    }

    /// Returns the number of tasks that have not finished.
    pub(super) fn unfinished(&self) -> u32 {
        self.tasks() - self.done.count()
    }

    /// Reports whether all tasks have finished.
    pub(super) fn is_complete(&self) -> bool {
        self.done.count() == self.tasks()
    }

    /// Returns the number of tasks that are neither done nor active; 0 for a final job.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "no more tasks are active than the job has"
    )]
    pub fn pending(&self) -> u32 {
        if self.is_final {
            return 0;
        }
        self.unfinished() - self.active.len() as u32
    }

    /// Reports whether the job is a gang: its tasks start together or not at all.
    pub(super) fn is_gang(&self) -> bool {
        self.spec().kind == JobKind::Gang
    }

    /// Returns the CPUs of one replica in thousandths if the job is a service, otherwise 0.
    pub(super) fn service_cpu_milli(&self) -> u64 {
        if self.is_service() {
            self.task_resources.cpu_milli
        } else {
            0
        }
    }

    /// Reports whether the job is a service: its tasks are replicas that run until they are stopped.
    pub(super) fn is_service(&self) -> bool {
        self.spec().kind == JobKind::Service
    }

    /// Reports whether the job has the highest priority.
    pub(super) fn is_production(&self) -> bool {
        self.spec().priority == Priority::Production
    }

    /// Reports whether the job's tasks write a checkpoint when they are given time to stop.
    pub(super) fn saves_checkpoints(&self) -> bool {
        self.spec().checkpoint_interval_s > 0.0
    }

    /// Reports whether a zone rule limits how many tasks of the job may be in one zone.
    pub(super) fn has_zone_rule(&self) -> bool {
        self.spec().spread_zones || self.spec().single_zone
    }

    /// Returns the number of active tasks in a zone.
    pub(super) fn active_in(&self, zone: ZoneIndex) -> u32 {
        self.active_by_zone.get(&zone).copied().unwrap_or(0)
    }

    /// Returns how many more tasks the job's zone rules allow in a zone. A job that has to stay in a single zone may have none
    /// outside the zone of its active tasks. A job spread over zones may have at most half of its tasks in one, rounded up.
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

    /// Returns how often a task was preempted.
    pub(super) fn preemptions_of(&self, number: u32) -> u32 {
        self.preemptions.get(&number).copied().unwrap_or(0)
    }

    /// Reports whether the job is faulty: it has failed on several machines and is not known to work, so it will probably
    /// fail until its user cancels it.
    pub(super) fn fails_everywhere(&self, now: Timestamp) -> bool {
        self.failures.machine_count() >= FAULTY_JOB_MIN_MACHINES && !self.is_known_to_work(now)
    }

    /// Reports whether a task has finished or has been running for a while, so that failures are attributed to machines
    /// rather than to the job.
    pub(super) fn is_known_to_work(&self, now: Timestamp) -> bool {
        let has_run = |attempt: &TaskAttempt| {
            attempt.phase == Phase::Running && now > attempt.since + MIN_WORKING_RUN
        };
        self.done.count() > 0 || self.active.values().any(has_run)
    }

    /// Returns how many tasks may be placed now. A job that fails everywhere, other than a gang, is limited to one active task
    /// at a time, so that it neither takes resources from other jobs nor causes machines to be rented.
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

    /// Removes and returns the next pending task; the caller makes it active.
    pub(super) fn take_next_pending(&mut self) -> Option<u32> {
        let (tasks, done, active) = (self.record.spec.tasks, &self.done, &self.active);
        let is_new = |number| !done.contains(number) && !active.contains_key(&number);
        self.pending.take_next(tasks, is_new)
    }

    /// Returns the expected run time of a task on a machine with capability 1, in seconds: the mean of the finished tasks,
    /// or the user's estimate until one has finished. It is 0 for a replica, for which only the time of its start matters:
    /// with a very long run time, a difference of 1 % in capability outweighed any image transfer, and replicas waited for
    /// slots on full machines while others had free resources.
    pub(super) fn expected_run_s(&self) -> f64 {
        match self.spec().kind {
            JobKind::Service => 0.0,
            JobKind::Array | JobKind::Gang => self
                .run_times
                .mean_s()
                .unwrap_or_else(|| self.spec().run_time_estimate_s.max(1.0)),
        }
    }

    /// Records that a task has finished.
    pub(super) fn record_result(&mut self, number: u32) {
        self.done.insert(number);
        self.pending.remove(number);
        self.failures.record_success();
    }

    /// Records that a task has failed on a machine. If the job fails everywhere, its next attempt is delayed.
    pub(super) fn record_failure(&mut self, machine: MachineIndex, now: Timestamp) {
        self.failures.record(machine);
        if self.fails_everywhere(now) {
            self.retry_at = now + self.failures.retry_delay();
        }
    }
}
