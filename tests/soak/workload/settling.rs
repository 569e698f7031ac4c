//! The end of a run: every controller has to know every accepted job.

use super::{Wish, Workload, TEAMS};
use crate::harness::history::Answer;
use crate::harness::topology::ControllerId;
use futures_util::stream::{self, StreamExt};
use hollowswitch::protocol::JobState;
use std::time::Duration;
use tokio::time::sleep;

/// Number of questions at once while the run settles.
const QUESTIONS_AT_ONCE: usize = 4;
/// Interval of questions while the run settles.
const SETTLE_INTERVAL: Duration = Duration::from_millis(500);

impl Workload {
    /// Returns the questions about every accepted job at every controller.
    fn questions(&self) -> Vec<(String, ControllerId)> {
        let accepted = self.0.accepted.borrow();
        let at_all = |job: &String| {
            let job = job.clone();
            ControllerId::all().map(move |controller| (job.clone(), controller))
        };
        accepted.keys().flat_map(at_all).collect()
    }

    /// Waits until every controller says that every accepted job runs, or has ended as its user wants.
    pub(crate) async fn settle(&self) {
        let mut unsettled: Vec<(String, ControllerId)> = Vec::new();
        loop {
            let asked = if unsettled.is_empty() {
                self.questions()
            } else {
                unsettled
            };
            let polls = asked
                .iter()
                .map(|(job, controller)| self.0.user.poll(*controller, job));
            let answers: Vec<Answer> = stream::iter(polls)
                .buffered(QUESTIONS_AT_ONCE)
                .collect()
                .await;
            unsettled = asked
                .into_iter()
                .zip(answers)
                .filter(|((job, _), answer)| !self.is_settled(job, *answer))
                .map(|(question, _)| question)
                .collect();
            if unsettled.is_empty() && self.0.busy_users.get() == 0 {
                return;
            }
            sleep(SETTLE_INTERVAL).await;
        }
    }

    fn is_settled(&self, job: &str, answer: Answer) -> bool {
        let wish = self.0.accepted.borrow().get(job).copied();
        let Answer::State(state) = answer else {
            return false;
        };
        match (wish, state) {
            (Some(Wish::Cancelled), state) => state == JobState::Cancelled,
            (_, JobState::Running | JobState::Done | JobState::Cancelled) => true,
            // Jobs of the team at its limit wait their turn.
            (_, JobState::Queued) => self.is_at_limit(job),
        }
    }

    fn is_at_limit(&self, job: &str) -> bool {
        let description = self.0.registry.job(job);
        description.is_some_and(|description| description.spec.team == TEAMS[1].0)
    }
}
