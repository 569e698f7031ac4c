//! Jobs at work: what is done, what is pending, what failed.

use super::index::{ImageIndex, JobIndex, MachineIndex, MachineTypeIndex, ZoneIndex};
use super::tasks::{Phase, TaskAttempt, TaskEvent, TaskId};
use super::{Scheduler, FAULTY_JOB_MACHINES, PROVEN_RUN_MS};
use crate::placement;
use crate::protocol::Kind;
use crate::resources::Resources;
use crate::store::{LiveRecord, CHUNK};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// A job at work.
pub struct Job {
    /// Its record.
    pub record: LiveRecord,
    pub(super) version: u64,
    pub(super) submitted: u64,
    pub(super) team: Option<usize>,
    pub(super) image: ImageIndex,
    pub(super) class: usize,
    pub(super) task_resources: Resources,
    pub(super) types: Option<Vec<MachineTypeIndex>>,
    pub(super) zone: Option<ZoneIndex>,
    /// Cancelled: only to be stopped.
    pub(super) ended: bool,
    pub(super) done: Vec<u8>,
    pub(super) saved: Vec<u8>,
    pub(super) done_n: u32,
    pub(super) saved_n: u32,
    pub(super) active: BTreeMap<u32, TaskAttempt>,
    pub(super) cursor: u32,
    pub(super) returned: BTreeSet<u32>,
    pub(super) zone_use: HashMap<ZoneIndex, u32>,
    pub(super) running: u32,
    pub(super) finished_n: u32,
    pub(super) mean_ms: f64,
    pub(super) failed_on: HashSet<MachineIndex>,
    pub(super) failures: u32,
    pub(super) not_before: u64,
    /// When a task of it last found a place, or it became known here.
    pub(super) placed_at: u64,
    pub(super) within: bool,
    /// How often each task was stopped to make room for others.
    pub(super) displaced: BTreeMap<u32, u32>,
}

pub(super) fn bit(bits: &[u8], i: u32) -> bool {
    bits.get(i as usize / 8)
        .is_some_and(|b| b >> (i % 8) & 1 == 1)
}

pub(super) fn set_bit(bits: &mut [u8], i: u32) -> bool {
    let b = &mut bits[i as usize / 8];
    let fresh = *b >> (i % 8) & 1 == 0;
    *b |= 1 << (i % 8);
    fresh
}

/// The bits of the finished tasks of a job and their number, from its stored ranges.
fn restore_results(tasks: u32, stored: &[(u32, Vec<u8>)]) -> (Vec<u8>, u32) {
    let mut bits = vec![0u8; (tasks as usize).div_ceil(8)];
    let mut done = 0;
    for (chunk, range) in stored {
        let from = (*chunk as usize).saturating_mul(CHUNK as usize);
        for i in (0..CHUNK).filter(|i| bit(range, *i)) {
            let task = from + i as usize;
            if task < tasks as usize && set_bit(&mut bits, task as u32) {
                done += 1;
            }
        }
    }
    (bits, done)
}

impl Job {
    pub(super) fn tasks(&self) -> u32 {
        self.record.spec.tasks
    }

    /// Tasks that are neither done nor on a machine.
    #[must_use]
    pub fn pending(&self) -> u32 {
        if self.ended {
            return 0;
        }
        self.tasks() - self.done_n - self.active.len() as u32
    }

    /// Whether it fails wherever it is tried: submitted with a mistake, it goes on failing until its user cancels it.
    pub(super) fn fails_everywhere(&self, now: u64) -> bool {
        self.failed_on.len() >= FAULTY_JOB_MACHINES && !self.proven(now)
    }

    /// Whether a task of it has finished or has run for a while, so that what fails is the machine's fault.
    pub(super) fn proven(&self, now: u64) -> bool {
        let runs = |a: &TaskAttempt| a.phase == Phase::Running && now > a.since + PROVEN_RUN_MS;
        self.done_n > 0 || self.active.values().any(runs)
    }

    /// Tasks that should find a place now: of a job that fails everywhere one at a time, so that it neither takes the room
    /// of others nor has machines rented.
    pub(super) fn wanted(&self, now: u64) -> u32 {
        let pending = self.pending();
        if self.record.spec.kind != Kind::Gang && self.fails_everywhere(now) {
            return if self.active.is_empty() {
                pending.min(1)
            } else {
                0
            };
        }
        pending
    }

