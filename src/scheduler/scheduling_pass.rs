//! The scheduling pass: assigns pending tasks to machines.

use super::attempt::{TaskEvent, TaskId};
use super::index::{JobIndex, MachineIndex, ZoneIndex};
use super::job::Job;

use super::unplaceable::UnplaceableRequests;
use super::{Scheduler, EPOCH_SHIFT};
use crate::placement::{self, ByClass, Candidate, Request, ResourceClass, Share};
use crate::resources::Resources;
use std::collections::{BTreeMap, HashMap};

/// Maximum number of tasks of one job that are placed in one pass. The rest follows in the next pass, milliseconds later.
const MAX_PLACED_PER_PASS: u32 = 2000;

/// Data that a scheduling pass computes once, and what it has learned so far.
pub(super) struct Pass {
    /// Machines that accept tasks and have free resources for at least the smallest request.
    pub(super) machines: Vec<MachineIndex>,
    /// Mean capability of the measured machines; 1 if none is measured.
    pub(super) mean_capability: ByClass<f64>,
    unplaceable: UnplaceableRequests,
}

/// A series of scheduling passes that together try every job of the queue once. Usually one pass suffices.
#[derive(Default)]
pub(super) struct Sweep {
    /// Number of the sweep. Jobs with this number have been tried in it.
    number: u64,
    /// Whether a pass was interrupted, so that the next one goes on with the jobs that have not been tried.
    is_interrupted: bool,
    /// Number of slots on each full image holder for which tasks of jobs tried earlier wait.
    pub(super) awaited_slots: HashMap<MachineIndex, u32>,
}

impl Sweep {
    /// Begins the next sweep, unless this one is still to be completed.
    fn begin_unless_interrupted(&mut self) {
        if !self.is_interrupted {
            self.number += 1;
            self.awaited_slots.clear();
        }
        self.is_interrupted = false;
    }
}

/// Number of tasks of a job to be placed in this pass.
struct PlacementGoal {
    tasks: u32,
    /// Whether more tasks of the job are left for the next pass.
    has_more: bool,
}

impl Scheduler {
    /// Returns how many more tasks of a job its team's limit allows; 0 if the settings do not name the team.
    pub(super) fn quota_allowance(&self, job: &Job) -> u32 {
        job.team.map_or(0, |team| {
            let per_task = job.task_resources.quota();
            per_task.count_fitting(self.quotas.available(team))
        })
    }

    /// Requests a scheduling pass. Needed where only time has passed, such as at the end of a retry delay.
    pub fn request_pass(&mut self) {
        self.pass_requested = true;
    }

    /// Reports whether a scheduling pass is needed because tasks may be placed that could not be placed before, or because the
    /// last one was interrupted.
    #[must_use]
    pub fn is_pass_requested(&self) -> bool {
        self.pass_requested || self.sweep.is_interrupted
    }

    /// Runs a scheduling pass if one is requested and placement is allowed, and assigns the tasks that can start now. Returns
    /// whether a pass was run.
    ///
    /// The pass is interrupted after a job when `may_continue` returns `false`. The next pass goes on with the jobs that have
    /// not been tried, in the order of that time, so that a job that has been added or has become more urgent does not wait for
    /// those that are tried already.
    pub fn place_while(&mut self, may_continue: impl Fn() -> bool) -> bool {
        if self.now < self.placement_allowed_from
            || self.has_exhausted_attempts()
            || !self.is_pass_requested()
        {
            return false;
        }
        // A request that came during an interrupted sweep stands until that sweep is complete.
        if !self.sweep.is_interrupted {
            self.pass_requested = false;
        }
        self.sweep.begin_unless_interrupted();
        self.run_pass(may_continue);
        true
    }

    /// Runs a scheduling pass without interruption, see [`Scheduler::place_while`].
    pub fn place(&mut self) -> bool {
        self.place_while(|| true)
    }

    /// Tries the jobs of the queue that have not been tried in this sweep, until `may_continue` returns `false`.
    fn run_pass(&mut self, may_continue: impl Fn() -> bool) {
        let queue = self.queue();
        self.unplaced_production.clear();
        if queue.is_empty() {
            return;
        }
        let smallest_request = self.smallest_request(&queue);
        let mut pass = self.begin_pass(smallest_request);
        for index in queue {
            if !self.mark_tried(index) {
                continue;
            }
            if pass.machines.is_empty() && !self.job(index).is_production() {
                break;
            }
            self.try_job(index, smallest_request, &mut pass);
            if !may_continue() {
                self.sweep.is_interrupted = true;
                break;
            }
        }
    }

