//! The scheduling pass: assigns pending tasks to machines.

use super::attempt::{TaskEvent, TaskId};
use super::index::{JobIndex, MachineIndex, ZoneIndex};
use super::job::Job;

use super::unplaceable::UnplaceableRequests;
use super::{Scheduler, TOKEN_BITS};
use crate::placement::{self, ByClass, Candidate, Request, ResourceClass, Share};
use crate::resources::Resources;
use std::collections::{BTreeMap, HashMap};

/// Most tasks of one job placed in one pass; the rest follows in the next one, milliseconds later.
const MAX_PLACED_PER_PASS: u32 = 2000;

/// What a pass looks up once.
pub(super) struct Pass {
    /// Machines that accept tasks and may have free resources for one.
    pub(super) machines: Vec<MachineIndex>,
    /// Mean capability of the measured machines; 1 without any.
    pub(super) mean_capability: ByClass<f64>,
    /// Slots on full holders that tasks wait for already.
    pub(super) awaited_slots: HashMap<MachineIndex, u32>,
    unplaceable: UnplaceableRequests,
}

/// How many tasks of a job are to be placed.
struct PlacementGoal {
    tasks: u32,
    /// Others are left for the next pass.
    has_more: bool,
}

impl Scheduler {
    /// How many tasks of a job may be added for its team's limit.
    pub(super) fn quota_allowance(&self, job: &Job) -> u32 {
        job.team.map_or(0, |team| {
            let per_task = job.task_resources.quota();
            per_task.count_fitting(self.quotas.available(team))
        })
    }

    /// Asks for a new scheduling pass, since time has passed.
    pub fn request_pass(&mut self) {
        self.pass_requested = true;
    }

    /// Places what can be placed now. True if there was something to look at.
    pub fn place(&mut self) -> bool {
        if self.now < self.placement_allowed_from
            || self.is_exhausted()
            || !std::mem::take(&mut self.pass_requested)
        {
            return false;
        }
        let queue = self.queue();
        self.unplaced_production.clear();
        if queue.is_empty() {
            return true;
        }
        let smallest_request = self.smallest_request(&queue);
        let mut pass = self.begin_pass(smallest_request);
        for index in queue {
            let is_production = self.job(index).is_production();
            if pass.machines.is_empty() && !is_production {
                break;
            }
            if !pass.machines.is_empty() && !pass.unplaceable.covers(self.job(index)) {
                self.place_job(index, &mut pass);
            }
            if self.job(index).pending() == 0 {
                continue;
            }
            if is_production {
                self.unplaced_production.push(index);
            }
            // What has filled up meanwhile is not looked at again.
            pass.machines
                .retain(|machine| smallest_request.fits(self.machine(*machine).load.free()));
        }
        true
    }

    /// Looks up what a pass needs of the machines.
    fn begin_pass(&self, smallest_request: Resources) -> Pass {
        let mut machines = Vec::new();
        let mut sums: ByClass<(f64, u32)> = ByClass::default();
        for (index, machine) in self.machines() {
            if !self.accepts_tasks(machine) {
                continue;
            }
            for class in ResourceClass::ALL {
                if let Some(capability) = machine.capability.get(class) {
                    let (sum, count) = sums.get(class);
                    sums.set(class, (sum + capability, count + 1));
                }
            }
            if smallest_request.fits(machine.load.free()) {
                machines.push(index);
            }
        }
        let mut mean_capability = ByClass::default();
        for class in ResourceClass::ALL {
            let (sum, count) = sums.get(class);
            let mean = if count > 0 {
                sum / f64::from(count)
            } else {
                1.0
            };
            mean_capability.set(class, mean);
        }
        Pass {
            machines,
            mean_capability,
            awaited_slots: HashMap::new(),
            unplaceable: UnplaceableRequests::default(),
        }
    }

