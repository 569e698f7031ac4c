//! Fixed numbers of a scheduler, from the settings.

use crate::resources::QuotaResources;
use crate::time::{millis, whole_millis};
use std::collections::HashMap;

/// A team's quota; `u64::MAX` where it has none.
#[derive(Debug, Clone)]
pub struct TeamQuota {
    /// Name.
    pub name: String,
    /// Guarantee (CPUs, accelerators).
    pub guarantee: QuotaResources,
    /// Limit (CPUs, accelerators).
    pub limit: QuotaResources,
}

impl TeamQuota {
    /// From the settings, where 0 means none.
    #[must_use]
    pub fn new(t: &crate::config::Team) -> Self {
        let floor = |x: f64| (x * 1000.0 + 1e-6).floor() as u64;
        let limit = |x: f64| if x > 0.0 { floor(x) } else { u64::MAX };
        TeamQuota {
            name: t.name.clone(),
            guarantee: QuotaResources {
                cpu_milli: floor(t.cpus),
                accelerator_milli: floor(t.gpus),
            },
            limit: QuotaResources {
                cpu_milli: limit(t.cpus_max),
                accelerator_milli: limit(t.gpus_max),
            },
        }
    }
}

/// Fixed numbers of a scheduler, from the settings.
#[derive(Debug, Clone)]
pub struct Params {
    /// Lease of the workers.
    pub lease_ms: u64,
    /// Time between reports.
    pub report_ms: u64,
    /// How long an earlier leader may have renewed leases after its own lease.
    pub grace_ms: u64,
    /// Group factor.
    pub group_factor: f64,
    /// Fetch rate until measured.
    pub fetch_gb_per_s: f64,
    /// Whether the transfer test applies.
    pub transfer_test: bool,
    /// Teams.
    pub teams: Vec<TeamQuota>,
    /// Classes whose jobs are expected to be finished within a time, in milliseconds.
    pub finish_ms: HashMap<String, u64>,
}

impl Params {
    /// From the settings.
    pub fn new(s: &crate::config::Settings) -> Self {
        let w = &s.platform.deployment.workers;
        let mut finish_ms: HashMap<String, u64> = HashMap::new();
        for o in s
            .platform
            .deployment
            .objectives
            .iter()
            .filter(|o| o.kind == "finished")
        {
            if let (Some(class), Some(within_s)) = (&o.class, o.within_s) {
                let ms = (within_s * 1000.0).max(0.0) as u64;
                let known = finish_ms.entry(class.clone()).or_insert(ms);
                *known = ms.min(*known);
            }
        }
        Params {
            finish_ms,
            lease_ms: millis(w.lease_s),
            report_ms: millis(w.report_s),
            grace_ms: whole_millis(s.grace_period()),
            group_factor: s.operator.group_factor,
            fetch_gb_per_s: s.operator.fetch_gb_per_s,
            transfer_test: s.operator.transfer_test,
            teams: s
                .platform
                .deployment
                .teams
                .iter()
                .map(TeamQuota::new)
                .collect(),
        }
    }
}
