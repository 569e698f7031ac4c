//! Jobs: how they become known, are cancelled, and end.

use super::attempt::{TaskEvent, TaskId};
use super::index::{JobIndex, MachineTypeIndex};
use super::job::{Job, JobPlacement};
use super::job_table::DoneChunk;
use super::task_bitmap::TaskBitmap;
use super::Scheduler;
use crate::placement::ResourceClass;
use crate::protocol::JobSpec;
use crate::resources::Resources;
use crate::store::{LiveRecord, Revision};
use std::time::Duration;

/// A job of which every task is done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteJob {
    /// Id.
    pub id: String,
    /// Version of its record.
    pub version: Revision,
    /// The number of its tasks.
    pub tasks: u32,
}

/// How many tasks of a job are done and running, for display.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TaskCounts {
    /// Tasks that have finished.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

impl Scheduler {
    /// Adds a job. `results` holds its stored chunks; `unix_millis` is the time of day now; if it is `cancelled`, only what
    /// runs of it matters.
    pub fn add_job(
        &mut self,
        record: LiveRecord,
        version: Revision,
        results: &[(u32, Vec<u8>)],
        unix_millis: u64,
        cancelled: bool,
    ) {
        if let Some(index) = self.jobs.index_of(&record.spec.id) {
            if cancelled {
                self.cancel(index);
            }
            return;
        }
        let mut saved = TaskBitmap::new(record.spec.tasks);
        for (chunk, bits) in results {
            saved.insert_chunk(*chunk, bits);
        }
        let age = Duration::from_millis(unix_millis.saturating_sub(record.at_ms));
        let submitted_at = self.now().saturating_sub(age);
        let placement = self.job_placement(&record.spec);
        let job = Job::new(record, version, placement, saved, submitted_at, self.now());
        let index = self.jobs.insert(job);
        if cancelled {
            self.cancel(index);
        }
        self.pass_requested = true;
    }

    /// Resolves the names in a job's specification.
    fn job_placement(&mut self, spec: &JobSpec) -> JobPlacement {
        let task_resources = Resources::requested(spec.cpus, spec.gpus, spec.memory_gb);
        let machine_type = |name: &String| {
            self.machine_types
                .index(name)
                .unwrap_or(MachineTypeIndex::UNKNOWN)
        };
        JobPlacement {
            team: self.quotas.team(&spec.team),
            class: ResourceClass::of(task_resources, self.largest_machine()),
            task_resources,
            machine_types: spec
                .machine_types
                .as_ref()
                .map(|names| names.iter().map(machine_type).collect()),
            image: self.images.intern(&spec.image),
            zone: spec.zone.as_ref().map(|zone| self.zones.intern(zone)),
        }
    }

    /// The most that any machine type has of each resource.
    fn largest_machine(&self) -> Resources {
        self.machine_types
            .iter()
            .fold(Resources::ONE, |largest, (_, t)| {
                largest.max(Resources::requested(t.cpus, t.gpus, t.memory_gb))
            })
    }

    /// A job is no longer unfinished: what runs of it is stopped, and counts until it is proven gone.
    pub fn drop_job(&mut self, id: &str) {
        if let Some(index) = self.jobs.index_of(id) {
            self.cancel(index);
        }
    }

    fn cancel(&mut self, index: JobIndex) {
        let job = self.job_mut(index);
        job.cancelled = true;
        for number in job.active.keys().copied().collect::<Vec<_>>() {
            let task = TaskId { job: index, number };
            self.apply_event(task, TaskEvent::Stop { save: false });
        }
        self.pass_requested = true;
    }

    /// Removes cancelled jobs of which nothing can run any more. Those still listed in the store may be dropped there.
    pub fn stopped_jobs(&mut self) -> Vec<String> {
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

    /// Jobs of which every task is done, the oldest first.
    #[must_use]
    pub fn complete_jobs(&self) -> Vec<CompleteJob> {
        self.jobs
            .by_submission()
            .filter(|(_, job)| !job.cancelled && job.is_complete())
            .map(|(_, job)| CompleteJob {
                id: job.id().to_string(),
                version: job.version,
                tasks: job.tasks(),
            })
            .collect()
    }

    /// Results that are not stored yet, at most `max_chunks`, the oldest first.
    #[must_use]
    pub fn unsaved(&self, max_chunks: usize) -> Vec<DoneChunk> {
        self.jobs.unsaved(max_chunks)
    }

    /// Results are durable.
    pub fn saved(&mut self, stored: &DoneChunk) {
        let now = self.now();
        self.jobs.record_saved(stored, now);
    }

    /// Unfinished jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Whether a job is unfinished, or being stopped here.
    #[must_use]
    pub fn has_job(&self, id: &str) -> bool {
        self.jobs.index_of(id).is_some()
    }

    /// A job's done and running tasks, for display.
    #[must_use]
    pub fn task_counts(&self, id: &str) -> Option<TaskCounts> {
        self.jobs
            .index_of(id)
            .map(|index| self.job(index).task_counts())
    }

    /// The done and running tasks of every job, with its id.
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
