//! The start log: a write-ahead log of task starts in the state service.
//!
//! A start command is sent only after its log entry is durable. A new leader can therefore determine from the store alone
//! which tasks may be on a machine that has not reported yet, and that no other task is on it.
//!
//! The log consists of a small number of slots, each stored under a key of its own. A write replaces the contents of one
//! slot: it keeps the entries of tasks that are still active and adds new entries. A single write therefore both appends
//! and compacts, no key is ever deleted, and the number of slots follows the number of active tasks. The entry of an ended
//! task remains until its slot is rewritten. If a task has several entries, the one with the largest attempt number is the
//! latest: it was written only after the earlier attempt had been proven gone.

mod replay;
mod text;

pub use replay::StoredSlot;
pub(super) use text::is_loggable_name;

use super::attempt::{Phase, TaskEvent, TaskId};
use super::index::{JobIndex, MachineIndex};
use super::Scheduler;
use crate::store::{LoggedJob, Revision, StartLogWrite};
use std::collections::{BTreeMap, VecDeque};

/// Number of slots examined for each write.
const SLOTS_EXAMINED: usize = 4;
/// A log entry: the start of a task's attempt on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LogEntry {
    task: TaskId,
    machine: MachineIndex,
    attempt: u64,
}

/// A slot's state as last written or read by the leader.
#[derive(Debug, Default)]
struct Slot {
    version: Revision,
    entries: Vec<LogEntry>,
}

/// The leader's in-memory state of the log.
#[derive(Debug, Default)]
pub(super) struct StartLog {
    /// Entries that are not part of any write yet, oldest first.
    unwritten: VecDeque<LogEntry>,
    slots: BTreeMap<u32, Slot>,
    /// The slot that [`Scheduler::choose_slot`] examined last.
    last_examined: u32,
}

impl StartLog {
    /// Queues an entry for one of the next writes.
    pub(super) fn enqueue(&mut self, task: TaskId, machine: MachineIndex, attempt: u64) {
        self.unwritten.push_back(LogEntry {
            task,
            machine,
            attempt,
        });
    }

