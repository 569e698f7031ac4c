//! The text format in which a slot is stored.
//!
//! ```text
//! slot    = machine *( ";" machine )
//! machine = name " " address *( " /" job-id *( " " task ) )
//! task    = task number in decimal "." attempt number in hexadecimal
//! ```
//!
//! Example: `m-1 10.0.0.1:80 /job-1 0.5000001 1.5000002;m-2 10.0.0.2:80 /job-1 2.5000003`

use super::super::index::MachineIndex;
use super::super::Scheduler;
use super::LogEntry;
use std::fmt::Write;

/// Placeholder for an address that is unknown or can't be represented in the text.
pub(super) const NO_ADDRESS: &str = "-";
/// Maximum length of a name in the text.
const MAX_NAME_BYTES: usize = 100;
/// Maximum length of a `task` in the text: a task number of 32 bits in decimal, a dot, an attempt number of 64 bits in hexadecimal.
const MAX_ATTEMPT_BYTES: usize = 10 + 1 + 16;
/// Length of the separators of an entry that shares no name with another one: `;`, ` `, ` /` and ` `.
const SEPARATOR_BYTES: usize = 5;
/// Estimated length of an entry's text, by which buffers are allocated.
const ENTRY_CAPACITY: usize = 24;

/// An entry as parsed from the text, with names that are not resolved to indices yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct StoredEntry<'a> {
    pub(super) machine: &'a str,
    pub(super) address: &'a str,
    pub(super) job: &'a str,
    pub(super) task_number: u32,
    pub(super) attempt: u64,
}

/// Reports whether a name can be represented in the text of the log.
pub(in crate::scheduler) fn is_loggable_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && !name.contains([' ', ';', '/', '"', '\\'])
        && name.is_ascii()
}

/// Parses the text of a slot. Malformed parts are skipped.
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

/// Parses the task number and the attempt number of a `task`.
fn parse_attempt(word: &str) -> Option<(u32, u64)> {
    let (number, attempt) = word.split_once('.')?;
    let number = number.parse().ok()?;
    let attempt = u64::from_str_radix(attempt, 16).ok()?;
    Some((number, attempt))
}

impl Scheduler {
    /// Formats entries as the text of a slot.
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

    /// Appends the name and the address of an entry's machine.
    fn write_machine(&self, text: &mut String, entry: &LogEntry) {
        text.push_str(self.machine(entry.machine).name());
        text.push(' ');
        text.push_str(self.logged_address(entry.machine));
    }

    /// Returns the address of a machine as the text contains it.
    fn logged_address(&self, machine: MachineIndex) -> &str {
        let address = self.machine(machine).contact.address();
        if is_loggable_name(address) {
            address
        } else {
            NO_ADDRESS
        }
    }

    /// Returns the number of bytes that an entry adds to the text of a slot at most, when it shares neither its machine nor its
    /// job with another entry.
    pub(super) fn max_entry_bytes(&self, entry: &LogEntry) -> usize {
        let machine = self.machine(entry.machine).name().len();
        let address = self.logged_address(entry.machine).len();
        let job = self.job(entry.task.job).record.spec.id.len();
        machine + address + job + MAX_ATTEMPT_BYTES + SEPARATOR_BYTES
    }
}
