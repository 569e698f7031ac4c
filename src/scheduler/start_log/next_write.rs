//! The next write of the log: the choice of its slot, and of the entries that fit into it.

use super::super::attempt::Phase;
use super::super::index::JobIndex;
use super::super::Scheduler;
use super::{LogEntry, SlotWrite};
use crate::store::LoggedJob;

/// Number of slots examined for each write.
const SLOTS_EXAMINED: usize = 4;
/// Estimated length of an entry's text, including its share of the machine's and job's names.
const TYPICAL_ENTRY_BYTES: usize = 48;

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
    /// entries take at most half of the space; otherwise a new slot is created. The space is not only estimated but also
    /// measured: names may be long, and a slot that was written under a higher limit may hold more than may be written now.
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
            .filter(|(count, _)| count * TYPICAL_ENTRY_BYTES <= max_bytes / 2)
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
}
