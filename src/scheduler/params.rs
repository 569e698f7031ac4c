//! Fixed numbers of a scheduler, from the settings.

use crate::config;
use crate::resources::QuotaResources;
use std::collections::HashMap;
use std::time::Duration;

/// The kind of objectives for the time in which a job is finished.
const FINISHED: &str = "finished";

/// A team's quota.
#[derive(Debug, Clone)]
pub struct TeamQuota {
    /// Name.
    pub name: String,
    /// Guarantee.
    pub guarantee: QuotaResources,
    /// Limit.
    pub limit: QuotaResources,
}

impl TeamQuota {
    /// From the settings, where a limit of 0 means none.
    #[must_use]
    pub fn new(team: &config::Team) -> Self {
        TeamQuota {
            name: team.name.clone(),
            guarantee: QuotaResources::guarantee(team.cpus, team.gpus),
            limit: QuotaResources::limit(team.cpus_max, team.gpus_max),
        }
    }
}

/// Fixed numbers of a scheduler, from the settings.
#[derive(Debug, Clone)]
pub struct Params {
    /// Lease of the workers.
    pub lease: Duration,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// How long an earlier leader may have renewed leases after its own lease.
    pub grace_period: Duration,
    /// Capability of the fastest machine of a group over that of the slowest, at most.
    pub group_factor: f64,
    /// The fetch rate of images until it is measured.
    pub fetch_gb_per_s: f64,
    /// Whether the transfer test applies.
    pub transfer_test: bool,
    /// The quotas of the teams.
    pub teams: Vec<TeamQuota>,
    /// Within which time jobs of a class are expected to be finished, for classes with such an objective.
    pub finish_within: HashMap<String, Duration>,
}

impl Params {
    /// From the settings.
    #[must_use]
    pub fn new(settings: &config::Settings) -> Self {
        let deployment = &settings.platform.deployment;
        Params {
            lease: deployment.workers.lease(),
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

/// The shortest time of each class with an objective for finished jobs.
fn finish_objectives(objectives: &[config::Objective]) -> HashMap<String, Duration> {
    let mut shortest: HashMap<String, Duration> = HashMap::new();
    for objective in objectives.iter().filter(|o| o.kind == FINISHED) {
        if let (Some(class), Some(within)) = (&objective.class, objective.time_allowed()) {
            let known = shortest.entry(class.clone()).or_insert(within);
            *known = within.min(*known);
        }
    }
    shortest
}
