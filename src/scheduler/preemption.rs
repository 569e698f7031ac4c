//! Preemption: whose work is stopped to make room, or to let a team at its limit run what matters more.

use super::demand::Pool;
use super::index::{JobIndex, MachineIndex, ZoneIndex};
use super::tasks::{TaskEvent, TaskId};
use super::Scheduler;
use crate::protocol::Priority;
use crate::resources::{QuotaResources, Resources};
use std::cmp::Reverse;
use std::collections::HashMap;

/// A start counts for its users if nothing stops the task within this time.
const SETTLED_RUN_MS: u64 = 30_000;

/// Who looked for somebody to displace in vain.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct FailedSearch {
    priority: Priority,
    within_guarantee: bool,
    team: Option<usize>,
    task_resources: Resources,
}

/// A task that may be stopped for others; the least is stopped first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Victim {
    /// The lowest priority first.
    priority: Reverse<Priority>,
    /// Those stopped least often first, lest the same work begin anew for ever.
    displaced: u32,
    /// The one that loses the least first.
    since: Reverse<u64>,
    task: TaskId,
}

/// A task of a team at its limit that may be stopped for another one of the team; the least is stopped first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QuotaVictim {
    priority: Reverse<Priority>,
    displaced: u32,
    /// Its start would not count any more.
    fresh: bool,
    /// The room that comes free is of no use for the other job.
    elsewhere: bool,
    lost_ms: u64,
    task: TaskId,
}

impl Scheduler {
    /// Stops lower work at once for production tasks that find no room. They do not wait for machines that are coming up,
    /// nor for the next look ahead, which waits for the cloud's answers.
    pub fn make_room(&mut self) {
        let queue = std::mem::take(&mut self.urgent);
        if queue.is_empty() {
            return;
        }
        let mut room = Pool::new(
            self,
            self.machines()
                .filter(|(_, m)| self.open(m))
                .map(|(i, m)| (i, self.coming(m))),
        );
        let mut asked = Vec::<FailedSearch>::new();
        // What is being stopped of a team, less what those before in the queue will use of it.
        let mut ending = self.team_ending.clone();
        for j in queue {
            let job = self.job(j);
            let now = job.wanted(self.now).min(self.quota_room(job));
            let mut zones = HashMap::new();
            let left = room.take(self, job, now, &mut zones);
            if left > 0 {
                self.preempt(j, left, &mut room, &mut zones, &mut asked);
            }
            let short = self.job(j).wanted(self.now) - now;
            if short > 0 {
                self.yield_quota(j, short, &mut ending);
            }
        }
    }

    /// Stops lower work of a job's own team, which is at its limit, for up to `n` of its tasks.
    fn yield_quota(&mut self, j: JobIndex, n: u32, ending: &mut [QuotaResources]) {
        let Some(team) = self.job(j).team else { return };
        let mut wanted = self.quota_missing(j, team, n);
        let covered = wanted.min(ending[team]);
        wanted -= covered;
        ending[team] -= covered;
        if wanted == QuotaResources::ZERO {
            return;
        }
        for victim in self.quota_victims(j, team) {
            if wanted == QuotaResources::ZERO {
                break;
            }
            let freed = self.job(victim.task.job).task_resources.quota();
            self.displace(victim.task, j, "preempted for quota");
            wanted = wanted.saturating_sub(freed);
        }
    }

    /// What a team would have to free for `n` more tasks of a job. Where limits are lifted or lowered the team may be over them;
    /// then nothing of this helps.
    fn quota_missing(&self, j: JobIndex, team: usize, n: u32) -> QuotaResources {
        let more = self.job(j).task_resources.quota().saturating_mul(n);
        let with_them = self.team_use[team].saturating_add(more);
        with_them.saturating_sub(self.params.teams[team].limit)
    }

    /// Lower work of a team, in the order in which it is stopped for a job of the same team.
    fn quota_victims(&self, j: JobIndex, team: usize) -> Vec<QuotaVictim> {
        let job = self.job(j);
        let holders = self.holders.get(&job.image);
        let mut victims = Vec::new();
        for &lower in &self.by_age {
            let other = self.job(lower);
            let spec = &other.record.spec;
            if other.team != Some(team) || other.ended || spec.priority <= job.record.spec.priority
            {
                continue;
            }
            for (&task, a) in other.active.iter().filter(|(_, a)| !a.stops()) {
                let useful = self.may_host(job, self.machine(a.machine))
                    && holders.is_some_and(|h| h.contains(&a.machine));
                victims.push(QuotaVictim {
                    priority: Reverse(spec.priority),
                    displaced: other.displaced.get(&task).copied().unwrap_or(0),
                    fresh: self.now < a.since + SETTLED_RUN_MS,
                    elsewhere: !useful,
                    lost_ms: if spec.checkpoint_s > 0.0 {
                        0
                    } else {
                        self.now.saturating_sub(a.since)
                    },
                    task: TaskId {
                        job: lower,
                        number: task,
                    },
                });
            }
        }
        victims.sort_unstable();
        victims
    }

