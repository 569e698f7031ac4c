//! Submissions: a user submits a job.
//!
//! 1. Submissions are idempotent: if the job is already known, the request is answered like a poll and changes nothing.
//! 2. A job that can never run is rejected, unless it was accepted earlier, under other settings or machine types.
//! 3. Otherwise a transaction creates the job's record, on the condition that the job does not exist in any state. The job is
//!    accepted once that transaction is durable. The leader learns of the job from its watch.
//! 4. If the transaction's conditions fail, the job already exists. If the transaction is not answered, the record is read
//!    back. If the store refuses it for its size, the job is rejected, unless it was accepted earlier.

#[cfg(test)]
mod tests;

use super::final_outcome;
use crate::config::Team;
use crate::controller::handles::Handles;
use crate::controller::messages::{JobOutcome, JobRejection};
use crate::controller::state::ControllerState;
use crate::protocol::{JobKind, JobSpec, JobState, JobView};
use crate::store::{self, json_bytes, JobRecord, StoreError, TxnOutcome};

/// Number of changes to the store per submission.
const SUBMISSION_CHANGES: u32 = 1;
/// Tolerance for rounding errors when a job's resources are compared with its team's limit.
const LIMIT_TOLERANCE: f64 = 1e-9;

/// The assessment of a submitted job from the replica and the settings, before any access to the store.
enum Assessment {
    /// The job was accepted earlier and is unfinished.
    Unfinished,
    /// This controller has not read the store or the machine types yet.
    NotReady,
    /// The job can never run.
    Rejected(JobRejection),
    /// The job may be accepted.
    Acceptable,
}

impl Handles {
    /// Answers a submission.
    pub(in crate::controller) async fn submit(&self, spec: JobSpec) -> JobOutcome {
        let id = spec.id.as_str();
        if let Some(final_state) = self.remembered_final_state(id) {
            return final_outcome(id, final_state);
        }
        match self.read_state(|state| state.assess(&spec)) {
            // A transaction would fail, but still count as a change: repeated submissions could exhaust the rate of changes.
            Assessment::Unfinished => self.poll_or(id, JobOutcome::RETRY_SOON).await,
            Assessment::NotReady => JobOutcome::RETRY_SOON,
            // A job that was accepted earlier stays accepted, whatever the current settings and machine types are.
            Assessment::Rejected(reason) => self.poll_or(id, JobOutcome::Rejected(reason)).await,
            Assessment::Acceptable => match self.admit_changes(SUBMISSION_CHANGES) {
                Ok(()) => self.accept(spec).await,
                Err(retry) => retry,
            },
        }
    }

    /// Creates the record of a submitted job, which makes the job durable.
    async fn accept(&self, spec: JobSpec) -> JobOutcome {
        let at_ms = self.read_state(ControllerState::unix_millis);
        let record = JobRecord { spec, at_ms };
        let id = record.spec.id.as_str();
        let bytes = json_bytes(&record);
        if bytes > self.read_state(|state| state.write_limits().largest_value_bytes()) {
            return self.reject_too_large(id, bytes).await;
        }
        match self
            .run_user_transaction(&store::submit_txn(id, &record))
            .await
        {
            Ok(TxnOutcome::Applied(_)) => JobOutcome::Accepted(queued_view(id)),
            Ok(TxnOutcome::Failed(keys)) if keys.contains(&store::final_key(id)) => {
                match self.final_state(id).await {
                    Ok(final_state) => final_outcome(id, final_state),
                    Err(_) => JobOutcome::RETRY_SOON,
                }
            }
            Ok(TxnOutcome::Failed(_)) => JobOutcome::Known(self.unfinished_view(id)),
            Err(StoreError::OutcomeUnknown(_)) => self.read_back_submission(id).await,
            Err(StoreError::TransactionRefused(_)) => self.reject_too_large(id, bytes).await,
            Err(_) => JobOutcome::RETRY_SOON,
        }
    }