    /// Places tasks of a job unless it is known to find no machine.
    fn try_job(&mut self, index: JobIndex, smallest_request: Resources, pass: &mut Pass) {
        if !pass.machines.is_empty() && !pass.unplaceable.covers(self.job(index)) {
            self.place_job(index, pass);
        }
        let job = self.job(index);
        if job.pending() == 0 {
            return;
        }
        if job.is_production() {
            self.unplaced_production.push(index);
        }
        // Machines that have become full are not considered for the remaining jobs.
        pass.machines
            .retain(|machine| smallest_request.fits(self.machine(*machine).load.free()));
    }

    /// Marks a job as tried in this sweep. Returns `false` if it has been tried in an earlier pass of the sweep.
    fn mark_tried(&mut self, index: JobIndex) -> bool {
        let sweep = self.sweep.number;
        std::mem::replace(&mut self.job_mut(index).tried_in_sweep, sweep) != sweep
    }

    /// Collects the machines of a pass and the mean capability in each resource class.
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
            unplaceable: UnplaceableRequests::default(),
        }
    }

    /// Plans and assigns tasks of one job.
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
        // Some tasks were placed and more are left: the next pass may place them as well.
        self.pass_requested |= goal.has_more && !plan.start_now.is_empty();
        for share in plan.wait_for {
            *self.sweep.awaited_slots.entry(share.machine).or_default() += share.tasks;
        }
        self.assign_shares(index, &plan.start_now, goal.tasks);
    }

    /// Returns how many tasks of a job to place, or `None` if there are none or the job is a gang that cannot start now.
    fn placement_goal(&self, job: &Job) -> Option<PlacementGoal> {
        let wanted = job.placeable(self.now()).min(self.quota_allowance(job));
        let tasks = if job.is_gang() {
            wanted
        } else {
            wanted.min(MAX_PLACED_PER_PASS)
        };
        // A gang starts as a whole or not at all, so the tasks of an earlier attempt must be gone first.
        let gang_blocked = job.is_gang() && (tasks < job.pending() || !job.active.is_empty());
        (tasks > 0 && !gang_blocked).then_some(PlacementGoal {
            tasks,
            has_more: wanted > tasks,
        })
    }

    /// Keeps only the candidates of the zone with the most free slots. A job whose tasks must share a zone is bound to that
    /// zone by its first task.
    fn keep_zone_with_most_slots(&self, candidates: &mut Vec<Candidate<MachineIndex>>) {
        let mut slots: BTreeMap<ZoneIndex, u64> = BTreeMap::new();
        for candidate in candidates.iter() {
            let zone = self.machine(candidate.machine).zone();
            *slots.entry(zone).or_default() += u64::from(candidate.free_slots);
        }
        let best_zone = slots
            .iter()
            .max_by_key(|(_, slots)| **slots)
            .map(|(zone, _)| *zone);
        candidates.retain(|candidate| Some(self.machine(candidate.machine).zone()) == best_zone);
    }

    /// Returns the job's request to [`placement::plan`].
    fn placement_request(
        &self,
        job: &Job,
        goal: &PlacementGoal,
        candidates: &[Candidate<MachineIndex>],
    ) -> Request {
        let machine_type = self.machine(candidates[0].machine).machine_type();
        let fetch_gb_per_s = self.fetch_rates.gb_per_s(machine_type);
        // A job spread over zones may get fewer tasks on a machine than planned, so the plan covers all machines.
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
            transfer_test: self.params.transfer_test && !self.exceeds_holder_wait_limit(job),
        }
    }

    /// Assigns up to `tasks` pending tasks of a job to the planned machines, as far as its zone rules allow.
    fn assign_shares(&mut self, index: JobIndex, shares: &[Share<MachineIndex>], tasks: u32) {
        let is_gang = self.job(index).is_gang();
        // All tasks of a gang share one attempt number.
        self.attempt_counter += u64::from(is_gang);
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
                let Some(number) = self.job_mut(index).take_next_pending() else {
                    return;
                };
                self.attempt_counter += u64::from(!is_gang);
                let attempt = (self.epoch.as_u64() << EPOCH_SHIFT) + self.attempt_counter;
                let task = TaskId { job: index, number };
                self.apply_event(task, TaskEvent::Assign { machine, attempt });
                left -= 1;
            }
        }
    }
}