    /// Stops lower work for up to `n` tasks of a job; returns for how many.
    /// `zones`: what was found or won for the job in each zone already.
    pub(super) fn preempt(
        &mut self,
        j: JobIndex,
        n: u32,
        room: &mut Pool,
        zones: &mut HashMap<ZoneIndex, u32>,
        failed: &mut Vec<FailedSearch>,
    ) -> u32 {
        let job = self.job(j);
        let search = FailedSearch {
            priority: job.record.spec.priority,
            within_guarantee: job.within,
            team: job.team,
            task_resources: job.task_resources,
        };
        if failed.contains(&search) {
            return 0;
        }
        let mut won = 0;
        for i in self.preemption_hosts(j) {
            if won == n {
                break;
            }
            won += self.preempt_on(i, j, n - won, room, zones);
        }
        if won < n {
            failed.push(search);
        }
        won
    }

    /// Machines on which a job might win room: holders first, so that the room won is used at once.
    fn preemption_hosts(&self, j: JobIndex) -> Vec<MachineIndex> {
        let job = self.job(j);
        let holders = self.holders.get(&job.image);
        let mut hosts: Vec<(bool, MachineIndex)> = self
            .machines()
            .filter(|(_, m)| self.open(m) && !m.tasks.is_empty() && self.may_host(job, m))
            .map(|(i, _)| (!holders.is_some_and(|h| h.contains(&i)), i))
            .collect();
        hosts.sort_unstable();
        hosts.into_iter().map(|(_, i)| i).collect()
    }

    /// Stops lower work on one machine for up to `n` tasks of a job; returns for how many.
    fn preempt_on(
        &mut self,
        i: MachineIndex,
        j: JobIndex,
        n: u32,
        room: &mut Pool,
        zones: &mut HashMap<ZoneIndex, u32>,
    ) -> u32 {
        let zone = self.machine(i).zone;
        let task_resources = self.job(j).task_resources;
        let mut victims = self.victims_on(i, j).into_iter();
        let mut won = 0;
        while won < n && self.zone_cap(self.job(j), zone) > zones.get(&zone).copied().unwrap_or(0) {
            let mut free = room.room_of(i);
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
                self.displace(victim.task, j, "preempted");
            }
            room.set_room(i, free.saturating_sub(task_resources));
            *zones.entry(zone).or_default() += 1;
            won += 1;
        }
        won
    }

    /// Tasks on a machine that a job may displace, in the order in which they are stopped.
    fn victims_on(&self, i: MachineIndex, j: JobIndex) -> Vec<Victim> {
        let job = self.job(j);
        let priority = job.record.spec.priority;
        let mut victims = Vec::new();
        for &task in &self.machine(i).tasks {
            let victim = self.job(task.job);
            let Some(a) = victim.active.get(&task.number).filter(|a| !a.stops()) else {
                continue;
            };
            let spec = &victim.record.spec;
            let lower =
                spec.priority > priority && (!victim.within || priority == Priority::Production);
            let borrowed = job.within
                && !victim.within
                && victim.team != job.team
                && spec.priority != Priority::Production;
            if lower || borrowed {
                let displaced = victim.displaced.get(&task.number).copied().unwrap_or(0);
                let (priority, since) = (Reverse(spec.priority), Reverse(a.since));
                victims.push(Victim {
                    priority,
                    displaced,
                    since,
                    task,
                });
            }
        }
        victims.sort_unstable();
        victims
    }

    /// Stops a task to make room for a job.
    fn displace(&mut self, victim: TaskId, for_job: JobIndex, reason: &'static str) {
        let other = self.job(victim.job);
        let save = other.record.spec.checkpoint_s > 0.0;
        let (id, for_id) = (&other.record.spec.id, &self.job(for_job).record.spec.id);
        tracing::info!(job = %id, task = victim.number, for_job = %for_id, "{reason}");
        *self
            .job_mut(victim.job)
            .displaced
            .entry(victim.number)
            .or_default() += 1;
        self.apply_event(victim, TaskEvent::Stop { save });
    }
}
