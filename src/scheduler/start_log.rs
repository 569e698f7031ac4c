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

mod next_write;
mod replay;
mod text;

pub use replay::StoredSlot;
pub(super) use text::is_loggable_name;

use super::attempt::{TaskEvent, TaskId};
use super::index::MachineIndex;
use super::Scheduler;
use crate::store::{LoggedJob, Revision, StartLogWrite};
use std::collections::{BTreeMap, VecDeque};

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
    /// Reports whether an entry is current: whether its attempt is the active attempt of its task, on the same machine.
    fn is_current(&self, entry: &LogEntry) -> bool {
        let job = self.jobs.get(entry.task.job);
        job.and_then(|job| job.active.get(&entry.task.number))
            .is_some_and(|active| {
                active.attempt == entry.attempt && active.machine == entry.machine
            })
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
