//! The state machine of an active task: its attempt on a machine, the events, and the transitions that they cause.

use super::gone_proof::{Conclusion, GoneProof, InvalidProof};
use super::index::{JobIndex, MachineIndex};
use crate::protocol::FencingToken;
use crate::time::Timestamp;

/// Identifies a task of a job in the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Index of the job.
    pub job: JobIndex,
    /// Number of the task in its job, from 0.
    pub number: u32,
}

/// The phase of an active task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Resources are reserved on the machine; the start command was not sent.
    Assigned,
    /// The start command was sent.
    Sent,
    /// The worker is fetching the image.
    Fetching,
    /// The task is running.
    Running,
    /// The task is being stopped.
    Stopping {
        /// Whether it is given time to write a checkpoint.
        save: bool,
    },
}

/// How commands reach a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Route {
    /// In the reply to its heartbeat; the worker polls for them.
    HeartbeatReply,
    /// In a request that the scheduler sends to the worker.
    Direct,
}

/// An attempt to run a task, which is or may be on a machine.
#[derive(Debug, Clone, Copy)]
pub struct TaskAttempt {
    pub(super) machine: MachineIndex,
    pub(super) attempt: u64,
    pub(super) phase: Phase,
    /// When the attempt entered its phase.
    pub(super) since: Timestamp,
    /// How the start command was sent.
    pub(super) route: Route,
    /// Whether its start-log entry is durable; until then the start command is not sent.
    pub(super) logged: bool,
    /// Fencing token of the start command; zero if this epoch has not sent one.
    pub(super) token: FencingToken,
    /// Whether the stop command was sent in a request to the worker.
    pub(super) stop_sent: bool,
    /// Whether the worker has reported the attempt.
    pub(super) reported: bool,
}

/// An event that may change the state of a task.
#[derive(Debug, Clone, Copy)]
pub(super) enum TaskEvent {
    /// The task is assigned to a machine.
    Assign {
        /// The machine.
        machine: MachineIndex,
        /// Number of the new attempt.
        attempt: u64,
    },
    /// The task is or may be on a machine, but this epoch has not started it there: an earlier one did, or its worker
    /// reports it unexpectedly.
    Adopt {
        /// The machine.
        machine: MachineIndex,
        /// Number of the attempt on that machine.
        attempt: u64,
        /// Last known phase of the attempt.
        phase: Phase,
    },
    /// The start-log entry of the task is durable.
    Logged,
    /// The start command is being sent.
    Send {
        /// How the command is sent.
        route: Route,
        /// Fencing token of the message.
        token: FencingToken,
    },
    /// The worker reports the task in this phase.
    Report(Phase),
    /// The task is to be stopped.
    Stop {
        /// Whether it is given time to write a checkpoint.
        save: bool,
    },
    /// The task is taken for gone, if the proof holds.
    Gone(GoneProof),
    /// The task has finished.
    Finished,
}

impl TaskAttempt {
    /// Returns a new attempt that is assigned to a machine.
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

    /// Returns an attempt that this epoch has not started.
    fn adopted(machine: MachineIndex, attempt: u64, phase: Phase, now: Timestamp) -> TaskAttempt {
        TaskAttempt {
            phase,
            logged: true,
            reported: phase != Phase::Sent,
            ..TaskAttempt::assigned(machine, attempt, now)
        }
    }

    /// Returns the attempt after it has entered a phase now.
    fn in_phase(self, phase: Phase, now: Timestamp) -> TaskAttempt {
        TaskAttempt {
            phase,
            since: now,
            ..self
        }
    }

    /// Reports whether the task is running or being stopped.
    pub(super) fn is_running_or_stopping(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::Stopping { .. })
    }

    /// Reports whether the task is being stopped.
    pub(super) fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Stopping { .. })
    }
}

/// The effect of an event on a task.
pub(super) enum Transition {
    /// The event has no effect.
    Unchanged,
    /// The task is or may be on a machine, in this new state.
    To(TaskAttempt),
    /// The task is no longer on any machine.
    Gone,
    /// The event contradicts the task's state and must have no effect.
    Refused(InvalidProof),
}

impl Transition {
    /// Returns the effect of an event on a task, where `current` is its attempt if it is active.
    pub(super) fn of(current: Option<TaskAttempt>, event: TaskEvent, now: Timestamp) -> Transition {
        match current {
            Some(attempt) => Transition::of_active(attempt, event, now),
            None => Transition::of_inactive(event, now),
        }
    }

    /// Returns the effect of an event on a task that is not active.
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

    /// Returns the effect of an event on an active task.
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
            TaskEvent::Stop { .. } if assigned => {
                Transition::of_gone(attempt, GoneProof::NeverSent)
            }
            TaskEvent::Stop { save } => Transition::of_stop(attempt, save, now),
            TaskEvent::Gone(proof) => Transition::of_gone(attempt, proof),
            TaskEvent::Finished => Transition::Gone,
            _ => Transition::Unchanged,
        }
    }

    /// Returns the effect of a proof that an active task is gone.
    fn of_gone(attempt: TaskAttempt, proof: GoneProof) -> Transition {
        match proof.check(&attempt) {
            Ok(Conclusion::Gone) => Transition::Gone,
            Ok(Conclusion::Undecided) => Transition::Unchanged,
            Err(error) => Transition::Refused(error),
        }
    }

    /// Returns the effect of a stop on a task whose start command was sent. A task that is writing its checkpoint may still be
    /// stopped at once, but a task that is being stopped at once is not given time for a checkpoint.
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
