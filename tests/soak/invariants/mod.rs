//! The rules of the protocol, checked against the history of a run.

mod answers;
mod cancellations;
mod liveness;
mod placements;
mod tokens;

use crate::harness::history::{Attempt, Entry, Millis, Observation};
use crate::harness::jobs::JobRegistry;
use crate::harness::topology::ControllerId;
use std::fmt;
use std::time::Duration;

/// Bounds from the protocol and the settings.
#[derive(Debug, Clone)]
pub(crate) struct Bounds {
    /// Limits of the teams.
    pub(crate) team_limits: Vec<TeamLimit>,
    /// Time after the confirmation of a cancellation within which the tasks of the job have to be gone.
    pub(crate) cancel: Duration,
    /// Time after the last trouble within which a question about every accepted job has to be answered.
    pub(crate) answer: Duration,
    /// Time after the last trouble within which every accepted job has to begin while there is room.
    pub(crate) start: Duration,
}

/// The limit of a team.
#[derive(Debug, Clone)]
pub(crate) struct TeamLimit {
    /// Name of the team.
    pub(crate) team: String,
    /// CPUs that its tasks may use at any moment.
    pub(crate) cpus: f64,
    /// Whether its jobs ask for more than that, so that some of them have to wait.
    pub(crate) is_tight: bool,
}

/// A broken rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Violation {
    /// A task was on two machines at once.
    InTwoPlaces {
        /// The attempt that was on its machine.
        first: Attempt,
        /// The attempt that came onto another machine.
        second: Attempt,
    },
    /// A task of a cancelled job was on a machine for too long after the confirmation.
    RanCancelled(Attempt),
    /// A task was started by a message that was sent after its job had been confirmed as cancelled.
    StartedAfterCancellation(Attempt),
    /// A task was started by a message that was sent after its job had been called done.
    StartedAfterDone(Attempt),
    /// An accepted job was answered as unknown, or rejected when it was submitted again.
    Forgotten(String),
    /// A job was called done or cancelled, and something else afterwards.
    WentBack(String),
    /// A job that nobody asked to cancel was called cancelled.
    NeverCancelled(String),
    /// A job that nobody submitted was answered with a state.
    Invented(String),
    /// A job was called done before all of its tasks were.
    NotDone(String),
    /// The token of a worker went back.
    TokenWentBack(String),
    /// A team used more than its limit.
    OverQuota(String),
    /// A controller answered no question about an accepted job in time after the last trouble.
    Unanswered(String, ControllerId),
    /// An accepted job did not begin in time after the last trouble.
    NeverBegan(String),
    /// No task was on any machine.
    NothingRan,
    /// A controller ended by itself.
    ProcessEnded(ControllerId, String),
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "  {self:?}")
    }
}

/// A history with what is known of its jobs.
struct Run<'a> {
    history: &'a [Entry],
    registry: &'a JobRegistry,
    bounds: &'a Bounds,
}

/// Checks a history, which is in the order of time. Returns the broken rules.
pub(crate) fn check(history: &[Entry], registry: &JobRegistry, bounds: &Bounds) -> Vec<Violation> {
    let run = Run {
        history,
        registry,
        bounds,
    };
    let mut violations = Vec::new();
    placements::check(&run, &mut violations);
    cancellations::check(&run, &mut violations);
    answers::check(&run, &mut violations);
    tokens::check(&run, &mut violations);
    liveness::check(&run, &mut violations);
    check_processes(&run, &mut violations);
    if !ran_anything(&run) {
        violations.push(Violation::NothingRan);
    }
    violations
}

fn ran_anything(run: &Run) -> bool {
    let observations = run.history.iter().map(|entry| &entry.observation);
    observations
        .into_iter()
        .any(|it| matches!(it, Observation::TaskOnMachine(_)))
}

fn check_processes(run: &Run, violations: &mut Vec<Violation>) {
    for entry in run.history {
        if let Observation::ProcessEnded { controller, status } = &entry.observation {
            violations.push(Violation::ProcessEnded(*controller, status.clone()));
        }
    }
}

/// Returns a duration in the time of the history.
fn millis(duration: Duration) -> Millis {
    u64::try_from(duration.as_millis()).expect("a bound is short")
}