    /// Rejects a job whose record the store does not accept, unless the job was accepted earlier, when limits were higher. The
    /// store checks the size of a transaction before its guards, so that a refusal does not tell.
    async fn reject_too_large(&self, id: &str, bytes: usize) -> JobOutcome {
        let rejection = JobRejection::RecordTooLarge { bytes };
        self.poll_or(id, JobOutcome::Rejected(rejection)).await
    }

    /// Returns the state of a job that is unfinished in the store, though it may not have reached the replica yet.
    fn unfinished_view(&self, id: &str) -> JobView {
        self.read_state(|state| {
            let in_replica = state.replica().live.contains_key(id);
            in_replica.then(|| state.job_view(id)).flatten()
        })
        .unwrap_or_else(|| queued_view(id))
    }

    /// Reads the store to find out whether an unanswered transaction has created the job.
    async fn read_back_submission(&self, id: &str) -> JobOutcome {
        let read = self.store.get::<JobRecord>(&store::live_key(id)).await;
        match self.record_store_response(read) {
            Ok(_) => JobOutcome::Known(queued_view(id)),
            Err(_) => JobOutcome::RETRY_SOON,
        }
    }
}

impl ControllerState {
    /// Assesses a submitted job without access to the store.
    fn assess(&self, spec: &JobSpec) -> Assessment {
        if self.replica().live.contains_key(&spec.id) {
            Assessment::Unfinished
        } else if !self.replica().initialized || self.machine_types().is_empty() {
            Assessment::NotReady
        } else if let Err(reason) = self.check_runnable(spec) {
            Assessment::Rejected(reason)
        } else {
            Assessment::Acceptable
        }
    }

    /// Checks that a job can run at all under the current settings and with the current machine types.
    fn check_runnable(&self, spec: &JobSpec) -> Result<(), JobRejection> {
        let teams = &self.settings().platform.deployment.teams;
        let team = teams
            .iter()
            .find(|team| team.name == spec.team)
            .ok_or(JobRejection::UnknownTeam)?;
        if !self.any_machine_type_fits(spec) {
            return Err(JobRejection::NoMachineTypeFits);
        }
        if exceeds_team_limit(spec, team) {
            return Err(JobRejection::ExceedsTeamLimit);
        }
        Ok(())
    }

    /// Reports whether one task fits on an empty machine of a type that the job allows.
    fn any_machine_type_fits(&self, spec: &JobSpec) -> bool {
        self.machine_types().iter().any(|machine_type| {
            let type_allowed = spec
                .machine_types
                .as_ref()
                .is_none_or(|types| types.contains(&machine_type.name));
            let zone_allowed = spec
                .zone
                .as_ref()
                .is_none_or(|zone| machine_type.zones.contains(zone));
            type_allowed
                && zone_allowed
                && spec.cpus <= machine_type.cpus
                && spec.gpus <= machine_type.gpus
                && spec.memory_gb <= machine_type.memory_gb
        })
    }
}

/// Reports whether the tasks of a job that have to run at the same time need more than its team's limit. Tasks of a job array
/// run independently; those of any other job run together.
fn exceeds_team_limit(spec: &JobSpec, team: &Team) -> bool {
    let simultaneous_tasks = match spec.kind {
        JobKind::Array => 1.0,
        JobKind::Service | JobKind::Gang => f64::from(spec.tasks),
    };
    // A limit of zero means unlimited.
    let exceeds =
        |each: f64, limit: f64| limit > 0.0 && each * simultaneous_tasks > limit + LIMIT_TOLERANCE;
    exceeds(spec.cpus, team.cpus_max) || exceeds(spec.gpus, team.gpus_max)
}

/// Returns the view of a job that has just been accepted.
fn queued_view(id: &str) -> JobView {
    JobView {
        id: id.to_string(),
        state: JobState::Queued,
        done: Some(0),
        running: Some(0),
    }
}
