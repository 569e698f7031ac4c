//! The state of a job as it is shown to users.

use super::state::ControllerState;
use crate::protocol::{JobState, JobView};
use crate::scheduler::TaskCounts;
use crate::store::FinalRecord;

impl ControllerState {
    /// The state of a job that is unfinished in the replica or whose final state is remembered.
    ///
    /// A follower shows the task counts that the leader sent last.
    pub(super) fn job_view(&self, id: &str) -> Option<JobView> {
        if let Some(over) = self.replica.final_state(id) {
            return Some(final_view(id, over));
        }
        let counts = self
            .scheduler
            .as_ref()
            .and_then(|p| p.task_counts(id))
            .or_else(|| self.reported_task_counts(id));
        self.replica.live.get(id)?;
        let TaskCounts { done, running } = counts.unwrap_or_default();
        let state = if running > 0 {
            JobState::Running
        } else {
            JobState::Queued
        };
        Some(JobView {
            id: id.into(),
            state,
            done: Some(done),
            running: Some(running),
        })
    }
}

/// The state of a job that is final.
pub(super) fn final_view(id: &str, over: FinalRecord) -> JobView {
    let (state, done) = if over.cancelled {
        (JobState::Cancelled, 0)
    } else {
        (JobState::Done, over.tasks)
    };
    JobView {
        id: id.into(),
        state,
        done: Some(done),
        running: Some(0),
    }
}