    pub(super) fn next_pending(&mut self) -> Option<u32> {
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
    pub(super) fn time_s(&self) -> f64 {
        match self.record.spec.kind {
            Kind::Service => 0.0,
            Kind::Array | Kind::Gang if self.finished_n > 0 => self.mean_ms / 1000.0,
            Kind::Array | Kind::Gang => self.record.spec.estimate_s.max(1.0),
        }
    }
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

impl Scheduler {
    /// Takes in a job. `done` holds its stored ranges; `wall_ms` is the time of day now; `ended`: it was cancelled, and
    /// only what runs of it matters.
    pub fn add_job(
        &mut self,
        record: LiveRecord,
        version: u64,
        done: &[(u32, Vec<u8>)],
        wall_ms: u64,
        ended: bool,
    ) {
        let spec = &record.spec;
        if let Some(&i) = self.job_index.get(&spec.id) {
            if ended {
                self.end_job(i);
            }
            return;
        }
        let id = spec.id.clone();
        let job = self.new_job(record, version, done, wall_ms);
        let i = self.free_jobs.pop().unwrap_or_else(|| self.jobs.push(None));
        let submitted = job.submitted;
        self.jobs[i] = Some(job);
        let at = self
            .by_age
            .partition_point(|k| self.job(*k).submitted <= submitted);
        self.by_age.insert(at, i);
        self.job_index.insert(id, i);
        if ended {
            self.end_job(i);
        }
        self.changed = true;
    }

    /// A job of which nothing is known but its record and its stored results.
    fn new_job(
        &mut self,
        record: LiveRecord,
        version: u64,
        done: &[(u32, Vec<u8>)],
        wall_ms: u64,
    ) -> Job {
        let spec = &record.spec;
        let task_resources = Resources::requested(spec.cpus, spec.gpus, spec.memory_gb);
        let types = spec.types.as_ref();
        let (bits, done_n) = restore_results(spec.tasks, done);
        let age = wall_ms.saturating_sub(record.at_ms);
        Job {
            team: self.params.teams.iter().position(|t| t.name == spec.team),
            image: self.images.add(&spec.image),
            class: placement::class_of(task_resources, self.largest_machine()),
            task_resources,
            types: types.map(|l| {
                l.iter()
                    .map(|t| {
                        self.machine_types
                            .index(t)
                            .unwrap_or(MachineTypeIndex::UNKNOWN)
                    })
                    .collect()
            }),
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
        if let Some(&i) = self.job_index.get(id) {
            self.end_job(i);
        }
    }

    pub(super) fn end_job(&mut self, i: JobIndex) {
        self.job_mut(i).ended = true;
        for t in self.job(i).active.keys().copied().collect::<Vec<_>>() {
            self.apply_event(
                TaskId { job: i, number: t },
                TaskEvent::Stop { save: false },
            );
        }
        self.changed = true;
    }

    /// Cancelled jobs of which nothing can run any more. Those still listed in the store may be dropped there.
    pub fn stopped_jobs(&mut self) -> Vec<String> {
        let over: Vec<JobIndex> = self
            .jobs
            .indices()
            .filter(|&i| {
                self.jobs[i]
                    .as_ref()
                    .is_some_and(|j| j.ended && j.active.is_empty())
            })
            .collect();
        over.into_iter()
            .filter_map(|i| {
                self.by_age.retain(|k| *k != i);
                self.urgent.retain(|k| *k != i);
                let job = self.jobs[i].take()?;
                self.free_jobs.push(i);
                self.dirty.retain(|(j, _), _| *j != i);
                self.machines
                    .values_mut()
                    .flatten()
                    .for_each(|m| m.errors.retain(|e| *e != i));
                self.job_index.remove(&job.record.spec.id);
                Some(job.record.spec.id)
            })
            .collect()
    }

    /// Jobs whose every task is done, the oldest first, with the version of their record.
    #[must_use]
    pub fn complete_jobs(&self) -> Vec<(String, u64, u32)> {
        let jobs = self.by_age.iter().map(|i| self.job(*i));
        jobs.filter(|j| !j.ended && j.done_n == j.tasks())
            .map(|j| (j.record.spec.id.clone(), j.version, j.tasks()))
            .collect()
    }

    /// Finished ranges that are not stored yet, up to `most`, the oldest first.
    #[must_use]
    pub fn unsaved(&self, most: usize) -> Vec<DoneChunk> {
        let mut oldest: Vec<_> = self.dirty.iter().map(|(k, since)| (*since, *k)).collect();
        oldest.sort_unstable();
        let rows = oldest.into_iter().filter_map(|(_, (i, chunk))| {
            let j = self.jobs[i]
                .as_ref()
                .filter(|j| !j.ended && j.done_n < j.tasks())?;
            let from = (chunk * CHUNK) as usize / 8;
            let to = (from + CHUNK as usize / 8).min(j.done.len());
            let bits = j.done[from..to].to_vec();
            Some(DoneChunk {
                job: j.record.spec.id.clone(),
                version: j.version,
                chunk,
                bits,
            })
        });
        rows.take(most).collect()
    }

    /// A range is durable.
    pub fn saved(&mut self, row: &DoneChunk) {
        let Some(&i) = self.job_index.get(&row.job) else {
            return;
        };
        let from = row.chunk * CHUNK;
        let job = self.job_mut(i);
        for n in (0..row.bits.len() as u32 * 8).filter(|n| bit(&row.bits, *n)) {
            if from + n < job.tasks() && set_bit(&mut job.saved, from + n) {
                job.saved_n += 1;
            }
        }
        let (a, b) = (
            (from / 8) as usize,
            ((from + CHUNK) as usize / 8).min(job.done.len()),
        );
        let all = job.done[a..b] == job.saved[a..b];
        // What has finished meanwhile takes its turn behind the others.
        let now = self.now;
        if all {
            self.dirty.remove(&(i, row.chunk))
        } else {
            self.dirty.insert((i, row.chunk), now)
        };
    }
}
