//! Demand: what finds no room, how much of each machine is used, and which machines are more than is needed.

use super::index::{MachineIndex, MachineTypeIndex, Table, ZoneIndex};
use super::jobs::Job;
use super::machine::{Machine, MachineState, Offer};
use super::preemption::FailedSearch;
use super::scheduling_pass::UnplaceableRequests;
use super::tasks::TaskEvent;
use super::Scheduler;
use crate::protocol::Kind;
use crate::resources::{QuotaResources, Resources};
use std::collections::HashMap;

/// How much of a machine is used, for the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Utilization {
    /// Index.
    pub machine: MachineIndex,
    /// The offer that it was rented from.
    pub offer: Offer,
    /// Since when it is known.
    pub since: u64,
    /// All its CPUs.
    pub cpus: u64,
    /// CPUs in use.
    pub used: u64,
    /// CPUs in use by services.
    pub services: u64,
}

/// Tasks for which no room is in sight.
#[derive(Debug, Clone)]
pub struct UnmetDemand {
    /// What one takes.
    pub task_resources: Resources,
    /// How many.
    pub tasks: u32,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Allowed types.
    pub types: Option<Vec<MachineTypeIndex>>,
    /// Allowed zones; none: any.
    pub zones: Option<Vec<ZoneIndex>>,
    /// A service's tasks never end.
    pub service: bool,
}

impl UnmetDemand {
    /// Whether machines of an offer may run these tasks.
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

    /// How many of the tasks fit into a machine's room.
    #[must_use]
    pub fn fitting(&self, free: Resources) -> u32 {
        self.task_resources.count_fitting(free)
    }

    /// What is left of a machine's room beside a number of the tasks.
    #[must_use]
    pub fn rest(&self, free: Resources, tasks: u32) -> Resources {
        free.saturating_sub(self.task_resources.saturating_mul(tasks))
    }
}

/// Machines in the order in which they are filled, spot machines first, and what is left of their room.
pub(super) struct Pool {
    order: Vec<MachineIndex>,
    room: Table<MachineIndex, Resources>,
}

impl Pool {
    pub(super) fn new(
        scheduler: &Scheduler,
        rooms: impl Iterator<Item = (MachineIndex, Resources)>,
    ) -> Pool {
        let mut pool = Pool {
            order: Vec::new(),
            room: Table::filled(Resources::ZERO, scheduler.machines.len()),
        };
        let mut ordinary = Vec::new();
        for (i, room) in rooms {
            if scheduler.machine(i).spot {
                &mut pool.order
            } else {
                &mut ordinary
            }
            .push(i);
            pool.room[i] = room;
        }
        pool.order.append(&mut ordinary);
        pool
    }

    /// Takes room for up to `left` tasks of a job, within its zones' caps; returns how many found none.
    pub(super) fn take(
        &mut self,
        scheduler: &Scheduler,
        job: &Job,
        mut left: u32,
        zones: &mut HashMap<ZoneIndex, u32>,
    ) -> u32 {
        let bound = job.record.spec.scatter || job.record.spec.together;
        for &i in &self.order {
            if left == 0 {
                break;
            }
            let mut n = job.task_resources.count_fitting(self.room[i]).min(left);
            let m = scheduler.machine(i);
            if n == 0 || !scheduler.may_host(job, m) {
                continue;
            }
            if bound {
                n = n.min(
                    scheduler
                        .zone_cap(job, m.zone)
                        .saturating_sub(zones.get(&m.zone).copied().unwrap_or(0)),
                );
                *zones.entry(m.zone).or_default() += n;
            }
            self.room[i] = self.room[i].saturating_sub(job.task_resources.saturating_mul(n));
            left -= n;
        }
        left
    }

    /// What is left of a machine's room.
    pub(super) fn room_of(&self, machine: MachineIndex) -> Resources {
        self.room[machine]
    }

    /// Changes what is left of a machine's room.
    pub(super) fn set_room(&mut self, machine: MachineIndex, room: Resources) {
        self.room[machine] = room;
    }

    /// No longer looks at what has no room for the least need.
    fn trim(&mut self, least: Resources) {
        let room = &self.room;
        self.order.retain(|i| least.fits(room[*i]));
    }
}

