//! The life cycle of jobs in the scheduler: adding, stopping and removing them, and saving their results.

use super::attempt::{TaskEvent, TaskId};
use super::index::{JobIndex, MachineTypeIndex};
use super::job::{Job, JobPlacement};
use super::job_table::DoneChunk;
use super::task_bitmap::TaskBitmap;
use super::Scheduler;
use crate::placement::ResourceClass;
use crate::protocol::JobSpec;
use crate::resources::Resources;
use crate::store::{JobRecord, Revision};
use std::time::Duration;

/// A job whose tasks have all finished.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteJob {
    /// The job's id.
    pub id: String,
    /// Version of the job's record.
    pub version: Revision,
    /// Number of tasks of the job.
    pub tasks: u32,
}

/// Numbers of done and running tasks of a job, for display.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TaskCounts {
    /// Number of tasks that have finished.
    pub done: u32,
    /// Number of tasks that are running or being stopped.
    pub running: u32,
}

impl Scheduler {
    /// Adds a job unless it is present. `results` holds the stored chunks of its finished tasks, and `unix_millis` is the
    /// current Unix time, from which the job's age follows. If it `is_final`, its tasks are only stopped; this also applies
    /// to a job that is present already.
    pub fn add_job(
        &mut self,
        record: JobRecord,
        version: Revision,
        results: &[(u32, Vec<u8>)],
        unix_millis: u64,
        is_final: bool,
    ) {
        if let Some(index) = self.jobs.index_of(&record.spec.id) {
            if is_final {
                self.mark_final(index);
            }
            return;
        }
        let mut stored = TaskBitmap::new(record.spec.tasks);
        for (chunk, bits) in results {
            stored.insert_chunk(*chunk, bits);
        }
        let age = Duration::from_millis(unix_millis.saturating_sub(record.at_ms));
        let submitted_at = self.now().saturating_sub(age);
        let placement = self.job_placement(&record.spec);
        let job = Job::new(record, version, placement, stored, submitted_at, self.now());
        let index = self.jobs.insert(job);
        if is_final {
            self.mark_final(index);
        }
        self.pass_requested = true;
    }

    /// Resolves the names of team, machine types, image and zone in a job's specification.
    fn job_placement(&mut self, spec: &JobSpec) -> JobPlacement {
        let task_resources = Resources::requested(spec.cpus, spec.gpus, spec.memory_gb);
        let machine_type = |name: &String| {
            self.machine_types
                .index(name)
                .unwrap_or(MachineTypeIndex::UNKNOWN)
        };
        JobPlacement {
            team: self.quotas.team(&spec.team),
            resource_class: ResourceClass::of(task_resources, self.largest_machine()),
            task_resources,
            machine_types: spec
                .machine_types
                .as_ref()
                .map(|names| names.iter().map(machine_type).collect()),
            image: self.images.intern(&spec.image),
            zone: spec.zone.as_ref().map(|zone| self.zones.intern(zone)),
        }
    }

    /// Returns the largest amount of each resource that any machine type has.
    fn largest_machine(&self) -> Resources {
        self.machine_types
            .iter()
            .fold(Resources::ONE, |largest, (_, t)| {
                largest.max(Resources::requested(t.cpus, t.gpus, t.memory_gb))
            })
    }

    /// Stops the tasks of a job that has become final: it was cancelled or is done. Each counts for its team and
    /// zone until it is proven gone.
    pub fn stop_job(&mut self, id: &str) {
        if let Some(index) = self.jobs.index_of(id) {
            self.mark_final(index);
        }
    }

    fn mark_final(&mut self, index: JobIndex) {
        let job = self.job_mut(index);
        job.is_final = true;
        for number in job.active.keys().copied().collect::<Vec<_>>() {
            let task = TaskId { job: index, number };
            self.apply_event(task, TaskEvent::Stop { save: false });
        }
        self.pass_requested = true;
    }

    /// Removes final jobs whose tasks are all proven gone, and returns their ids. Where the store still lists one of them,
    /// the entry may be deleted.
    pub fn remove_stopped_jobs(&mut self) -> Vec<String> {
        let mut ids = Vec::new();
        for index in self.jobs.stopped() {
            self.unplaced_production.retain(|other| *other != index);
            for machine in self.machines.values_mut() {
                machine.health.forget_job(index);
            }
            if let Some(job) = self.jobs.remove(index) {
                ids.push(job.record.spec.id);
            }
        }
        ids
    }

    /// Returns the jobs whose tasks have all finished, the oldest submission first.
    #[must_use]
    pub fn complete_jobs(&self) -> Vec<CompleteJob> {
        self.jobs
            .by_submission()
            .filter(|(_, job)| !job.is_final && job.is_complete())
            .map(|(_, job)| CompleteJob {
                id: job.id().to_string(),
                version: job.version,
                tasks: job.tasks(),
            })
            .collect()
    }

    /// Returns at most `max_chunks` chunks with results that are not stored yet, the longest waiting first. Chunks whose bitmap
    /// takes more than `max_bitmap_bytes` are left out: their results remain on the machines.
    #[must_use]
    pub fn unstored_chunks(&self, max_chunks: usize, max_bitmap_bytes: usize) -> Vec<DoneChunk> {
        self.jobs.unstored_chunks(max_chunks, max_bitmap_bytes)
    }

    /// Records that the results of a chunk are stored durably.
    pub fn record_stored(&mut self, stored: &DoneChunk) {
        let now = self.now();
        self.jobs.record_stored(stored, now);
    }

    /// Returns all jobs that are unfinished or still being stopped.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Reports whether a job is unfinished or still being stopped.
    #[must_use]
    pub fn has_job(&self, id: &str) -> bool {
        self.jobs.index_of(id).is_some()
    }

    /// Returns the numbers of done and running tasks of a job, for display.
    #[must_use]
    pub fn task_counts(&self, id: &str) -> Option<TaskCounts> {
        self.jobs
            .index_of(id)
            .map(|index| self.job(index).task_counts())
    }

    /// Returns the numbers of done and running tasks of every job, with its id.
    pub fn all_task_counts(&self) -> impl Iterator<Item = (&str, TaskCounts)> {
        self.jobs().map(|job| (job.id(), job.task_counts()))
    }
}

impl Job {
    fn task_counts(&self) -> TaskCounts {
        TaskCounts {
            done: self.done.count(),
            running: self.running,
        }
    }
}
