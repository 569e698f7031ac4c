//! The start log: a start is sent only after its line here is durable, so that a new leader knows from the store alone which
//! tasks an unheard machine may hold, and that it holds no others.
//!
//! The log is a small set of slots, one key each. An append takes a slot of which little is still at work, carries that
//! over and adds the new lines: one write, nothing to delete, and the number of slots follows the tasks at work. A line of
//! a task that has ended since stays until its slot is taken; of two lines for one task the larger attempt is the later
//! one, and it was written after the earlier one had been proven gone.

use super::index::MachineIndex;
use super::jobs::bit;
use super::tasks::{Phase, TaskEvent, TaskId};
use super::Scheduler;
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;

/// A start that is or will be in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Line {
    task: TaskId,
    machine: MachineIndex,
    attempt: u64,
}

/// The latest start of a task in the log.
#[derive(Debug, Clone, Copy)]
struct LatestStart {
    /// None if the machine is no longer known.
    machine: Option<MachineIndex>,
    attempt: u64,
}

#[derive(Debug, Default)]
struct Slot {
    version: u64,
    lines: Vec<Line>,
}

/// The log as its leader knows it.
#[derive(Debug, Default)]
pub(super) struct StartLog {
    wanted: VecDeque<Line>,
    slots: BTreeMap<u32, Slot>,
    cursor: u32,
}

impl StartLog {
    /// An assigned start needs its line.
    pub(super) fn wants(&mut self, task: TaskId, machine: MachineIndex, attempt: u64) {
        self.wanted.push_back(Line {
            task,
            machine,
            attempt,
        });
    }

    /// Whether lines wait to be written.
    pub(super) fn has_wanted(&self) -> bool {
        !self.wanted.is_empty()
    }
}

/// A write that makes starts durable.
#[derive(Debug)]
pub struct Append {
    /// Slot.
    pub slot: u32,
    /// Version that the slot must have.
    pub version: u64,
    /// Its new contents.
    pub text: String,
    /// Jobs of the new starts, with the versions of their records: they must be unfinished still.
    pub jobs: Vec<(String, u64)>,
    lines: Vec<Line>,
    fresh: Vec<Line>,
}

/// A line as it stands in the text: machine, its address, job, task, attempt.
type Read<'a> = (&'a str, &'a str, &'a str, u32, u64);

/// Reads a slot's text; what is not understood is left out.
fn parse(text: &str) -> Vec<Read<'_>> {
    let mut out = Vec::new();
    for machine in text.split(';') {
        let mut words = machine.split(' ');
        let (Some(name), Some(address)) = (words.next(), words.next()) else {
            continue;
        };
        let mut job = None;
        for word in words {
            if let Some(id) = word.strip_prefix('/') {
                job = Some(id);
            } else if let (Some(id), Some((t, a))) = (job, word.split_once('.')) {
                if let (Ok(t), Ok(a)) = (t.parse(), u64::from_str_radix(a, 16)) {
                    out.push((name, address, id, t, a));
                }
            }
        }
    }
    out
}

/// Whether a name can stand in the log.
pub(super) fn plain(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= 100
        && !name.contains([' ', ';', '/', '"', '\\'])
        && name.is_ascii()
}

impl Scheduler {
    fn at_work(&self, l: &Line) -> bool {
        let job = self.jobs[l.task.job].as_ref();
        job.and_then(|j| j.active.get(&l.task.number))
            .is_some_and(|a| a.attempt == l.attempt && a.machine == l.machine)
    }

    /// The next write of the log, at most `limit` bytes long and of starts of at most `most` jobs; none if no start waits
    /// for its line.
    pub fn append(&mut self, limit: usize, most: usize) -> Option<Append> {
        let mut wanted = std::mem::take(&mut self.log.wanted);
        wanted.retain(|l| self.at_work(l));
        if wanted.is_empty() {
            return None;
        }
        // A few slots are looked at in turn: the one with the least at work is taken, if that is little.
        let numbers: Vec<u32> = self.log.slots.keys().copied().collect();
        let from = numbers.partition_point(|n| *n <= self.log.cursor);
        let mut some = (0..numbers.len().min(4)).map(|k| numbers[(from + k) % numbers.len()]);
        let live = |p: &Self, n: u32| {
            p.log.slots[&n]
                .lines
                .iter()
                .filter(|l| p.at_work(l))
                .count()
        };
        let best = some.clone().map(|n| (live(self, n), n)).min();
        self.log.cursor = some.next_back().unwrap_or(0);
        let (slot, mut lines) = match best.filter(|(n, _)| n * 48 <= limit / 2) {
            Some((_, n)) => (
                n,
                self.log.slots[&n]
                    .lines
                    .iter()
                    .copied()
                    .filter(|l| self.at_work(l))
                    .collect(),
            ),
            None => (numbers.last().map_or(0, |n| n + 1), Vec::new()),
        };
        let version = self.log.slots.get(&slot).map_or(0, |s| s.version);
        let (mut text, mut fresh, mut jobs) = (self.text(&lines), Vec::new(), Vec::new());
        while !wanted.is_empty() && text.len() < limit {
            // As many as surely fit, then again with what is left.
            let room = (limit - text.len()) / 128;
            let mut n = 0;
            for l in wanted.iter().take(room) {
                // What a report has shown is there, whatever has become of its job; only a start needs its job.
                let starts = self
                    .job(l.task.job)
                    .active
                    .get(&l.task.number)
                    .is_some_and(|a| a.phase == Phase::Assigned);
                if starts && !jobs.contains(&l.task.job) {
                    if jobs.len() == most {
                        break;
                    }
                    jobs.push(l.task.job);
                }
                n += 1;
            }
            if n == 0 {
                break;
            }
            fresh.extend(wanted.drain(..n));
            lines.extend(&fresh[fresh.len() - n..]);
            text = self.text(&lines);
        }
        self.log.wanted = wanted;
        let jobs = jobs
            .into_iter()
            .map(|j| (self.job(j).record.spec.id.clone(), self.job(j).version))
            .collect();
        (!fresh.is_empty()).then_some(Append {
            slot,
            version,
            text,
            jobs,
            lines,
            fresh,
        })
    }

