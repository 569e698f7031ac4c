//! Tasks that are or may be on a machine, and the one function for every change of them.

use super::index::{JobIndex, MachineIndex};
use super::jobs::bit;
use super::Scheduler;
use crate::protocol::{FencingToken, Kind};

/// A task of a present job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Its job.
    pub job: JobIndex,
    /// Its number in the job, from 0 on.
    pub number: u32,
}

/// Where an active task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Room is reserved; nothing was sent.
    Assigned,
    /// The start was sent.
    Sent,
    /// The worker fetches the image.
    Fetching,
    /// It runs.
    Running,
    /// It is being stopped, with time to save or without.
    Stopping {
        /// Whether it gets time to save.
        save: bool,
    },
}

/// A task that is or may be on a machine.
#[derive(Debug, Clone, Copy)]
pub struct TaskAttempt {
    pub(super) machine: MachineIndex,
    pub(super) attempt: u64,
    pub(super) phase: Phase,
    pub(super) since: u64,
    pub(super) direct: bool,
    /// Its line in the start log is durable: before that it is not sent.
    pub(super) logged: bool,
    /// The token under which the start was sent; 0: by an earlier epoch.
    pub(super) token: FencingToken,
    /// The stop was sent straight to the worker.
    pub(super) stop_sent: bool,
    /// Its worker has listed it.
    pub(super) shown: bool,
}

/// Everything that can happen to a task.
pub(super) enum TaskEvent {
    Assign {
        machine: MachineIndex,
        attempt: u64,
    },
    Adopt {
        machine: MachineIndex,
        attempt: u64,
        phase: Phase,
    },
    Log,
    Send {
        direct: bool,
        token: FencingToken,
    },
    Show(Phase),
    Stop {
        save: bool,
    },
    Gone,
    Finished,
}

impl TaskAttempt {
    /// An attempt that is assigned to a machine.
    fn assigned(machine: MachineIndex, attempt: u64, now: u64) -> TaskAttempt {
        TaskAttempt {
            machine,
            attempt,
            phase: Phase::Assigned,
            since: now,
            direct: false,
            logged: false,
            token: FencingToken::ZERO,
            stop_sent: false,
            shown: false,
        }
    }

    /// Whether it is running, or saving.
    fn runs(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::Stopping { .. })
    }

    /// Whether it is being stopped.
    pub(super) fn stops(&self) -> bool {
        matches!(self.phase, Phase::Stopping { .. })
    }
}

/// What an event makes of a task.
enum Transition {
    /// Nothing.
    Unchanged,
    /// It is, or may be, on a machine in this state.
    To(TaskAttempt),
    /// It is on no machine any more.
    Gone,
}

/// What an event makes of a task that is, or may be, on a machine as `old` tells.
fn next_attempt(old: Option<TaskAttempt>, event: TaskEvent, now: u64) -> Transition {
    let Some(a) = old else {
        return match event {
            TaskEvent::Assign { machine, attempt } => {
                Transition::To(TaskAttempt::assigned(machine, attempt, now))
            }
            TaskEvent::Adopt {
                machine,
                attempt,
                phase,
            } => {
                let shown = phase != Phase::Sent;
                let assigned = TaskAttempt::assigned(machine, attempt, now);
                Transition::To(TaskAttempt {
                    phase,
                    logged: true,
                    shown,
                    ..assigned
                })
            }
            _ => Transition::Unchanged,
        };
    };
    match event {
        TaskEvent::Log if a.phase == Phase::Assigned => {
            Transition::To(TaskAttempt { logged: true, ..a })
        }
        TaskEvent::Send { direct, token } if a.phase == Phase::Assigned && a.logged => {
            Transition::To(TaskAttempt {
                phase: Phase::Sent,
                since: now,
                direct,
                token,
                ..a
            })
        }
        TaskEvent::Show(phase) if a.phase != phase && a.phase != Phase::Assigned && !a.stops() => {
            Transition::To(TaskAttempt {
                phase,
                since: now,
                ..a
            })
        }
        // Never sent, so it cannot be anywhere.
        TaskEvent::Stop { .. } if a.phase == Phase::Assigned => Transition::Gone,
        TaskEvent::Stop { save } => match a.phase {
            Phase::Stopping { save: false } => Transition::Unchanged,
            Phase::Stopping { save: true } if save => Transition::Unchanged,
            _ => Transition::To(TaskAttempt {
                phase: Phase::Stopping { save },
                since: now,
                stop_sent: false,
                ..a
            }),
        },
        TaskEvent::Gone | TaskEvent::Finished => Transition::Gone,
        _ => Transition::Unchanged,
    }
}

impl Scheduler {
    /// The attempt of a task that is or may be on a machine.
    pub(super) fn attempt(&self, task: TaskId) -> Option<&TaskAttempt> {
        self.job(task.job).active.get(&task.number)
    }

