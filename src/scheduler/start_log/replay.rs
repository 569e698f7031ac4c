//! Replay of the start log at the beginning of an epoch, from which a new leader learns where tasks may be.

use super::super::attempt::{Phase, TaskEvent, TaskId};
use super::super::index::MachineIndex;
use super::super::Scheduler;
use super::text::{self, StoredEntry, NO_ADDRESS};
use super::{LogEntry, Slot};
use crate::store::Revision;
use std::collections::BTreeMap;
use std::time::Duration;

/// Assumed bound on clock drift, as a divisor of the wait, while leases of an epoch without a start log expire.
const LEASE_WAIT_DRIFT_DIVISOR: u32 = 100;
/// Fixed margin that is added to the drift tolerance of that wait.
const LEASE_WAIT_MARGIN: Duration = Duration::from_secs(1);
/// Assumed bound on clock drift during the grace period, as a divisor of that period.
const GRACE_DRIFT_DIVISOR: u32 = 500;

/// A slot as read from the store.
#[derive(Debug, Clone, Copy)]
pub struct StoredSlot<'a> {
    /// Number of the slot.
    pub number: u32,
    /// Version of its key.
    pub version: Revision,
    /// Stored contents.
    pub text: &'a str,
}

/// A task's start with the largest attempt number seen so far.
#[derive(Debug, Clone, Copy)]
struct LatestStart {
    /// `None` if the machine was released.
    machine: Option<MachineIndex>,
    attempt: u64,
}

/// The latest start of each task in the log.
#[derive(Default)]
struct LatestStarts(BTreeMap<TaskId, LatestStart>);

impl LatestStarts {
    /// Keeps a start if its attempt number is the largest of its task so far.
    fn record(&mut self, task: TaskId, start: LatestStart) {
        let latest = self.0.entry(task).or_insert(start);
        if latest.attempt < start.attempt {
            *latest = start;
        }
    }
}

impl Scheduler {
    /// Suspends placement until every worker lease of the previous epoch has expired or has been renewed in this epoch. Used
    /// if the previous epoch kept no start log, so that the log does not tell where its tasks may be.
    pub fn wait_for_lease_expiry(&mut self) {
        let longest = self.params.grace_period + self.params.lease_duration;
        self.placement_allowed_from =
            self.now() + longest + longest / LEASE_WAIT_DRIFT_DIVISOR + LEASE_WAIT_MARGIN;
    }

    /// Replays the log of earlier epochs; machines and jobs must have been loaded before. The latest entry of each task tells
    /// on which machine the task may be. A machine without a rental record has been released. Entries of final jobs have no
    /// effect.
    pub fn replay_start_log<'a>(&mut self, slots: impl Iterator<Item = StoredSlot<'a>>) {
        let mut latest = LatestStarts::default();
        for slot in slots {
            self.replay_slot(slot, &mut latest);
        }
        for (task, start) in latest.0 {
            if let Some(machine) = start.machine {
                self.restore_attempt(task, machine, start.attempt);
            }
        }
    }

    /// Loads a slot and collects the latest start of each task in it.
    fn replay_slot(&mut self, slot: StoredSlot, latest: &mut LatestStarts) {
        let mut entries = Vec::new();
        for stored in text::parse(slot.text) {
            let Some(entry) = self.resolve(&stored) else {
                self.replay_released(&stored, latest);
                continue;
            };
            if stored.address != NO_ADDRESS {
                let machine = self.machine_mut(entry.machine);
                machine.contact.set_address_if_unknown(stored.address);
            }
            entries.push(entry);
            // A machine on which a task was started holds the task's image or is fetching it. When only machines that had
            // reported were recorded as holders, all machines of an isolated zone fetched their images again once the zone
            // was reachable.
            let image = self.job(entry.task.job).image;
            self.record_image_holder(entry.machine, image);
            let start = LatestStart {
                machine: Some(entry.machine),
                attempt: entry.attempt,
            };
            latest.record(entry.task, start);
        }
        let version = slot.version;
        self.start_log
            .slots
            .insert(slot.number, Slot { version, entries });
    }

    /// Replays an entry that could not be resolved. If its machine was released, the entry may still be the latest one of its
    /// task, in which case the task is on no machine.
    fn replay_released(&self, stored: &StoredEntry, latest: &mut LatestStarts) {
        let Some(job) = self.jobs.index_of(stored.job) else {
            return;
        };
        if self.is_known(stored.machine) {
            return;
        }
        let task = TaskId {
            job,
            number: stored.task_number,
        };
        let start = LatestStart {
            machine: None,
            attempt: stored.attempt,
        };
        latest.record(task, start);
    }

    /// Restores an attempt of an earlier epoch that may still be on its machine.
    fn restore_attempt(&mut self, task: TaskId, machine: MachineIndex, attempt: u64) {
        // A stored result was reported by the task's last attempt, so no attempt of the task is running any more.
        if self.job(task.job).done.contains(task.number) {
            return;
        }
        let adopt = TaskEvent::Adopt {
            machine,
            attempt,
            phase: Phase::Sent,
        };
        self.apply_event(task, adopt);
        if self.job(task.job).is_final {
            self.apply_event(task, TaskEvent::Stop { save: false });
        }
        // The earlier leader may have renewed the machine's lease until the end of its grace period.
        let grace_period = self.params.grace_period;
        let until = self.now() + grace_period + grace_period / GRACE_DRIFT_DIVISOR;
        let machine = self.machine_mut(machine);
        machine.contact.expect_heartbeats();
        machine.lease.assume_renewed_until(until);
    }

    /// Maps a stored entry to the indices of its machine and job; `None` if its machine, job or task is unknown.
    pub(super) fn resolve(&self, stored: &StoredEntry) -> Option<LogEntry> {
        let machine = self.machines.index_of(stored.machine)?;
        let job = self.jobs.index_of(stored.job)?;
        let task = TaskId {
            job,
            number: stored.task_number,
        };
        (task.number < self.job(job).tasks()).then_some(LogEntry {
            task,
            machine,
            attempt: stored.attempt,
        })
    }
}
