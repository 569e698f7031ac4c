//! Demand: tasks that fit neither the available nor the booting machines, so that machines have to be rented for them.

use super::capacity_pool::{CapacityPool, PlannedByZone};
use super::index::{JobIndex, MachineTypeIndex, ZoneIndex};
use super::job::Job;
use super::machines::Offer;
use super::preemption::FailedPreemptions;
use super::quota::AmountByTeam;
use super::unplaceable::UnplaceableRequests;
use super::Scheduler;
use crate::resources::Resources;

/// Tasks of a job that fit neither the available nor the booting machines.
#[derive(Debug, Clone)]
pub struct UnmetDemand {
    /// Resources of one task.
    pub task_resources: Resources,
    /// Number of tasks.
    pub tasks: u32,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Allowed machine types; `None` allows any.
    pub types: Option<Vec<MachineTypeIndex>>,
    /// Allowed zones; `None` allows any.
    pub zones: Option<Vec<ZoneIndex>>,
    /// Whether the tasks are replicas of a service, which do not end by themselves.
    pub service: bool,
}

impl UnmetDemand {
    /// Reports whether machines of an offer may run these tasks.
    #[must_use]
    pub fn allows(&self, offer: &Offer) -> bool {
        (self.spot || !offer.spot)
            && self
                .types
                .as_ref()
                .is_none_or(|types| types.contains(&offer.machine_type))
            && self
                .zones
                .as_ref()
                .is_none_or(|zones| zones.contains(&offer.zone))
    }

    /// Returns how many of the tasks fit into the free resources of a machine.
    #[must_use]
    pub fn count_fitting(&self, free: Resources) -> u32 {
        self.task_resources.count_fitting(free)
    }

    /// Returns the free resources of a machine that remain after a number of the tasks are placed there.
    #[must_use]
    pub fn free_after(&self, free: Resources, tasks: u32) -> Resources {
        free.saturating_sub(self.task_resources.saturating_mul(tasks))
    }
}

/// Resources and quotas that remain while the demand is computed job by job.
struct Forecast {
    /// Machines that accept tasks.
    accepting: CapacityPool,
    /// Machines that are booting.
    booting: CapacityPool,
    /// Resources that each team may still use within its limit.
    quotas: AmountByTeam,
    smallest_request: Resources,
    unplaceable: UnplaceableRequests,
    failed_preemptions: FailedPreemptions,
}

impl Scheduler {
    /// Returns the tasks that fit neither the machines that accept tasks nor those that are booting. If `preempt` is set, it
    /// first preempts other tasks for them where priorities and guarantees allow it.
    pub fn unmet_demand(&mut self, preempt: bool) -> Vec<UnmetDemand> {
        let queue = self.queue();
        let mut forecast = Forecast {
            accepting: CapacityPool::of_accepting_machines(self),
            booting: CapacityPool::of_booting_machines(self),
            quotas: self.quotas.available_by_team(),
            smallest_request: self.smallest_request(&queue),
            unplaceable: UnplaceableRequests::default(),
            failed_preemptions: FailedPreemptions::default(),
        };
        let mut demands = Vec::new();
        for index in queue {
            let tasks = self.tasks_within_quota(index, &mut forecast.quotas);
            if tasks > 0 {
                demands.extend(self.unmet_demand_of(index, tasks, &mut forecast, preempt));
            }
        }
        demands
    }

    /// Returns how many tasks of a job fit into what is left of its team's quota, and deducts their resources from it. A gang
    /// that does not fit as a whole counts as 0.
    fn tasks_within_quota(&self, index: JobIndex, quotas: &mut AmountByTeam) -> u32 {
        let job = self.job(index);
        let Some(team) = job.team else { return 0 };
        let left = quotas.get_mut(team);
        let per_task = job.task_resources.quota();
        let tasks = job.placeable(self.now()).min(per_task.count_fitting(*left));
        if job.is_gang() && tasks < job.pending() {
            return 0;
        }
        *left = left.saturating_sub(per_task.saturating_mul(tasks));
        tasks
    }

    /// Returns those of a job's `tasks` tasks for which no machine is available or booting.
    fn unmet_demand_of(
        &mut self,
        index: JobIndex,
        tasks: u32,
        forecast: &mut Forecast,
        preempt: bool,
    ) -> Option<UnmetDemand> {
        let mut planned = PlannedByZone::default();
        let mut left = forecast.allocate(self, index, tasks, &mut planned);
        if left == 0 {
            return None;
        }
        let zones = self.eligible_zones(self.job(index), &planned);
        if preempt {
            left -= self.preempt(
                index,
                left,
                &mut forecast.accepting,
                &mut planned,
                &mut forecast.failed_preemptions,
            );
        }
        let job = self.job(index);
        (left > 0).then(|| UnmetDemand {
            task_resources: job.task_resources,
            tasks: left,
            spot: job.spec().spot,
            types: job.machine_types.clone(),
            zones,
            service: job.is_service(),
        })
    }

    /// Returns the zones in which more tasks of a job may be placed; `None` if any zone is allowed.
    fn eligible_zones(&self, job: &Job, planned: &PlannedByZone) -> Option<Vec<ZoneIndex>> {
        if let Some(zone) = job.zone {
            return Some(vec![zone]);
        }
        job.has_zone_rule().then(|| {
            self.zones
                .indices()
                .filter(|zone| planned.allowance(job, *zone) > 0)
                .collect()
        })
    }
}

impl Forecast {
    /// Allocates resources for tasks of a job, on booting machines only after the available ones. Returns the number of tasks
    /// that did not fit.
    fn allocate(
        &mut self,
        scheduler: &Scheduler,
        index: JobIndex,
        tasks: u32,
        planned: &mut PlannedByZone,
    ) -> u32 {
        let job = scheduler.job(index);
        if self.unplaceable.covers(job) {
            return tasks;
        }
        let left = self.accepting.allocate(scheduler, job, tasks, planned);
        let left = self.booting.allocate(scheduler, job, left, planned);
        self.accepting.remove_full(self.smallest_request);
        self.booting.remove_full(self.smallest_request);
        if left > 0 && !job.has_zone_rule() {
            self.unplaceable.add(job);
        }
        left
    }
}
