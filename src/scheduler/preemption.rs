//! Preemption: which tasks are stopped to free resources for others, or to let a team at its limit run what matters more.

use super::attempt::{TaskEvent, TaskId};
use super::capacity_pool::{CapacityPool, PlannedByZone};
use super::index::{JobIndex, MachineIndex};
use super::job::Job;
use super::quota::{AmountByTeam, TeamIndex};
use super::Scheduler;
use crate::protocol::Priority;
use crate::resources::{QuotaResources, Resources};
use crate::time::Timestamp;
use std::cmp::Reverse;
use std::time::Duration;

/// A start counts for its users if nothing stops the task within this time.
const MIN_COUNTED_RUN: Duration = Duration::from_secs(30);

/// Searches for tasks to preempt that found too few. The next job like it would find none.
#[derive(Default)]
pub(super) struct FailedPreemptions(Vec<PreemptionKey>);

/// What decides which tasks a job may preempt, beside its zones and types.
#[derive(Debug, Clone, PartialEq)]
struct PreemptionKey {
    priority: Priority,
    within_guarantee: bool,
    team: Option<TeamIndex>,
    task_resources: Resources,
}

impl PreemptionKey {
    fn of(job: &Job) -> PreemptionKey {
        PreemptionKey {
            priority: job.spec().priority,
            within_guarantee: job.within_guarantee,
            team: job.team,
            task_resources: job.task_resources,
        }
    }
}

/// A task that may be stopped for others; the least is stopped first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Victim {
    /// The lowest priority first.
    priority: Reverse<Priority>,
    /// Those stopped least often first, lest the same work begin anew for ever.
    preemptions: u32,
    /// The one that loses the least first.
    since: Reverse<Timestamp>,
    task: TaskId,
}

/// A task of a team at its limit that may be stopped for another one of the team; the least is stopped first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QuotaVictim {
    priority: Reverse<Priority>,
    preemptions: u32,
    /// Its start would not count any more.
    recently_started: bool,
    /// What comes free is of no use for the other job.
    unusable: bool,
    lost_run: Duration,
    task: TaskId,
}

impl Scheduler {
    /// Stops tasks of lower priority at once for production tasks for which nothing is free. They do not wait for machines
    /// that are coming up, nor for the next look at the demand, which waits for the cloud's answers.
    pub fn preempt_for_production(&mut self) {
        let queue = std::mem::take(&mut self.unplaced_production);
        if queue.is_empty() {
            return;
        }
        let mut pool = CapacityPool::of_accepting_machines(self);
        let mut failed = FailedPreemptions::default();
        // What is being evicted of a team, less what the jobs before in the queue will use of it.
        let mut being_evicted = self.quotas.being_evicted_by_team();
        for index in queue {
            let job = self.job(index);
            let allowed = job.placeable(self.now()).min(self.quota_allowance(job));
            let mut planned = PlannedByZone::default();
            let left = pool.allocate(self, job, allowed, &mut planned);
            if left > 0 {
                self.preempt(index, left, &mut pool, &mut planned, &mut failed);
            }
            let beyond_quota = self.job(index).placeable(self.now()) - allowed;
            if beyond_quota > 0 {
                self.preempt_for_quota(index, beyond_quota, &mut being_evicted);
            }
        }
    }

    /// Stops tasks of lower priority of a job's own team, which is at its limit, for up to `tasks` of its tasks.
    fn preempt_for_quota(&mut self, index: JobIndex, tasks: u32, being_evicted: &mut AmountByTeam) {
        let job = self.job(index);
        let Some(team) = job.team else { return };
        let more = job.task_resources.quota().saturating_mul(tasks);
        let mut shortfall = self.quotas.shortfall(team, more);
        let being_evicted = being_evicted.of(team);
        let covered = shortfall.min(*being_evicted);
        shortfall -= covered;
        *being_evicted -= covered;
        if shortfall == QuotaResources::ZERO {
            return;
        }
        for victim in self.quota_victims(index, team) {
            if shortfall == QuotaResources::ZERO {
                break;
            }
            let freed = self.job(victim.task.job).task_resources.quota();
            self.preempt_task(victim.task, index, "preempted for quota");
            shortfall = shortfall.saturating_sub(freed);
        }
    }

    /// Tasks of a team with a lower priority, in the order in which they are stopped for a job of the same team.
    fn quota_victims(&self, index: JobIndex, team: TeamIndex) -> Vec<QuotaVictim> {
        let job = self.job(index);
        let holders = self.image_holders.get(job.image);
        let mut victims = Vec::new();
        for (other_index, other) in self.jobs.by_submission() {
            if other.team != Some(team)
                || other.cancelled
                || other.spec().priority <= job.spec().priority
            {
                continue;
            }
            for (&number, attempt) in &other.active {
                if attempt.is_stopping() {
                    continue;
                }
                let usable = job.allows_machine(self.machine(attempt.machine))
                    && holders.is_some_and(|holders| holders.contains(&attempt.machine));
                let has_run = self.elapsed_since(attempt.since);
                victims.push(QuotaVictim {
                    priority: Reverse(other.spec().priority),
                    preemptions: other.preemptions_of(number),
                    recently_started: self.now() < attempt.since + MIN_COUNTED_RUN,
                    unusable: !usable,
                    lost_run: if other.saves_checkpoints() {
                        Duration::ZERO
                    } else {
                        has_run
                    },
                    task: TaskId {
                        job: other_index,
                        number,
                    },
                });
            }
        }
        victims.sort_unstable();
        victims
    }