    /// The one function for every change of a task.
    pub(super) fn apply_event(&mut self, task: TaskId, event: TaskEvent) {
        let old = self.attempt(task).copied();
        let next = match next_attempt(old, event, self.now) {
            Transition::Unchanged => return,
            Transition::To(attempt) => Some(attempt),
            Transition::Gone => None,
        };
        self.replace_attempt(task, old, next);
        if next.is_none() {
            self.stop_broken_gang(task);
        }
        self.count_change(task, old, next);
        self.request_follow_up(task, old, next);
    }

    /// Puts a task's new state in the place of its old one.
    fn replace_attempt(
        &mut self,
        task: TaskId,
        old: Option<TaskAttempt>,
        next: Option<TaskAttempt>,
    ) {
        let now = self.now;
        let job = self.jobs[task.job]
            .as_mut()
            .expect("a task that changes belongs to a present job");
        match (old, next) {
            (None, Some(n)) => {
                job.placed_at = now;
                job.active.insert(task.number, n);
                self.account(task, n.machine, true);
            }
            (Some(o), None) => {
                job.active.remove(&task.number);
                if !bit(&job.done, task.number) {
                    job.returned.insert(task.number);
                }
                self.account(task, o.machine, false);
            }
            (Some(_), Some(n)) => {
                job.active.insert(task.number, n);
            }
            (None, None) => {}
        }
    }

    /// A gang that has lost a task is stopped, to start again as a whole.
    fn stop_broken_gang(&mut self, task: TaskId) {
        let job = self.job(task.job);
        if job.record.spec.kind != Kind::Gang || bit(&job.done, task.number) {
            return;
        }
        let save = job.record.spec.checkpoint_s > 0.0;
        for other in job.active.keys().copied().collect::<Vec<_>>() {
            let other = TaskId {
                job: task.job,
                number: other,
            };
            self.apply_event(other, TaskEvent::Stop { save });
        }
    }

    /// Keeps the counts of running and stopping tasks.
    fn count_change(&mut self, task: TaskId, old: Option<TaskAttempt>, next: Option<TaskAttempt>) {
        let runs = |a: Option<TaskAttempt>| a.is_some_and(|a| a.runs());
        let stops = |a: Option<TaskAttempt>| a.is_some_and(|a| a.stops());
        let job = self.job_mut(task.job);
        job.running = job.running + u32::from(runs(next)) - u32::from(runs(old));
        let freed = job.task_resources.quota();
        if let Some(team) = job.team.filter(|_| stops(next) != stops(old)) {
            let ending = &mut self.team_ending[team];
            if stops(next) {
                *ending += freed;
            } else {
                *ending -= freed;
            }
        }
        if let Some(at) = next.or(old).map(|a| a.machine) {
            let m = self.machine_mut(at);
            m.stopping = m.stopping + u32::from(stops(next)) - u32::from(stops(old));
        }
    }

    /// Asks for what has to follow a change: a line in the start log, a command, a new look at what can be placed.
    fn request_follow_up(
        &mut self,
        task: TaskId,
        old: Option<TaskAttempt>,
        next: Option<TaskAttempt>,
    ) {
        let Some(at) = next.or(old).map(|a| a.machine) else {
            return;
        };
        match next {
            Some(a) if a.phase == Phase::Assigned && !a.logged => {
                self.log.wants(task, at, a.attempt);
            }
            Some(a) if a.phase == Phase::Assigned || (a.stops() && !a.stop_sent) => {
                self.outbox.insert(at);
            }
            // Only room that has come free can let something else be placed.
            None => self.changed = true,
            _ => {}
        }
    }

    pub(super) fn account(&mut self, task: TaskId, machine: MachineIndex, enter: bool) {
        let job = self.jobs[task.job]
            .as_mut()
            .expect("accounted tasks belong to a present job");
        let m = self.machines[machine]
            .as_mut()
            .expect("accounted tasks are on a present machine");
        let zone = job.zone_use.entry(m.zone).or_default();
        let team = job.team.map(|t| &mut self.team_use[t]);
        if enter {
            m.tasks.insert(task);
            m.service_cpus += if job.record.spec.kind == Kind::Service {
                job.task_resources.cpu_milli
            } else {
                0
            };
            m.free = m.free.saturating_sub(job.task_resources);
            *zone += 1;
            if let Some(u) = team {
                *u += job.task_resources.quota();
            }
            m.idle_since = None;
        } else {
            m.tasks.remove(&task);
            m.service_cpus -= if job.record.spec.kind == Kind::Service {
                job.task_resources.cpu_milli
            } else {
                0
            };
            *zone -= 1;
            if let Some(u) = team {
                *u -= job.task_resources.quota();
            }
            let capacity = self.machine_types.capacity(m.machine_type);
            m.free = m
                .tasks
                .iter()
                .filter_map(|task| self.jobs[task.job].as_ref())
                .fold(capacity, |r, j| r.saturating_sub(j.task_resources));
            if m.tasks.is_empty() {
                m.idle_since = Some(self.now);
            }
        }
    }
}
