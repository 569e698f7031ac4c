//! Scheduler parameters, derived from the settings.

use crate::config;
use crate::resources::QuotaResources;
use std::collections::HashMap;
use std::time::Duration;

/// Value of [`config::Objective::kind`] for objectives on the time until a job is finished.
const FINISH_OBJECTIVE_KIND: &str = "finished";

/// A team's quota.
#[derive(Debug, Clone)]
pub struct TeamQuota {
    /// Name of the team.
    pub name: String,
    /// Guaranteed resources.
    pub guarantee: QuotaResources,
    /// Maximum resources.
    pub limit: QuotaResources,
}

impl TeamQuota {
    /// Creates a quota from the settings of a team, in which a limit of 0 means no limit.
    #[must_use]
    pub fn new(team: &config::Team) -> Self {
        TeamQuota {
            name: team.name.clone(),
            guarantee: QuotaResources::guarantee(team.cpus, team.gpus),
            limit: QuotaResources::limit(team.cpus_max, team.gpus_max),
        }
    }
}

/// Parameters of a scheduler, fixed for its lifetime.
#[derive(Debug, Clone)]
pub struct Params {
    /// Duration of a worker's lease.
    pub lease_duration: Duration,
    /// Time between two heartbeats of a worker.
    pub heartbeat_interval: Duration,
    /// How long an earlier leader may have gone on renewing worker leases after its authority to start tasks ended.
    pub grace_period: Duration,
    /// Maximum ratio of the capabilities of the fastest and the slowest machine of a placement group.
    pub group_factor: f64,
    /// Assumed fetch rate of images in GB per second until it is measured.
    pub fetch_gb_per_s: f64,
    /// Whether placement applies the transfer test.
    pub transfer_test: bool,
    /// Quotas of all teams.
    pub teams: Vec<TeamQuota>,
    /// Time within which jobs of a class should be finished, for classes with such an objective.
    pub finish_within: HashMap<String, Duration>,
}

impl Params {
    /// Derives the parameters from the settings.
    #[must_use]
    pub fn new(settings: &config::Settings) -> Self {
        let deployment = &settings.platform.deployment;
        Params {
            lease_duration: deployment.workers.lease(),
            heartbeat_interval: deployment.workers.heartbeat_interval(),
            grace_period: settings.grace_period(),
            group_factor: settings.operator.group_factor,
            fetch_gb_per_s: settings.operator.fetch_gb_per_s,
            transfer_test: settings.operator.transfer_test,
            teams: deployment.teams.iter().map(TeamQuota::new).collect(),
            finish_within: finish_objectives(&deployment.objectives),
        }
    }
}

/// Returns the shortest time that objectives allow until a job is finished, for each class with such an objective.
fn finish_objectives(objectives: &[config::Objective]) -> HashMap<String, Duration> {
    let mut shortest: HashMap<String, Duration> = HashMap::new();
    for objective in objectives
        .iter()
        .filter(|o| o.kind == FINISH_OBJECTIVE_KIND)
    {
        if let (Some(class), Some(within)) = (&objective.class, objective.time_allowed()) {
            let known = shortest.entry(class.clone()).or_insert(within);
            *known = within.min(*known);
        }
    }
    shortest
}