    /// Stops other tasks for up to `tasks` tasks of a job, and plans these in the pool; returns for how many.
    pub(super) fn preempt(
        &mut self,
        index: JobIndex,
        tasks: u32,
        pool: &mut CapacityPool,
        planned: &mut PlannedByZone,
        failed: &mut FailedPreemptions,
    ) -> u32 {
        let key = PreemptionKey::of(self.job(index));
        if failed.0.contains(&key) {
            return 0;
        }
        let mut satisfied = 0;
        for machine in self.preemption_candidates(index) {
            if satisfied == tasks {
                break;
            }
            satisfied += self.preempt_on(machine, index, tasks - satisfied, pool, planned);
        }
        if satisfied < tasks {
            failed.0.push(key);
        }
        satisfied
    }

    /// Machines on which a job might preempt others: holders of its image first, so that what is freed is used at once.
    fn preemption_candidates(&self, index: JobIndex) -> Vec<MachineIndex> {
        let job = self.job(index);
        let holders = self.image_holders.get(job.image);
        let holds_image = |machine| holders.is_some_and(|holders| holders.contains(&machine));
        let mut candidates: Vec<(bool, MachineIndex)> = self
            .machines()
            .filter(|(_, machine)| {
                self.accepts_tasks(machine)
                    && !machine.load.tasks().is_empty()
                    && job.allows_machine(machine)
            })
            .map(|(machine, _)| (!holds_image(machine), machine))
            .collect();
        candidates.sort_unstable();
        candidates.into_iter().map(|(_, machine)| machine).collect()
    }

    /// Stops other tasks on one machine for up to `tasks` tasks of a job, and plans these in the pool; returns for how many.
    fn preempt_on(
        &mut self,
        machine: MachineIndex,
        index: JobIndex,
        tasks: u32,
        pool: &mut CapacityPool,
        planned: &mut PlannedByZone,
    ) -> u32 {
        let zone = self.machine(machine).zone();
        let task_resources = self.job(index).task_resources;
        let mut victims = self.victims_on(machine, index).into_iter();
        let mut satisfied = 0;
        while satisfied < tasks && planned.allowance(self.job(index), zone) > 0 {
            let mut free = pool.free(machine);
            let mut chosen = Vec::new();
            while !task_resources.fits(free) {
                let Some(victim) = victims.next() else { break };
                free = free.saturating_add(self.job(victim.task.job).task_resources);
                chosen.push(victim);
            }
            if !task_resources.fits(free) {
                break;
            }
            for victim in chosen {
                self.preempt_task(victim.task, index, "preempted");
            }
            pool.set_free(machine, free.saturating_sub(task_resources));
            planned.add(zone, 1);
            satisfied += 1;
        }
        satisfied
    }

    /// Tasks on a machine that a job may preempt, in the order in which they are stopped.
    fn victims_on(&self, machine: MachineIndex, index: JobIndex) -> Vec<Victim> {
        let job = self.job(index);
        let mut victims = Vec::new();
        for &task in self.machine(machine).load.tasks() {
            let other = self.job(task.job);
            let Some(attempt) = self.attempt(task).filter(|a| !a.is_stopping()) else {
                continue;
            };
            if job.may_preempt(other) {
                victims.push(Victim {
                    priority: Reverse(other.spec().priority),
                    preemptions: other.preemptions_of(task.number),
                    since: Reverse(attempt.since),
                    task,
                });
            }
        }
        victims.sort_unstable();
        victims
    }

    /// Stops a task to free resources for a job.
    fn preempt_task(&mut self, victim: TaskId, for_job: JobIndex, reason: &'static str) {
        let job = self.job(victim.job);
        let save = job.saves_checkpoints();
        tracing::info!(job = %job.id(), task = victim.number, for_job = %self.job(for_job).id(), "{reason}");
        *self
            .job_mut(victim.job)
            .preemptions
            .entry(victim.number)
            .or_default() += 1;
        self.apply_event(victim, TaskEvent::Stop { save });
    }
}

impl Job {
    /// Whether tasks of another job may be stopped for this one: those of a lower priority, which a guarantee protects from
    /// all but production; and those that use what this job's guarantee covers.
    fn may_preempt(&self, other: &Job) -> bool {
        let lower = other.spec().priority > self.spec().priority
            && (!other.within_guarantee || self.is_production());
        let borrows = self.within_guarantee
            && !other.within_guarantee
            && other.team != self.team
            && !other.is_production();
        lower || borrows
    }
}
