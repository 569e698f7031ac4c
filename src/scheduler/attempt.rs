//! The state machine of a task that is or may be on a machine.

use super::index::{JobIndex, MachineIndex};
use crate::protocol::FencingToken;
use crate::time::Timestamp;

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
    /// Its resources are reserved; nothing was sent.
    Assigned,
    /// The start was sent.
    Sent,
    /// The worker fetches the image.
    Fetching,
    /// It runs.
    Running,
    /// It is being stopped.
    Stopping {
        /// Whether it gets time to save its progress.
        save: bool,
    },
}

/// How commands get to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Route {
    /// In the reply to its heartbeat.
    HeartbeatReply,
    /// In a request to the worker.
    Direct,
}

/// A task that is or may be on a machine.
#[derive(Debug, Clone, Copy)]
pub struct TaskAttempt {
    pub(super) machine: MachineIndex,
    pub(super) attempt: u64,
    pub(super) phase: Phase,
    /// Since when it is in this phase.
    pub(super) since: Timestamp,
    /// How its start was sent.
    pub(super) route: Route,
    /// Its entry in the start log is durable: before that it is not sent.
    pub(super) logged: bool,
    /// The token under which the start was sent; zero: by an earlier epoch.
    pub(super) token: FencingToken,
    /// The stop was sent straight to the worker.
    pub(super) stop_sent: bool,
    /// Its worker has reported it.
    pub(super) reported: bool,
}

/// Everything that can happen to a task.
#[derive(Debug, Clone, Copy)]
pub(super) enum TaskEvent {
    /// It is to start on a machine.
    Assign {
        /// The machine.
        machine: MachineIndex,
        /// The new attempt.
        attempt: u64,
    },
    /// It is, or may be, on a machine since before this epoch, or without having been started by it.
    Adopt {
        /// The machine.
        machine: MachineIndex,
        /// Its attempt there.
        attempt: u64,
        /// What is known of it.
        phase: Phase,
    },
    /// Its entry in the start log is durable.
    Logged,
    /// Its start is being sent.
    Send {
        /// How it is sent.
        route: Route,
        /// The token of the message.
        token: FencingToken,
    },
    /// Its worker reports it in this phase.
    Report(Phase),
    /// It is to be stopped.
    Stop {
        /// Whether it gets time to save its progress.
        save: bool,
    },
    /// It is proven to be on no machine.
    Gone,
    /// It has finished.
    Finished,
}

impl TaskAttempt {
    /// An attempt that is assigned to a machine.
    fn assigned(machine: MachineIndex, attempt: u64, now: Timestamp) -> TaskAttempt {
        TaskAttempt {
            machine,
            attempt,
            phase: Phase::Assigned,
            since: now,
            route: Route::HeartbeatReply,
            logged: false,
            token: FencingToken::ZERO,
            stop_sent: false,
            reported: false,
        }
    }

    /// An attempt that another epoch has started.
    fn adopted(machine: MachineIndex, attempt: u64, phase: Phase, now: Timestamp) -> TaskAttempt {
        TaskAttempt {
            phase,
            logged: true,
            reported: phase != Phase::Sent,
            ..TaskAttempt::assigned(machine, attempt, now)
        }
    }

    /// The same attempt in another phase from now on.
    fn in_phase(self, phase: Phase, now: Timestamp) -> TaskAttempt {
        TaskAttempt {
            phase,
            since: now,
            ..self
        }
    }

    /// Whether it is running, or being stopped.
    pub(super) fn is_running_or_stopping(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::Stopping { .. })
    }

    /// Whether it is being stopped.
    pub(super) fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Stopping { .. })
    }
}

/// What an event makes of a task.
pub(super) enum Transition {
    /// Nothing changes.
    Unchanged,
    /// It is, or may be, on a machine in this state.
    To(TaskAttempt),
    /// It is on no machine any more.
    Gone,
}

impl Transition {
    /// What an event makes of a task.
    pub(super) fn of(current: Option<TaskAttempt>, event: TaskEvent, now: Timestamp) -> Transition {
        match current {
            Some(attempt) => Transition::of_active(attempt, event, now),
            None => Transition::of_inactive(event, now),
        }
    }

    /// What an event makes of a task that is on no machine.
    fn of_inactive(event: TaskEvent, now: Timestamp) -> Transition {
        match event {
            TaskEvent::Assign { machine, attempt } => {
                Transition::To(TaskAttempt::assigned(machine, attempt, now))
            }
            TaskEvent::Adopt {
                machine,
                attempt,
                phase,
            } => Transition::To(TaskAttempt::adopted(machine, attempt, phase, now)),
            _ => Transition::Unchanged,
        }
    }

    /// What an event makes of a task that is, or may be, on a machine.
    fn of_active(attempt: TaskAttempt, event: TaskEvent, now: Timestamp) -> Transition {
        let assigned = attempt.phase == Phase::Assigned;
        match event {
            TaskEvent::Logged if assigned => Transition::To(TaskAttempt {
                logged: true,
                ..attempt
            }),
            TaskEvent::Send { route, token } if assigned && attempt.logged => {
                Transition::To(TaskAttempt {
                    route,
                    token,
                    ..attempt.in_phase(Phase::Sent, now)
                })
            }
            TaskEvent::Report(phase)
                if attempt.phase != phase && !assigned && !attempt.is_stopping() =>
            {
                Transition::To(attempt.in_phase(phase, now))
            }
            // Never sent, so it cannot be anywhere.
            TaskEvent::Stop { .. } if assigned => Transition::Gone,
            TaskEvent::Stop { save } => Transition::of_stop(attempt, save, now),
            TaskEvent::Gone | TaskEvent::Finished => Transition::Gone,
            _ => Transition::Unchanged,
        }
    }

    /// Stops a task that was sent. One that gets time to save may still be stopped at once, but not the other way round.
    fn of_stop(attempt: TaskAttempt, save: bool, now: Timestamp) -> Transition {
        match attempt.phase {
            Phase::Stopping { save: false } => Transition::Unchanged,
            Phase::Stopping { save: true } if save => Transition::Unchanged,
            _ => Transition::To(TaskAttempt {
                stop_sent: false,
                ..attempt.in_phase(Phase::Stopping { save }, now)
            }),
        }
    }
}
