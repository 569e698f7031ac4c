//! The start log: a write-ahead log of task starts in the state service.
//!
//! A start is sent only after its entry here is durable. So a new leader knows from the store alone which tasks a machine
//! that has not reported yet may hold, and that it holds no others.
//!
//! The log is a small set of slots, one key of the store each. A write replaces one slot: it keeps the slot's entries of
//! tasks that are still active and adds new ones. One write is enough, nothing has to be deleted, and the number of slots
//! follows the number of active tasks. The entry of a task that has ended stays until its slot is written again. Of two
//! entries for one task the one with the larger attempt is the later one; it was written after the earlier attempt had been
//! proven gone.

mod replay;
mod text;

pub use replay::StoredSlot;
pub(super) use text::is_loggable_name;

use super::attempt::{Phase, TaskEvent, TaskId};
use super::index::{JobIndex, MachineIndex};
use super::Scheduler;
use crate::store::{LoggedJob, Revision, StartLogWrite};
use std::collections::{BTreeMap, VecDeque};

/// How many slots are examined for each write.
const SLOTS_EXAMINED: usize = 4;
/// About the length of an entry's text, with its share of the names of its machine and job.
const TYPICAL_ENTRY_BYTES: usize = 48;
/// An entry's text is shorter than this in nearly every case.
const LONG_ENTRY_BYTES: usize = 128;

/// A start in the log: an attempt of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LogEntry {
    task: TaskId,
    machine: MachineIndex,
    attempt: u64,
}

/// A slot as the leader last wrote or read it.
#[derive(Debug, Default)]
struct Slot {
    version: Revision,
    entries: Vec<LogEntry>,
}

/// The log as its leader knows it.
#[derive(Debug, Default)]
pub(super) struct StartLog {
    /// Entries that are in no write yet, the oldest first.
    unwritten: VecDeque<LogEntry>,
    slots: BTreeMap<u32, Slot>,
    /// The slot that was examined last.
    last_examined: u32,
}

impl StartLog {
    /// Adds an entry, which is durable after one of the next writes.
    pub(super) fn enqueue(&mut self, task: TaskId, machine: MachineIndex, attempt: u64) {
        self.unwritten.push_back(LogEntry {
            task,
            machine,
            attempt,
        });
    }

    /// Whether entries wait to be written.
    pub(super) fn has_unwritten(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// The version that a slot must have to be written; [`Revision::ZERO`] for a new one.
    fn version(&self, slot: u32) -> Revision {
        self.slots
            .get(&slot)
            .map_or(Revision::ZERO, |slot| slot.version)
    }
}

/// A write of the log, which makes starts durable.
#[derive(Debug)]
pub struct SlotWrite {
    /// Slot.
    pub slot: u32,
    /// Version that the slot must have.
    pub version: Revision,
    /// Its new contents.
    pub text: String,
    /// Jobs of the new starts.
    pub jobs: Vec<LoggedJob>,
    /// All entries of the slot.
    entries: Vec<LogEntry>,
    /// Those that were not in the log before.
    new_entries: Vec<LogEntry>,
}

impl SlotWrite {
    /// What it writes to the store.
    #[must_use]
    pub fn start_log_write(&self) -> StartLogWrite<'_> {
        StartLogWrite {
            slot: self.slot,
            version: self.version,
            text: &self.text,
            jobs: &self.jobs,
        }
    }
}

impl Scheduler {
    /// The next write of the log, at most `max_bytes` long and with starts of at most `max_jobs` jobs; none if no entry waits
    /// to be written.
    pub fn next_log_write(&mut self, max_bytes: usize, max_jobs: usize) -> Option<SlotWrite> {
        let mut unwritten = std::mem::take(&mut self.start_log.unwritten);
        unwritten.retain(|entry| self.is_current(entry));
        if unwritten.is_empty() {
            return None;
        }
        let (slot, mut entries) = self.choose_slot(max_bytes);
        let mut text = self.slot_text(&entries);
        let mut new_entries = Vec::new();
        let mut jobs = Vec::new();
        while !unwritten.is_empty() && text.len() < max_bytes {
            // As many as surely fit, then again with what is left.
            let fitting = (max_bytes - text.len()) / LONG_ENTRY_BYTES;
            let count = self.count_writable(unwritten.iter().take(fitting), &mut jobs, max_jobs);
            if count == 0 {
                break;
            }
            new_entries.extend(unwritten.drain(..count));
            entries.extend(&new_entries[new_entries.len() - count..]);
            text = self.slot_text(&entries);
        }
        self.start_log.unwritten = unwritten;
        if new_entries.is_empty() {
            return None;
        }
        Some(SlotWrite {
            slot,
            version: self.start_log.version(slot),
            text,
            jobs: jobs.into_iter().map(|job| self.logged_job(job)).collect(),
            entries,
            new_entries,
        })
    }

