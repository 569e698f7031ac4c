//! Preemption: stops tasks to free resources for jobs with a higher claim, or to free quota of a team at its limit for the
//! team's jobs of higher priority.

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

/// A task start counts for the users only if the task is not stopped within this time.
const MIN_COUNTED_RUN: Duration = Duration::from_secs(30);

/// Searches for preemption victims that found too few. A later job with the same key is assumed to find none and is skipped.
#[derive(Default)]
pub(super) struct FailedPreemptions(Vec<PreemptionKey>);

/// The properties of a job that determine which tasks it may preempt, apart from its zones and machine types.
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

/// A task that may be preempted to free resources on its machine; the smallest in order is stopped first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Victim {
    /// Tasks of the lowest priority are stopped first.
    priority: Reverse<Priority>,
    /// Tasks preempted least often are stopped first, so that the same task is not restarted again and again.
    preemptions: u32,
    /// The task that entered its phase last is stopped first, since it loses the least progress.
    since: Reverse<Timestamp>,
    task: TaskId,
}

/// A task that may be preempted to free quota for a job of the same team; the smallest in order is stopped first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QuotaVictim {
    priority: Reverse<Priority>,
    preemptions: u32,
    /// Whether the task entered its phase so recently that its start would no longer count; such tasks are stopped later.
    recently_started: bool,
    /// Whether the job cannot use the machine at once: it is not allowed there, or its image is missing.
    unusable: bool,
    /// Time in the current phase that the stop loses; zero if the task writes a checkpoint.
    lost_run: Duration,
    task: TaskId,
}

impl Scheduler {
    /// Preempts tasks at once for the production jobs that the last scheduling pass could not place. Production jobs wait
    /// neither for booting machines nor for the next computation of the demand, which waits for responses of the cloud.
    pub fn preempt_for_production(&mut self) {
        let queue = std::mem::take(&mut self.unplaced_production);
        if queue.is_empty() {
            return;
        }
        let mut pool = CapacityPool::of_accepting_machines(self);
        let mut failed = FailedPreemptions::default();
        // Resources of each team's tasks that are being stopped, less those that jobs earlier in the queue will use.
        let mut being_stopped = self.quotas.being_stopped_by_team();
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
                self.preempt_for_quota(index, beyond_quota, &mut being_stopped);
            }
        }
    }

    /// Stops tasks of lower priority of the job's own team, which is at its limit, to free quota for `tasks` tasks of the job.
    /// Quota of tasks that are already being stopped is used first.
    fn preempt_for_quota(&mut self, index: JobIndex, tasks: u32, being_stopped: &mut AmountByTeam) {
        let job = self.job(index);
        let Some(team) = job.team else { return };
        let more = job.task_resources.quota().saturating_mul(tasks);
        let mut shortfall = self.quotas.shortfall(team, more);
        let being_stopped = being_stopped.get_mut(team);
        let covered = shortfall.min(*being_stopped);
        shortfall -= covered;
        *being_stopped -= covered;
        if shortfall == QuotaResources::ZERO {
            return;
        }
        for victim in self.quota_victims(index, team) {
            if shortfall == QuotaResources::ZERO {
                break;
            }
            let freed = self.job(victim.task.job).task_resources.quota();
            self.preempt_task(
                victim.task,
                index,
                "preempting task: team at its limit, quota is freed for another job of the team",
            );
            shortfall = shortfall.saturating_sub(freed);
        }
    }

    /// Returns the team's tasks of lower priority than the job, in the order in which they are stopped to free quota for it.
    fn quota_victims(&self, index: JobIndex, team: TeamIndex) -> Vec<QuotaVictim> {
        let job = self.job(index);
        let holders = self.image_holders.get(job.image);
        let mut victims = Vec::new();
        for (other_index, other) in self.jobs.by_submission() {
            if other.team != Some(team)
                || other.is_final
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

    /// Preempts other tasks for up to `tasks` tasks of a job and allocates the freed resources in the pool. Returns for how many
    /// of the tasks there are resources now.
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

    /// Returns the machines on which a job might preempt tasks. Those that hold its image come first, since the job can use
    /// them without a transfer.
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

    /// Preempts other tasks on one machine for up to `tasks` tasks of a job and allocates the freed resources in the pool.
    /// Returns for how many of the tasks there are resources now. Nothing is stopped unless it makes another task fit.
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
                self.preempt_task(
                    victim.task,
                    index,
                    "preempting task: its resources are freed for another job",
                );
            }
            pool.set_free(machine, free.saturating_sub(task_resources));
            planned.add(zone, 1);
            satisfied += 1;
        }
        satisfied
    }

    /// Returns the tasks on a machine that a job may preempt, in the order in which they are stopped.
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

    /// Stops a task for another job and counts the preemption. `reason` is the text of the log event.
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
    /// Reports whether tasks of another job may be preempted for this one. They may if the other job has a lower priority,
    /// unless its team's guarantee covers it and this job is not production. They also may, whatever the priority, if this
    /// job is within its team's guarantee and the other one belongs to another team, is beyond its guarantee and is not
    /// production.
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
