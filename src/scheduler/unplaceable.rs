//! Requests for which no machine was found, so that equal or more demanding ones are not tried.

use super::index::{MachineTypeIndex, ZoneIndex};
use super::job::Job;
use crate::resources::Resources;

/// Maximum number of requests that are remembered.
const MAX_REQUESTS: usize = 64;

/// Requests that found no machine in a pass. Free resources only shrink during a pass, so a job that requests as many resources
/// or more, and allows the same machines or fewer, need not be tried.
#[derive(Default)]
pub(super) struct UnplaceableRequests(Vec<UnplaceableRequest>);

struct UnplaceableRequest {
    task_resources: Resources,
    spot: bool,
    machine_types: Option<Vec<MachineTypeIndex>>,
    zone: Option<ZoneIndex>,
}

impl UnplaceableRequest {
    /// Reports whether a job requests at least as much and allows no other machines, so that it would find none either.
    fn covers(&self, job: &Job) -> bool {
        job.task_resources.covers(self.task_resources)
            && (self.spot || !job.spec().spot)
            && (self.machine_types.is_none() || self.machine_types == job.machine_types)
            && (self.zone.is_none() || self.zone == job.zone)
    }
}

impl UnplaceableRequests {
    /// Reports whether a job is known to find no machine.
    pub(super) fn covers(&self, job: &Job) -> bool {
        self.0.iter().any(|request| request.covers(job))
    }

    /// Records that a job has found no machine.
    pub(super) fn add(&mut self, job: &Job) {
        if self.0.len() < MAX_REQUESTS {
            self.0.push(UnplaceableRequest {
                task_resources: job.task_resources,
                spot: job.spec().spot,
                machine_types: job.machine_types.clone(),
                zone: job.zone,
            });
        }
    }
}