    /// The slot to be written next, and its entries that are still current.
    ///
    /// A few slots are examined in turn. The one with the fewest current entries is written again if they take at most half
    /// of the space; otherwise a new slot is used.
    fn choose_slot(&mut self, max_bytes: usize) -> (u32, Vec<LogEntry>) {
        let log = &self.start_log;
        let numbers: Vec<u32> = log.slots.keys().copied().collect();
        let first = numbers.partition_point(|number| *number <= log.last_examined);
        let mut examined = (0..numbers.len().min(SLOTS_EXAMINED))
            .map(|offset| numbers[(first + offset) % numbers.len()]);
        let emptiest = examined
            .clone()
            .map(|number| (self.current_entries(number).count(), number))
            .min()
            .filter(|(count, _)| count * TYPICAL_ENTRY_BYTES <= max_bytes / 2);
        let chosen = match emptiest {
            Some((_, number)) => (number, self.current_entries(number).collect()),
            None => (numbers.last().map_or(0, |last| last + 1), Vec::new()),
        };
        self.start_log.last_examined = examined.next_back().unwrap_or(0);
        chosen
    }

    /// The entries of a slot that are still current.
    fn current_entries(&self, slot: u32) -> impl Iterator<Item = LogEntry> + '_ {
        self.start_log.slots[&slot]
            .entries
            .iter()
            .copied()
            .filter(|entry| self.is_current(entry))
    }

    /// Whether an entry's attempt is the one that is, or may be, on its machine.
    fn is_current(&self, entry: &LogEntry) -> bool {
        let job = self.jobs.get(entry.task.job);
        job.and_then(|job| job.active.get(&entry.task.number))
            .is_some_and(|active| {
                active.attempt == entry.attempt && active.machine == entry.machine
            })
    }

    /// How many of the entries may be in one write that has starts of at most `max_jobs` jobs. Their jobs are added to `jobs`.
    fn count_writable<'a>(
        &self,
        entries: impl Iterator<Item = &'a LogEntry>,
        jobs: &mut Vec<JobIndex>,
        max_jobs: usize,
    ) -> usize {
        let mut count = 0;
        for entry in entries {
            let job = entry.task.job;
            if self.is_to_start(entry) && !jobs.contains(&job) {
                if jobs.len() == max_jobs {
                    break;
                }
                jobs.push(job);
            }
            count += 1;
        }
        count
    }

    /// Whether an entry is of a start that is still to be sent. What a heartbeat has shown is there, whatever has become of
    /// its job; only a start needs an unfinished job.
    fn is_to_start(&self, entry: &LogEntry) -> bool {
        self.attempt(entry.task)
            .is_some_and(|active| active.phase == Phase::Assigned)
    }

    fn logged_job(&self, job: JobIndex) -> LoggedJob {
        let job = self.job(job);
        LoggedJob {
            id: job.record.spec.id.clone(),
            version: job.version,
        }
    }

    /// A write is durable: its starts may be sent.
    pub fn log_write_applied(&mut self, write: SlotWrite, version: Revision) {
        let slot = Slot {
            version,
            entries: write.entries,
        };
        self.start_log.slots.insert(write.slot, slot);
        for entry in write.new_entries {
            if self.is_current(&entry) {
                self.apply_event(entry.task, TaskEvent::Logged);
            }
        }
    }

    /// A write failed, or its outcome is unknown: its starts wait for another one. `found` is what the slot holds now: its
    /// version and its text.
    pub fn log_write_failed(&mut self, write: SlotWrite, found: Option<(Revision, &str)>) {
        for entry in write.new_entries.into_iter().rev() {
            self.start_log.unwritten.push_front(entry);
        }
        if let Some((version, text)) = found {
            let entries = text::parse(text)
                .into_iter()
                .filter_map(|stored| self.resolve(&stored))
                .collect();
            self.start_log
                .slots
                .insert(write.slot, Slot { version, entries });
        }
    }
}
