//! The table of all jobs in the scheduler, in the order of their submission, with the results that are not durable yet.

use super::attempt::TaskId;
use super::index::{JobIndex, Table};
use super::job::Job;
use crate::store::{Revision, TASKS_PER_CHUNK};
use crate::time::Timestamp;
use std::collections::{BTreeMap, HashMap};
use std::ops::{Index, IndexMut};

/// Identifies a range of a job's tasks whose results are stored as one value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ChunkId {
    job: JobIndex,
    chunk: u32,
}

/// The results of one chunk of a job's tasks, to be written to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DoneChunk {
    /// Id of the job.
    pub job: String,
    /// Version of the job's record.
    pub version: Revision,
    /// Number of the chunk.
    pub chunk: u32,
    /// The value to be stored: one bit for each task, set if the task has finished.
    pub bits: Vec<u8>,
}

/// All unfinished jobs, and final jobs with tasks that may still be running.
#[derive(Default)]
pub(super) struct JobTable {
    jobs: Table<JobIndex, Option<Job>>,
    /// Indices of removed jobs, to be reused.
    free_indices: Vec<JobIndex>,
    by_id: HashMap<String, JobIndex>,
    /// All jobs, the oldest submission first.
    by_submission: Vec<JobIndex>,
    /// Chunks with results that are not stored yet, and since when they have waited.
    unstored_since: BTreeMap<ChunkId, Timestamp>,
}

impl JobTable {
    /// Inserts a job and returns its index.
    pub(super) fn insert(&mut self, job: Job) -> JobIndex {
        let submitted_at = job.submitted_at;
        let id = job.id().to_string();
        let index = self
            .free_indices
            .pop()
            .unwrap_or_else(|| self.jobs.push(None));
        self.jobs[index] = Some(job);
        let position = self
            .by_submission
            .partition_point(|other| self[*other].submitted_at <= submitted_at);
        self.by_submission.insert(position, index);
        self.by_id.insert(id, index);
        index
    }

    /// Removes and returns a job. Its index may be reused.
    pub(super) fn remove(&mut self, index: JobIndex) -> Option<Job> {
        let job = self.jobs[index].take()?;
        self.by_submission.retain(|other| *other != index);
        self.free_indices.push(index);
        self.unstored_since.retain(|chunk, _| chunk.job != index);
        self.by_id.remove(job.id());
        Some(job)
    }

    /// Returns a job, if it is present.
    pub(super) fn get(&self, index: JobIndex) -> Option<&Job> {
        self.jobs.get(index)?.as_ref()
    }

    /// Returns the index of the job with an id.
    pub(super) fn index_of(&self, id: &str) -> Option<JobIndex> {
        self.by_id.get(id).copied()
    }

    /// Returns all jobs in the order of their indices.
    pub(super) fn values(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().flatten()
    }

    /// Returns mutable references to all jobs.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.jobs.values_mut().flatten()
    }

    /// Returns all jobs with their indices, the oldest submission first.
    pub(super) fn by_submission(&self) -> impl Iterator<Item = (JobIndex, &Job)> {
        self.by_submission
            .iter()
            .map(|index| (*index, &self[*index]))
    }

    /// Returns the number of jobs.
    pub(super) fn len(&self) -> usize {
        self.by_submission.len()
    }

    /// Returns the job at a position in the order of submission.
    pub(super) fn nth_oldest(&self, position: usize) -> JobIndex {
        self.by_submission[position]
    }

    /// Returns the final jobs whose tasks are all proven gone.
    pub(super) fn stopped(&self) -> Vec<JobIndex> {
        let stopped = |job: &Job| job.is_final && job.active.is_empty();
        self.jobs
            .iter()
            .filter(|(_, job)| job.as_ref().is_some_and(stopped))
            .map(|(index, _)| index)
            .collect()
    }

    /// Records that a task has finished and its result has to be stored.
    pub(super) fn mark_unstored(&mut self, task: TaskId, now: Timestamp) {
        let chunk = ChunkId {
            job: task.job,
            chunk: task.number / TASKS_PER_CHUNK,
        };
        self.unstored_since.entry(chunk).or_insert(now);
    }

    /// Returns at most `max_chunks` chunks with results that are not stored yet, the longest waiting first. Chunks of complete
    /// jobs are left out, since such a job is recorded as finished as a whole.
    pub(super) fn unstored_chunks(
        &self,
        max_chunks: usize,
        max_bitmap_bytes: usize,
    ) -> Vec<DoneChunk> {
        let mut oldest: Vec<(Timestamp, ChunkId)> = self
            .unstored_since
            .iter()
            .map(|(chunk, since)| (*since, *chunk))
            .collect();
        oldest.sort_unstable();
        oldest
            .into_iter()
            .filter_map(|(_, chunk)| self.done_chunk(chunk))
            .filter(|chunk| chunk.bits.len() <= max_bitmap_bytes)
            .take(max_chunks)
            .collect()
    }

    fn done_chunk(&self, chunk: ChunkId) -> Option<DoneChunk> {
        let job = self
            .get(chunk.job)
            .filter(|job| !job.is_final && !job.is_complete())?;
        Some(DoneChunk {
            job: job.id().to_string(),
            version: job.version,
            chunk: chunk.chunk,
            bits: job.done.chunk(chunk.chunk).to_vec(),
        })
    }

    /// Records that the results of a chunk are stored durably.
    pub(super) fn record_stored(&mut self, stored: &DoneChunk, now: Timestamp) {
        let Some(index) = self.index_of(&stored.job) else {
            return;
        };
        let job = &mut self[index];
        job.stored.insert_chunk(stored.chunk, &stored.bits);
        let all_stored = job.done.chunk(stored.chunk) == job.stored.chunk(stored.chunk);
        let chunk = ChunkId {
            job: index,
            chunk: stored.chunk,
        };
        if all_stored {
            self.unstored_since.remove(&chunk);
        } else {
            // More tasks have finished since the chunk was read: it waits again, behind the other chunks.
            self.unstored_since.insert(chunk, now);
        }
    }
}

const JOB_IS_PRESENT: &str = "indices of jobs are only kept while the job is present";

impl Index<JobIndex> for JobTable {
    type Output = Job;

    fn index(&self, index: JobIndex) -> &Job {
        self.jobs[index].as_ref().expect(JOB_IS_PRESENT)
    }
}

impl IndexMut<JobIndex> for JobTable {
    fn index_mut(&mut self, index: JobIndex) -> &mut Job {
        self.jobs[index].as_mut().expect(JOB_IS_PRESENT)
    }
}