    fn text(&self, lines: &[Line]) -> String {
        let mut sorted: Vec<&Line> = lines.iter().collect();
        sorted.sort_unstable_by_key(|l| (l.machine, l.task));
        let mut out = String::with_capacity(lines.len() * 24);
        let (mut machine, mut job) = (None, None);
        for l in sorted {
            if machine != Some(l.machine) {
                let m = self.machine(l.machine);
                let address = if plain(&m.address) {
                    m.address.as_str()
                } else {
                    "-"
                };
                let _ = write!(
                    out,
                    "{}{} {address}",
                    if machine.is_some() { ";" } else { "" },
                    m.name
                );
                (machine, job) = (Some(l.machine), None);
            }
            if job != Some(l.task.job) {
                let _ = write!(out, " /{}", self.job(l.task.job).record.spec.id);
                job = Some(l.task.job);
            }
            let _ = write!(out, " {}.{:x}", l.task.number, l.attempt);
        }
        out
    }

    /// A write is durable: its starts may be sent.
    pub fn appended(&mut self, done: Append, version: u64) {
        self.log.slots.insert(
            done.slot,
            Slot {
                version,
                lines: done.lines,
            },
        );
        for l in done.fresh {
            if self.at_work(&l) {
                self.apply_event(l.task, TaskEvent::Log);
            }
        }
    }

    /// A write failed, or its fate is unknown: its starts wait for another. `found` is what the slot holds now.
    pub fn not_appended(&mut self, failed: Append, found: Option<(u64, &str)>) {
        for l in failed.fresh.into_iter().rev() {
            self.log.wanted.push_front(l);
        }
        if let Some((version, text)) = found {
            let lines = parse(text)
                .into_iter()
                .filter_map(|r| self.line(r))
                .collect();
            self.log.slots.insert(failed.slot, Slot { version, lines });
        }
    }

    fn line(&self, (name, _, job, number, attempt): Read) -> Option<Line> {
        let machine = *self.machine_index.get(name)?;
        let job = *self.job_index.get(job)?;
        (number < self.job(job).tasks()).then_some(Line {
            task: TaskId { job, number },
            machine,
            attempt,
        })
    }

    /// The epoch before kept no log: places nothing until every lease of it has surely run out or been renewed by this one.
    pub fn wait_for_lease_expiry(&mut self) {
        self.place_from = self.now
            + self.params.grace_ms
            + self.params.lease_ms
            + (self.params.grace_ms + self.params.lease_ms) / 100
            + 1000;
    }

    /// Takes in the log of earlier epochs, after the machines and jobs: each task's last line says where it may be.
    /// Machines that no rental names any more were released, and lines of jobs that are over are of no interest.
    pub fn inherit<'a>(&mut self, slots: impl Iterator<Item = (u32, u64, &'a str)>) {
        let mut last: BTreeMap<TaskId, LatestStart> = BTreeMap::new();
        for (slot, version, text) in slots {
            let mut lines = Vec::new();
            for read in parse(text) {
                let Some(line) = self.line(read) else {
                    // Of its machine nothing is left, but the line may be the last word on its task.
                    if let (Some(&job), false) = (self.job_index.get(read.2), self.knows(read.0)) {
                        let gone = LatestStart {
                            machine: None,
                            attempt: read.4,
                        };
                        let known = last
                            .entry(TaskId {
                                job,
                                number: read.3,
                            })
                            .or_insert(gone);
                        if known.attempt < gone.attempt {
                            *known = gone;
                        }
                    }
                    continue;
                };
                let m = self.machine_mut(line.machine);
                if m.address.is_empty() && read.1 != "-" {
                    m.address = read.1.to_string();
                }
                lines.push(line);
                // What was started there has its image there, or on its way. Without this a new leader knew no holders but on
                // machines that it had heard, and when a cut zone was back, all of it fetched anew.
                let image = self.job(line.task.job).image;
                self.hold_image(line.machine, image);
                let start = LatestStart {
                    machine: Some(line.machine),
                    attempt: line.attempt,
                };
                let known = last.entry(line.task).or_insert(start);
                if known.attempt < start.attempt {
                    *known = start;
                }
            }
            self.log.slots.insert(slot, Slot { version, lines });
        }
        for (task, start) in last {
            let Some(machine) = start.machine else {
                continue;
            };
            // A stored result was reported by the task's last attempt: nothing of it runs any more.
            if bit(&self.job(task.job).done, task.number) {
                continue;
            }
            self.apply_event(
                task,
                TaskEvent::Adopt {
                    machine,
                    attempt: start.attempt,
                    phase: Phase::Sent,
                },
            );
            if self.job(task.job).ended {
                self.apply_event(task, TaskEvent::Stop { save: false });
            }
            // An earlier leader may have renewed its lease until its authority to do so ended.
            let until = self.now + self.params.grace_ms + self.params.grace_ms / 500;
            let m = self.machine_mut(machine);
            m.contacted = true;
            m.last_answer = until;
        }
    }
}
