//! The history of a run, as the workers and users observe it.

use super::topology::ControllerId;
use hollowswitch::protocol::JobState;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A point in time of a run, in milliseconds since its start.
pub(crate) type Millis = u64;

/// An attempt of a task on a machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Attempt {
    /// Name of the task, which contains the id of its job.
    pub(crate) task: String,
    /// Number of the attempt.
    pub(crate) number: u64,
    /// Name of the machine.
    pub(crate) machine: String,
}

impl Attempt {
    /// Returns the id of the job.
    pub(crate) fn job(&self) -> &str {
        self.task
            .split_once('/')
            .map_or(self.task.as_str(), |(job, _)| job)
    }
}

/// What a controller answered to a question about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Answer {
    /// The job's state.
    State(JobState),
    /// The job does not exist (404).
    Unknown,
    /// The job was rejected or the request is malformed (400 or 422).
    Rejected,
    /// The user was told when to come back (429 or 503).
    ComeBack(u16),
    /// Another status.
    Unexpected(u16),
    /// No answer arrived in time, or no connection could be opened.
    Missing,
}

/// What a user asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Request {
    /// To run a job.
    Submit,
    /// For the state of a job.
    Poll,
    /// To cancel a job.
    Cancel,
}

/// How a command came to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CommandSource {
    /// In the reply to a heartbeat that was sent at this time.
    HeartbeatReply(Millis),
    /// In a direct message that arrived at this time.
    Direct(Millis),
}

/// An observation.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Observation {
    /// A worker executed a command to start a task, which it did not know yet.
    StartExecuted {
        /// The attempt.
        attempt: Attempt,
        /// How the command came.
        source: CommandSource,
    },
    /// A task has its image, so that it is on its machine from now on.
    TaskOnMachine(Attempt),
    /// A task left its machine: it ended, was stopped or killed, or the machine is gone.
    TaskGone(Attempt),
    /// A task completed.
    TaskDone(Attempt),
    /// A worker accepted a message with a token.
    TokenAccepted {
        /// Name of the machine.
        machine: String,
        /// The token.
        token: u64,
    },
    /// A user got an answer, or none.
    Answered {
        /// Id of the job.
        job: String,
        /// What was asked for.
        request: Request,
        /// The controller that was asked.
        controller: ControllerId,
        /// When the request was sent.
        asked_at: Millis,
        /// The answer.
        answer: Answer,
    },
    /// A controller ended by itself.
    ProcessEnded {
        /// The controller.
        controller: ControllerId,
        /// Its exit status.
        status: String,
    },
    /// All troubles are over.
    TroublesOver,
    /// The run is over.
    RunOver,
}

/// An observation with its time.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Entry {
    /// When it was made.
    pub(crate) at: Millis,
    /// What was observed.
    pub(crate) observation: Observation,
}

/// An answer to a user, with its times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ControllerAnswer {
    /// The controller.
    pub(crate) controller: ControllerId,
    /// What was asked for.
    pub(crate) request: Request,
    /// When the request was sent.
    pub(crate) asked_at: Millis,
    /// When the answer arrived.
    pub(crate) received_at: Millis,
    /// The answer.
    pub(crate) answer: Answer,
}

impl ControllerAnswer {
    /// Returns the job and the answer of an entry that is one.
    pub(crate) fn of(entry: &Entry) -> Option<(&str, ControllerAnswer)> {
        let Observation::Answered {
            job,
            request,
            controller,
            asked_at,
            answer,
        } = &entry.observation
        else {
            return None;
        };
        let answer = ControllerAnswer {
            controller: *controller,
            request: *request,
            asked_at: *asked_at,
            received_at: entry.at,
            answer: *answer,
        };
        Some((job, answer))
    }
}

/// Records the history of a run. Clones record into the same history.
#[derive(Clone)]
pub(crate) struct Recorder {
    started_at: Instant,
    entries: Option<Arc<Mutex<Vec<Entry>>>>,
}

impl Recorder {
    /// Creates a recorder with an empty history that begins now.
    pub(crate) fn new() -> Recorder {
        Recorder {
            started_at: Instant::now(),
            entries: Some(Arc::default()),
        }
    }

    /// Creates a recorder that keeps nothing.
    pub(crate) fn disabled() -> Recorder {
        Recorder {
            started_at: Instant::now(),
            entries: None,
        }
    }

    /// Returns the time since the beginning of the history.
    pub(crate) fn now(&self) -> Millis {
        millis(self.started_at.elapsed())
    }

    /// Records an observation that is made now.
    pub(crate) fn record(&self, observation: Observation) {
        if let Some(entries) = &self.entries {
            // The time is taken under the lock, so that the entries are in the order of their times.
            let mut entries = lock(entries);
            let at = self.now();
            entries.push(Entry { at, observation });
        }
    }

    /// Records an observation that was due at an earlier time, which a busy machine may have missed by a little.
    pub(crate) fn record_at(&self, due: Instant, observation: Observation) {
        if let Some(entries) = &self.entries {
            let at = millis(due.saturating_duration_since(self.started_at));
            lock(entries).push(Entry { at, observation });
        }
    }

    /// Returns a copy of the history in the order of time.
    pub(crate) fn history(&self) -> Vec<Entry> {
        let entries = self.entries.as_ref().map(|entries| lock(entries).clone());
        let mut entries = entries.unwrap_or_default();
        entries.sort_by_key(|entry| entry.at);
        entries
    }
}

fn millis(duration: Duration) -> Millis {
    u64::try_from(duration.as_millis()).expect("a run is short")
}

/// Locks a mutex of a stand-in.
///
/// # Panics
///
/// Panics if a thread has panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no thread panics while it holds the lock")
}
