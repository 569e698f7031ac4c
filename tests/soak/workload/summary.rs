//! Numbers of what was observed in a run, which show that it tested something.

use super::{Wish, Workload};
use crate::harness::history::{Answer, Entry, Observation, Request};

impl Workload {
    /// Returns numbers of observations.
    pub(crate) fn summary(&self, history: &[Entry]) -> String {
        let count = |is_counted: &dyn Fn(&Observation) -> bool| {
            let observations = history.iter().map(|entry| &entry.observation);
            observations.filter(|it| is_counted(it)).count()
        };
        let answers = |wanted: Request, state: fn(&Answer) -> bool| {
            count(&|it| {
                matches!(it, Observation::Answered { request, answer, .. }
                    if *request == wanted && state(answer))
            })
        };
        let is_state = |answer: &Answer| matches!(answer, Answer::State(_));
        let accepted = self.0.accepted.borrow();
        let cancelled = accepted.values().filter(|wish| **wish == Wish::Cancelled);
        format!(
            "{} jobs accepted, {} cancelled, {} task starts, {} tasks done, {} questions answered, {} not",
            accepted.len(),
            cancelled.count(),
            count(&|it| matches!(it, Observation::TaskOnMachine(_))),
            count(&|it| matches!(it, Observation::TaskDone(_))),
            answers(Request::Poll, is_state),
            answers(Request::Poll, |answer| !matches!(answer, Answer::State(_))),
        )
    }
}
