//! What users are told of a job, and whether it can run at all.

use super::messages::JobRejection;
use super::state::ControllerState;
use crate::protocol::{JobSpec, JobState, JobView, Kind};
use crate::store::OverRecord;

impl ControllerState {
    pub(super) fn view(&self, id: &str) -> Option<JobView> {
        if let Some(over) = self.replica.over(id) {
            return Some(over_view(id, over));
        }
        let counts = self
            .scheduler
            .as_ref()
            .and_then(|p| p.counts(id))
            .or(self.reported_task_counts.get(id).copied());
        self.replica.live.get(id)?;
        let (done, running) = counts.unwrap_or_default();
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

    /// The checks behind a 422.
    pub(super) fn impossible(&self, s: &JobSpec) -> Option<JobRejection> {
        let Some(team) = self
            .settings
            .platform
            .deployment
            .teams
            .iter()
            .find(|t| t.name == s.team)
        else {
            return Some(JobRejection::UnknownTeam);
        };
        let fits = self.machine_types.iter().any(|t| {
            s.types.as_ref().is_none_or(|l| l.contains(&t.name))
                && s.zone.as_ref().is_none_or(|z| t.zones.contains(z))
                && s.cpus <= t.cpus
                && s.gpus <= t.gpus
                && s.memory_gb <= t.memory_gb
        });
        if !fits {
            return Some(JobRejection::NoMachineTypeFits);
        }
        let at_once = if s.kind == Kind::Array {
            1.0
        } else {
            f64::from(s.tasks)
        };
        let over = |each: f64, most: f64| most > 0.0 && each * at_once > most + 1e-9;
        (over(s.cpus, team.cpus_max) || over(s.gpus, team.gpus_max))
            .then_some(JobRejection::ExceedsTeamLimit)
    }
}

pub(super) fn over_view(id: &str, over: OverRecord) -> JobView {
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