impl Scheduler {
    /// Looks ahead: stops lower work where a higher job or a guarantee has a claim, and returns what finds no room even
    /// on the machines that are coming up.
    pub fn unmet_demand(&mut self, preempt: bool) -> Vec<UnmetDemand> {
        let mut room = Pool::new(
            self,
            self.machines()
                .filter(|(_, m)| self.open(m))
                .map(|(i, m)| (i, self.coming(m))),
        );
        let mut later = Pool::new(
            self,
            self.machines()
                .filter(|(_, m)| self.on_its_way(m))
                .map(|(i, m)| (i, m.free)),
        );
        let mut team_left: Vec<QuotaResources> = (0..self.params.teams.len())
            .map(|t| self.params.teams[t].limit.saturating_sub(self.team_use[t]))
            .collect();
        let queue = self.queue();
        let least = queue
            .iter()
            .map(|j| self.job(*j).task_resources)
            .reduce(Resources::min);
        let least = least.unwrap_or(Resources::ONE);
        let (mut demands, mut unplaceable, mut asked) = (
            Vec::new(),
            UnplaceableRequests::default(),
            Vec::<FailedSearch>::new(),
        );
        for j in queue {
            let job = self.job(j);
            let Some(team) = job.team else { continue };
            let per_task = job.task_resources.quota();
            let mut left = job
                .wanted(self.now)
                .min(per_task.count_fitting(team_left[team]));
            if left == 0 || (job.record.spec.kind == Kind::Gang && left < job.pending()) {
                continue;
            }
            team_left[team] = team_left[team].saturating_sub(per_task.saturating_mul(left));
            let mut zones: HashMap<ZoneIndex, u32> = HashMap::new();
            if !unplaceable.covers(job) {
                left = room.take(self, job, left, &mut zones);
                left = later.take(self, job, left, &mut zones);
                room.trim(least);
                later.trim(least);
                if left > 0 && !(job.record.spec.scatter || job.record.spec.together) {
                    unplaceable.add(job);
                }
            }
            if left == 0 {
                continue;
            }
            let (task_resources, spec) = (job.task_resources, &job.record.spec);
            let (types, zone, spot, service) = (
                job.types.clone(),
                job.zone,
                spec.spot,
                spec.kind == Kind::Service,
            );
            let capped: Option<Vec<ZoneIndex>> = (spec.scatter || spec.together).then(|| {
                self.zones
                    .indices()
                    .filter(|z| self.zone_cap(job, *z) > zones.get(z).copied().unwrap_or(0))
                    .collect()
            });
            if preempt {
                left -= self.preempt(j, left, &mut room, &mut zones, &mut asked);
            }
            if left > 0 {
                demands.push(UnmetDemand {
                    task_resources,
                    tasks: left,
                    spot,
                    types,
                    zones: zone.map(|z| vec![z]).or(capped),
                    service,
                });
            }
        }
        demands
    }

    /// Room of a machine, with what is being stopped there.
    pub(super) fn coming(&self, m: &Machine) -> Resources {
        if m.stopping == 0 {
            return m.free;
        }
        let ending = m.tasks.iter().filter_map(|task| {
            let job = self.job(task.job);
            job.active
                .get(&task.number)
                .filter(|a| a.stops())
                .map(|_| job.task_resources)
        });
        ending.fold(m.free, Resources::saturating_add)
    }

    /// CPUs that the services of all unfinished jobs ask for, and those that they hold in each zone.
    #[must_use]
    pub fn service_demand(&self) -> (u64, HashMap<ZoneIndex, u64>) {
        let mut all = 0;
        let mut placed: HashMap<ZoneIndex, u64> = HashMap::new();
        for job in self
            .jobs()
            .filter(|j| j.record.spec.kind == Kind::Service && !j.ended)
        {
            all += job.task_resources.cpu_milli * u64::from(job.tasks());
            for (zone, n) in &job.zone_use {
                *placed.entry(*zone).or_default() += job.task_resources.cpu_milli * u64::from(*n);
            }
        }
        (all, placed)
    }

    /// CPUs of ordinary machines that are coming up, by zone.
    #[must_use]
    pub fn coming_up(&self) -> HashMap<ZoneIndex, u64> {
        let mut out = HashMap::new();
        for (_, m) in self.machines() {
            if !m.spot && self.on_its_way(m) {
                *out.entry(m.zone).or_default() += m.free.cpu_milli;
            }
        }
        out
    }

    /// The machines that take tasks.
    #[must_use]
    pub fn utilization(&self) -> Vec<Utilization> {
        let open = self
            .machines()
            .filter(|(_, m)| m.state == MachineState::Up && m.notice_at.is_none());
        open.map(|(machine, m)| {
            let cpus = self.machine_types.capacity(m.machine_type).cpu_milli;
            let used = cpus.saturating_sub(m.free.cpu_milli);
            Utilization {
                machine,
                offer: m.offer(),
                since: m.since,
                cpus,
                used,
                services: m.service_cpus,
            }
        })
        .collect()
    }

    /// Takes a machine out of use because there is more room than is needed.
    pub fn spare_machine(&mut self, i: MachineIndex) {
        self.enter(i, MachineState::Draining, "surplus");
        self.machine_mut(i).surplus = true;
    }

    /// Takes surplus machines back into use.
    pub fn use_surplus(&mut self) {
        for i in self.machines.indices() {
            let back = |m: &Machine| {
                m.surplus && m.state == MachineState::Draining && m.notice_at.is_none()
            };
            if self.machines[i].as_ref().is_some_and(back) {
                self.enter(i, MachineState::Up, "needed again");
                self.machine_mut(i).surplus = false;
            }
        }
    }

    /// Moves one replica off a surplus machine on which nothing else is left, if a holder has room for it.
    pub fn move_replica(&mut self) {
        for i in self.machines.indices() {
            let Some(m) = self.machines[i]
                .as_ref()
                .filter(|m| m.surplus && m.state == MachineState::Draining)
            else {
                continue;
            };
            let services = m
                .tasks
                .iter()
                .all(|task| self.job(task.job).record.spec.kind == Kind::Service);
            let Some(&task) = m.tasks.iter().next().filter(|_| services) else {
                continue;
            };
            let job = self.job(task.job);
            let free = |o: &Machine| {
                let same_zone =
                    o.zone == m.zone || !(job.record.spec.scatter || job.record.spec.together);
                self.open(o)
                    && self.may_host(job, o)
                    && same_zone
                    && o.images.contains(&job.image)
                    && job.task_resources.fits(o.free)
            };
            if self.machines().any(|(_, o)| free(o)) {
                self.apply_event(task, TaskEvent::Stop { save: false });
                return;
            }
        }
    }
}