    /// Places tasks of one job.
    fn place_job(&mut self, index: JobIndex, pass: &mut Pass) {
        let job = self.job(index);
        let Some(goal) = self.placement_goal(job) else {
            return;
        };
        let mut candidates = self.candidates(job, pass);
        if candidates.is_empty() {
            pass.unplaceable.add(job);
            return;
        }
        if job.spec().single_zone && job.active_by_zone.values().all(|count| *count == 0) {
            self.keep_zone_with_most_slots(&mut candidates);
        }
        let request = self.placement_request(job, &goal, &candidates);
        let plan = placement::plan(candidates, request);
        let placed: u64 = plan
            .start_now
            .iter()
            .map(|share| u64::from(share.tasks))
            .sum();
        if job.is_gang() && placed < u64::from(goal.tasks) {
            return;
        }
        // Where so many have found a place, others may as well.
        self.pass_requested |= goal.has_more && !plan.start_now.is_empty();
        for share in plan.wait_for {
            *pass.awaited_slots.entry(share.machine).or_default() += share.tasks;
        }
        self.assign_shares(index, &plan.start_now, goal.tasks);
    }

    /// How many tasks of a job to place; none if there are none, or a gang that can't start now.
    fn placement_goal(&self, job: &Job) -> Option<PlacementGoal> {
        let wanted = job.placeable(self.now()).min(self.quota_allowance(job));
        let tasks = if job.is_gang() {
            wanted
        } else {
            wanted.min(MAX_PLACED_PER_PASS)
        };
        // A gang starts whole or not at all: what is left of an earlier try must be gone first.
        let gang_blocked = job.is_gang() && (tasks < job.pending() || !job.active.is_empty());
        (tasks > 0 && !gang_blocked).then_some(PlacementGoal {
            tasks,
            has_more: wanted > tasks,
        })
    }

    /// Keeps the candidates of the zone with the most free slots. A job whose tasks stay together gets its zone with its first
    /// task.
    fn keep_zone_with_most_slots(&self, candidates: &mut Vec<Candidate<MachineIndex>>) {
        let mut slots: BTreeMap<ZoneIndex, u64> = BTreeMap::new();
        for candidate in candidates.iter() {
            let zone = self.machine(candidate.machine).zone();
            *slots.entry(zone).or_default() += u64::from(candidate.free_slots);
        }
        let zone_with_most_slots = slots
            .iter()
            .max_by_key(|(_, slots)| **slots)
            .map(|(zone, _)| *zone);
        candidates.retain(|candidate| {
            Some(self.machine(candidate.machine).zone()) == zone_with_most_slots
        });
    }

    /// What `placement` has to know of a job.
    fn placement_request(
        &self,
        job: &Job,
        goal: &PlacementGoal,
        candidates: &[Candidate<MachineIndex>],
    ) -> Request {
        let machine_type = self.machine(candidates[0].machine).machine_type();
        let fetch_gb_per_s = self.fetch_rates.gb_per_s(machine_type);
        // With a zone rule a machine may get less than planned; the plan then covers all machines.
        let slots = if job.spec().spread_zones {
            u32::MAX
        } else {
            goal.tasks
        };
        Request {
            slots,
            tasks: goal.tasks,
            run_s: job.expected_run_s(),
            transfer_s: job.spec().image_gb / fetch_gb_per_s,
            group_factor: self.params.group_factor,
            transfer_test: self.params.transfer_test && !self.has_waited_long(job),
        }
    }

    /// Assigns up to `tasks` tasks of a job to machines, as its zone rules allow.
    fn assign_shares(&mut self, index: JobIndex, shares: &[Share<MachineIndex>], tasks: u32) {
        let is_gang = self.job(index).is_gang();
        // A gang's tasks share an attempt.
        self.attempts += u64::from(is_gang);
        let mut left = tasks;
        for share in shares {
            let machine = share.machine;
            let zone = self.machine(machine).zone();
            for _ in 0..share.tasks {
                if left == 0 {
                    return;
                }
                if self.job(index).zone_allowance(zone) == 0 {
                    break;
                }
                let Some(number) = self.job_mut(index).take_pending() else {
                    return;
                };
                self.attempts += u64::from(!is_gang);
                let attempt = (self.epoch.as_u64() << TOKEN_BITS) + self.attempts;
                let task = TaskId { job: index, number };
                self.apply_event(task, TaskEvent::Assign { machine, attempt });
                left -= 1;
            }
        }
    }
}
