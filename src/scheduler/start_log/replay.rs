//! Replaying the log of earlier epochs, by which a new leader knows where tasks may be.

use super::super::attempt::{Phase, TaskEvent, TaskId};
use super::super::index::MachineIndex;
use super::super::Scheduler;
use super::text::{self, StoredEntry, NO_ADDRESS};
use super::{LogEntry, Slot};
use crate::store::Revision;
use std::collections::BTreeMap;
use std::time::Duration;

/// Clocks are assumed to differ by at most one part in this many while leases of an epoch without a log run.
const LEASE_WAIT_CLOCK_TOLERANCE: u32 = 100;
/// Beside that tolerance.
const LEASE_WAIT_MARGIN: Duration = Duration::from_secs(1);
/// Clocks are assumed to differ by at most one part in this many during the grace period.
const GRACE_CLOCK_TOLERANCE: u32 = 500;

/// A slot as it is stored.
#[derive(Debug, Clone, Copy)]
pub struct StoredSlot<'a> {
    /// Its number.
    pub number: u32,
    /// Its version.
    pub version: Revision,
    /// Its contents.
    pub text: &'a str,
}

/// The start of a task with the largest attempt.
#[derive(Debug, Clone, Copy)]
struct LatestStart {
    /// None: the machine was released.
    machine: Option<MachineIndex>,
    attempt: u64,
}

/// The latest start of each task.
#[derive(Default)]
struct LatestStarts(BTreeMap<TaskId, LatestStart>);

impl LatestStarts {
    /// Processes a start, which counts if it is the latest one of its task.
    fn record(&mut self, task: TaskId, start: LatestStart) {
        let latest = self.0.entry(task).or_insert(start);
        if latest.attempt < start.attempt {
            *latest = start;
        }
    }
}

impl Scheduler {
    /// Places nothing until every lease of the epoch before has surely expired or been renewed by this one. For an epoch
    /// before that kept no log.
    pub fn wait_for_lease_expiry(&mut self) {
        let longest = self.params.grace_period + self.params.lease;
        self.placement_allowed_from =
            self.now() + longest + longest / LEASE_WAIT_CLOCK_TOLERANCE + LEASE_WAIT_MARGIN;
    }

    /// Replays the log of earlier epochs, after the machines and jobs are known: each task's latest entry says where it may
    /// be. Machines that no rental names any more were released, and entries of jobs that are final have no effect.
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
            // What was started there has its image there, or is fetching it. Without this a new leader knew as holders only
            // machines that had reported, and when a zone that had been isolated was back, all of it fetched its images anew.
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

    /// Replays an entry whose machine was released. It may be the latest one of its task.
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

    /// A task may be on a machine since an earlier epoch.
    fn restore_attempt(&mut self, task: TaskId, machine: MachineIndex, attempt: u64) {
        // A stored result was reported by the task's last attempt: nothing of it runs any more.
        if self.job(task.job).done.contains(task.number) {
            return;
        }
        let adopt = TaskEvent::Adopt {
            machine,
            attempt,
            phase: Phase::Sent,
        };
        self.apply_event(task, adopt);
        if self.job(task.job).cancelled {
            self.apply_event(task, TaskEvent::Stop { save: false });
        }
        // An earlier leader may have renewed its lease until its authority to do so ended.
        let grace_period = self.params.grace_period;
        let until = self.now() + grace_period + grace_period / GRACE_CLOCK_TOLERANCE;
        let machine = self.machine_mut(machine);
        machine.contact.expect();
        machine.lease.assume_renewed_until(until);
    }

    /// The entry that a stored one stands for, if its machine, job and task are known.
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
