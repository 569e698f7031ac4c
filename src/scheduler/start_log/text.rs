//! The stored text of a slot.
//!
//! Machines are separated by `;`. Each is its name and its address, followed by its jobs, each `/` and the job's id followed
//! by its tasks, each the task's number in decimal, `.` and the attempt in hexadecimal; all separated by spaces:
//! `m-1 10.0.0.1:80 /job-1 0.5000001 1.5000002;m-2 10.0.0.2:80 /job-1 2.5000003`.

use super::super::Scheduler;
use super::LogEntry;
use std::fmt::Write;

/// Stands for an address that is unknown or can't be in the text.
pub(super) const NO_ADDRESS: &str = "-";
/// The longest name that can be in the text.
const MAX_NAME_BYTES: usize = 100;
/// About the length of an entry's text, for the size of buffers.
const ENTRY_CAPACITY: usize = 24;

/// An entry as it stands in the text.
#[derive(Debug, Clone, Copy)]
pub(super) struct StoredEntry<'a> {
    pub(super) machine: &'a str,
    pub(super) address: &'a str,
    pub(super) job: &'a str,
    pub(super) task_number: u32,
    pub(super) attempt: u64,
}

/// Whether a name can be in the text of the log.
pub(in crate::scheduler) fn is_loggable_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && !name.contains([' ', ';', '/', '"', '\\'])
        && name.is_ascii()
}

/// Reads a slot's text. What is malformed is left out.
pub(super) fn parse(text: &str) -> Vec<StoredEntry<'_>> {
    let mut entries = Vec::new();
    for section in text.split(';') {
        let mut words = section.split(' ');
        let (Some(machine), Some(address)) = (words.next(), words.next()) else {
            continue;
        };
        let mut job = None;
        for word in words {
            if let Some(id) = word.strip_prefix('/') {
                job = Some(id);
            } else if let (Some(job), Some((task_number, attempt))) = (job, parse_attempt(word)) {
                entries.push(StoredEntry {
                    machine,
                    address,
                    job,
                    task_number,
                    attempt,
                });
            }
        }
    }
    entries
}

/// Reads a task's number and its attempt.
fn parse_attempt(word: &str) -> Option<(u32, u64)> {
    let (number, attempt) = word.split_once('.')?;
    let number = number.parse().ok()?;
    let attempt = u64::from_str_radix(attempt, 16).ok()?;
    Some((number, attempt))
}

impl Scheduler {
    /// The text of a slot with these entries.
    pub(super) fn slot_text(&self, entries: &[LogEntry]) -> String {
        let mut sorted: Vec<&LogEntry> = entries.iter().collect();
        sorted.sort_unstable_by_key(|entry| (entry.machine, entry.task));
        let mut text = String::with_capacity(entries.len() * ENTRY_CAPACITY);
        let (mut machine, mut job) = (None, None);
        for entry in sorted {
            if machine != Some(entry.machine) {
                if machine.is_some() {
                    text.push(';');
                }
                self.write_machine(&mut text, entry);
                (machine, job) = (Some(entry.machine), None);
            }
            if job != Some(entry.task.job) {
                text.push_str(" /");
                text.push_str(&self.job(entry.task.job).record.spec.id);
                job = Some(entry.task.job);
            }
            write!(text, " {}.{:x}", entry.task.number, entry.attempt)
                .expect("writing to a string never fails");
        }
        text
    }

    /// Writes the name and the address of an entry's machine.
    fn write_machine(&self, text: &mut String, entry: &LogEntry) {
        let machine = self.machine(entry.machine);
        let address = if is_loggable_name(machine.contact.address()) {
            machine.contact.address()
        } else {
            NO_ADDRESS
        };
        text.push_str(machine.name());
        text.push(' ');
        text.push_str(address);
    }
}