    /// Reports whether any entries are waiting to be written.
    pub(super) fn has_unwritten(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Returns the version that a slot must have for a write to apply; [`Revision::ZERO`] for a new slot.
    fn version(&self, slot: u32) -> Revision {
        self.slots
            .get(&slot)
            .map_or(Revision::ZERO, |slot| slot.version)
    }
}

/// The slot to be written next, with the entries that it keeps.
struct ChosenSlot {
    number: u32,
    entries: Vec<LogEntry>,
    /// Text of these entries.
    text: String,
}

/// The space of a slot for further entries, in bytes.
#[derive(Debug, Clone, Copy)]
enum SlotSpace {
    /// The slot has no entries yet.
    Empty(usize),
    /// What the entries of the slot leave.
    Left(usize),
}

impl SlotSpace {
    /// Reports whether an entry may follow `count` other ones if all of them together take at most `bytes`. An empty slot admits
    /// any first entry, which cannot be divided.
    fn admits(self, count: usize, bytes: usize) -> bool {
        match self {
            SlotSpace::Empty(space) => count == 0 || bytes <= space,
            SlotSpace::Left(space) => bytes <= space,
        }
    }
}

/// A write of one slot of the log, which makes its entries durable.
#[derive(Debug)]
pub struct SlotWrite {
    /// Number of the slot.
    pub slot: u32,
    /// Version that the slot must have for the write to apply.
    pub version: Revision,
    /// New contents of the slot.
    pub text: String,
    /// Jobs of the starts that are still to be sent; the write applies only if all of them are unfinished.
    pub jobs: Vec<LoggedJob>,
    /// All entries of the slot after the write.
    entries: Vec<LogEntry>,
    /// Entries that the write adds to the log.
    new_entries: Vec<LogEntry>,
}

impl SlotWrite {
    /// Returns the parameters of the store transaction.
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
    /// Returns the next write of the log, or `None` if no entries are waiting. Its starts belong to at most `max_jobs` jobs. Its
    /// text takes at most `max_bytes`, unless it consists of a single entry that is larger.
    pub fn next_log_write(&mut self, max_bytes: usize, max_jobs: usize) -> Option<SlotWrite> {
        let mut unwritten = std::mem::take(&mut self.start_log.unwritten);
        unwritten.retain(|entry| self.is_current(entry));
        if unwritten.is_empty() {
            return None;
        }
        let ChosenSlot {
            number: slot,
            mut entries,
            mut text,
        } = self.choose_slot(max_bytes);
        let mut new_entries = Vec::new();
        let mut jobs = Vec::new();
        loop {
            // Adds as many entries as fit if they share no names, then repeats with the space that remains.
            let space = if text.is_empty() {
                SlotSpace::Empty(max_bytes)
            } else {
                SlotSpace::Left(max_bytes.saturating_sub(text.len()))
            };
            let count = self.count_writable(unwritten.iter(), space, &mut jobs, max_jobs);
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

    /// Chooses the slot to be written next.
    ///
    /// A few slots are examined in each call, round-robin. The one with the fewest current entries is rewritten if these
    /// entries take at most half of the space; otherwise a new slot is created. The space is measured, not estimated: a slot
    /// that was written under a higher limit may hold more than may be written now.
    fn choose_slot(&mut self, max_bytes: usize) -> ChosenSlot {
        let log = &self.start_log;
        let numbers: Vec<u32> = log.slots.keys().copied().collect();
        let first = numbers.partition_point(|number| *number <= log.last_examined);
        let mut examined = (0..numbers.len().min(SLOTS_EXAMINED))
            .map(|offset| numbers[(first + offset) % numbers.len()]);
        let emptiest = examined
            .clone()
            .map(|number| (self.current_entries(number).count(), number))
            .min();
        let rewritten = emptiest
            .map(|(_, number)| self.compacted_slot(number))
            .filter(|slot| slot.text.len() <= max_bytes / 2);
        let last_examined = examined.next_back().unwrap_or(0);
        let chosen = rewritten.unwrap_or_else(|| ChosenSlot {
            number: numbers.last().map_or(0, |last| last + 1),
            entries: Vec::new(),
            text: String::new(),
        });
        self.start_log.last_examined = last_examined;
        chosen
    }

    /// Returns a slot with its current entries only.
    fn compacted_slot(&self, number: u32) -> ChosenSlot {
        let entries: Vec<LogEntry> = self.current_entries(number).collect();
        let text = self.slot_text(&entries);
        ChosenSlot {
            number,
            entries,
            text,
        }
    }

    /// Returns the entries of a slot that are still current.
    fn current_entries(&self, slot: u32) -> impl Iterator<Item = LogEntry> + '_ {
        self.start_log.slots[&slot]
            .entries
            .iter()
            .copied()
            .filter(|entry| self.is_current(entry))
    }

    /// Reports whether an entry is current: whether its attempt is the active attempt of its task, on the same machine.
    fn is_current(&self, entry: &LogEntry) -> bool {
        let job = self.jobs.get(entry.task.job);
        job.and_then(|job| job.active.get(&entry.task.number))
            .is_some_and(|active| {
                active.attempt == entry.attempt && active.machine == entry.machine
            })
    }

    /// Counts the leading entries that fit into the space and into a write whose unsent starts belong to at most `max_jobs`
    /// jobs, and adds these jobs to `jobs`.
    fn count_writable<'a>(
        &self,
        entries: impl Iterator<Item = &'a LogEntry>,
        space: SlotSpace,
        jobs: &mut Vec<JobIndex>,
        max_jobs: usize,
    ) -> usize {
        let (mut count, mut bytes) = (0, 0);
        for entry in entries {
            bytes += self.max_entry_bytes(entry);
            if !space.admits(count, bytes) {
                break;
            }
            let job = entry.task.job;
            if self.is_unsent(entry) && !jobs.contains(&job) {
                if jobs.len() == max_jobs {
                    break;
                }
                jobs.push(job);
            }
            count += 1;
        }
        count
    }

    /// Reports whether the start of an entry is still to be sent. Only such an entry requires its job to be unfinished: an
    /// attempt that a heartbeat has reported exists regardless of the job's state and has to be logged.
    fn is_unsent(&self, entry: &LogEntry) -> bool {
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

    /// Records that a write is durable, so that its starts may be sent.
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

    /// Handles a write that failed or whose outcome is unknown: queues its new entries again. `found` is the slot's current
    /// version and text, if they were read.
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
