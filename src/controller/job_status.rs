//! The state of a job as shown to users.

use super::state::ControllerState;
use crate::protocol::{JobState, JobView};
use crate::scheduler::TaskCounts;
use crate::store::FinalRecord;

impl ControllerState {
    /// Returns the state of a job that is unfinished in the replica or whose final state is remembered, and `None` for others.
    ///
    /// A follower shows the task counts that the leader last reported.
    pub(super) fn job_view(&self, id: &str) -> Option<JobView> {
        if let Some(final_state) = self.replica().final_state(id) {
            return Some(final_view(id, final_state));
        }
        self.replica().live.get(id)?;
        let task_counts = self
            .scheduler()
            .and_then(|scheduler| scheduler.task_counts(id))
            .or_else(|| self.reported_task_counts(id));
        let TaskCounts { done, running } = task_counts.unwrap_or_default();
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

/// Returns the view of a job that has a final state.
pub(super) fn final_view(id: &str, final_state: FinalRecord) -> JobView {
    let (state, done) = if final_state.cancelled {
        (JobState::Cancelled, 0)
    } else {
        (JobState::Done, final_state.tasks)
    };
    JobView {
        id: id.into(),
        state,
        done: Some(done),
        running: Some(0),
    }
}
