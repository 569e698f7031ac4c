//! Where tasks go: the order of jobs, what may host them, and one pass over both.

use super::index::{DenseIndex, JobIndex, MachineIndex, MachineTypeIndex, ZoneIndex};
use super::jobs::Job;
use super::machine::{Machine, MachineState};
use super::tasks::{Phase, TaskEvent, TaskId};
use super::{Scheduler, TOKEN_BITS};
use crate::placement;
use crate::placement::{Ask, Candidate, CLASSES};
use crate::protocol::{Kind, Priority};
use crate::resources::{QuotaResources, Resources};
use crate::time::millis;
use std::collections::{BTreeMap, HashMap};

/// The largest jobs, too, must begin within this time (PROTOCOL, additions), and this share of it is left to others.
const FIRST_TASK_DEADLINE_MS: u64 = 240_000;
const PATIENCE: f64 = 0.4;
/// No job waits for so long while a machine that fits has room (PROTOCOL, additions).
const LONGEST_WAIT_MS: u64 = 90_000;
/// Most tasks of one job placed in one pass; the rest follows in the next one, milliseconds later.
const PLACED_PER_PASS: u32 = 2000;

/// What was asked for in vain in a pass. Room only shrinks in a pass, so whoever asks for as much or more, with as little
/// choice or less, need not look again.
#[derive(Default)]
pub(super) struct UnplaceableRequests(Vec<FailedSearch>);

struct FailedSearch {
    task_resources: Resources,
    spot: bool,
    types: Option<Vec<MachineTypeIndex>>,
    zone: Option<ZoneIndex>,
}

impl UnplaceableRequests {
    pub(super) fn covers(&self, j: &Job) -> bool {
        self.0.iter().any(|a| {
            j.task_resources.covers(a.task_resources)
                && (a.spot || !j.record.spec.spot)
                && (a.types.is_none() || a.types == j.types)
                && (a.zone.is_none() || a.zone == j.zone)
        })
    }

    pub(super) fn add(&mut self, j: &Job) {
        if self.0.len() < 64 {
            self.0.push(FailedSearch {
                task_resources: j.task_resources,
                spot: j.record.spec.spot,
                types: j.types.clone(),
                zone: j.zone,
            });
        }
    }
}

/// What a pass looks up once.
struct Pass {
    /// Open machines that may have room.
    open: Vec<MachineIndex>,
    /// Mean c of the measured machines, by class; 1 without any.
    mean: [f64; CLASSES],
    /// Places on full holders that tasks wait for already.
    waited: HashMap<MachineIndex, u32>,
    unplaceable: UnplaceableRequests,
}

impl Scheduler {
    /// Jobs with tasks to place, in the order in which they are served.
    pub(super) fn queue(&mut self) -> Vec<JobIndex> {
        let mut asked = vec![QuotaResources::ZERO; self.params.teams.len()];
        let mut out = Vec::new();
        let now = self.now;
        for n in 0..self.by_age.len() {
            let i = self.by_age[n];
            let job = self.job(i);
            let left = job.tasks() - job.done_n;
            let within = job.team.is_some_and(|t| {
                let g = self.params.teams[t].guarantee;
                let a = &mut asked[t];
                *a = a.saturating_add(job.task_resources.quota().saturating_mul(left));
                !job.ended
                    && a.cpu_milli <= g.cpu_milli
                    && (job.task_resources.accelerator_milli == 0
                        || a.accelerator_milli <= g.accelerator_milli)
            });
            let job = self.job_mut(i);
            job.within = within;
            if job.wanted(now) > 0 && job.not_before <= now {
                out.push(i);
            }
        }
        out.sort_by_cached_key(|i| {
            let j = self.job(*i);
            let spec = &j.record.spec;
            let (priority_class, work) = self.queue_priority(j);
            (
                spec.priority != Priority::Production,
                !j.within,
                spec.priority,
                priority_class,
                work,
                *i,
            )
        });
        out
    }

    /// A job's place among its equals. First those that have waited long for their first task: otherwise the largest
    /// would never begin beside a stream of small ones. Then those that can still be in time, the shortest first, since a
    /// team's limit or a full fleet makes some late and aims count jobs; then late ones, the oldest first, who come first
    /// once they are very late.
    fn queue_priority(&self, j: &Job) -> (u8, u64) {
        let spec = &j.record.spec;
        if spec.kind == Kind::Service {
            return (1, j.submitted);
        }
        let span = spec
            .deadline_s
            .map(millis)
            .or(self.params.finish_ms.get(&spec.class).copied());
        let age = self.now.saturating_sub(j.submitted);
        let begun = j.done_n > 0 || !j.active.is_empty();
        if !begun && age as f64 > FIRST_TASK_DEADLINE_MS as f64 * PATIENCE {
            return (0, j.submitted);
        }
        match span {
            Some(span) if age > span.saturating_mul(3) => (0, j.submitted),
            Some(span) if age > span => (2, j.submitted),
            _ => (1, millis(f64::from(j.tasks() - j.done_n) * j.time_s())),
        }
    }

    /// How many tasks of a job may be added for its team's limit.
    pub(super) fn quota_room(&self, j: &Job) -> u32 {
        let Some(t) = j.team else { return 0 };
        let available = self.params.teams[t].limit.saturating_sub(self.team_use[t]);
        j.task_resources.quota().count_fitting(available)
    }

    pub(super) fn may_host(&self, j: &Job, m: &Machine) -> bool {
        (j.record.spec.spot || !m.spot)
            && j.types.as_ref().is_none_or(|t| t.contains(&m.machine_type))
            && j.zone.is_none_or(|z| z == m.zone)
    }

    pub(super) fn open(&self, m: &Machine) -> bool {
        m.current
            && m.state == MachineState::Up
            && m.notice_at.is_none()
            && m.not_before <= self.now
            && self.now <= m.last_heard + 3 * self.params.report_ms
            // One that only direct orders reach is about to lose what it has.
            && self.now <= m.last_answer + self.params.lease_ms / 2
    }

    /// How many more tasks of a job its zone rules allow in a zone.
    pub(super) fn zone_cap(&self, j: &Job, zone: ZoneIndex) -> u32 {
        let used = j.zone_use.get(&zone).copied().unwrap_or(0);
        if j.record.spec.together && j.zone_use.iter().any(|(z, n)| *n > 0 && *z != zone) {
            return 0;
        }
        if j.record.spec.scatter {
            return j.tasks().div_ceil(2).saturating_sub(used);
        }
        u32::MAX
    }

    /// Places what can be placed now. True if there was something to look at.
    pub fn place(&mut self) -> bool {
        if self.now < self.place_from || self.is_exhausted() || !std::mem::take(&mut self.changed) {
            return false;
        }
        let queue = self.queue();
        self.urgent.clear();
        if queue.is_empty() {
            return true;
        }
        let least = queue
            .iter()
            .map(|j| self.job(*j).task_resources)
            .reduce(Resources::min);
        let least = least.unwrap_or(Resources::ONE);
        let mut pass = Pass {
            open: Vec::new(),
            mean: [1.0; CLASSES],
            waited: HashMap::new(),
            unplaceable: UnplaceableRequests::default(),
        };
        let mut sums = [(0.0, 0u32); CLASSES];
        for (i, m) in self.machines() {
            if !self.open(m) {
                continue;
            }
            for (class, sum) in sums.iter_mut().enumerate() {
                if let Some(c) = m.c.get(class) {
                    *sum = (sum.0 + c, sum.1 + 1);
                }
            }
            if least.fits(m.free) {
                pass.open.push(i);
            }
        }
        for (mean, (sum, n)) in pass.mean.iter_mut().zip(sums) {
            *mean = if n > 0 { sum / f64::from(n) } else { 1.0 };
        }
        for j in queue {
            let production = self.job(j).record.spec.priority == Priority::Production;
            if pass.open.is_empty() && !production {
                break;
            }
            if !pass.open.is_empty() && !pass.unplaceable.covers(self.job(j)) {
                self.place_job(j, &mut pass);
            }
            if self.job(j).pending() == 0 {
                continue;
            }
            if production {
                self.urgent.push(j);
            }
            // What has filled up meanwhile is not looked at again.
            let machines = &self.machines;
            pass.open
                .retain(|i| machines[*i].as_ref().is_some_and(|m| least.fits(m.free)));
        }
        true
    }

    /// Asks for a new look at what can be placed, since time has passed.
    pub fn reconsider(&mut self) {
        self.changed = true;
    }

    /// Machines with room for a job's tasks, and full ones that hold its image.
    fn candidates(&self, job: &Job, pass: &Pass) -> Vec<Candidate> {
        let service = job.record.spec.kind == Kind::Service;
        let candidate = |i: MachineIndex, m: &Machine, room: u32, holder: bool| {
            // Spot machines first where allowed. Services go together, since only they keep a machine from being
            // returned; other tasks fill the fullest machine.
            let spare = if service {
                self.without_services(m)
            } else {
                m.free.cpu_milli
            };
            let order =
                (u64::from(!m.spot) << 40) + (u64::from(job.failed_on.contains(&i)) << 41) + spare;
            let ends_s = if room == 0 {
                self.ends_s(i, m, job, pass)
            } else {
                Vec::new()
            };
            let c = m.c.get(job.class).unwrap_or(pass.mean[job.class]);
            Candidate {
                machine: i.position(),
                c,
                holder,
                room,
                ends_s,
                order,
            }
        };
        let holders = self.holders.get(&job.image);
        let mut out = Vec::new();
        for &i in &pass.open {
            let m = self.machine(i);
            let room = job.task_resources.count_fitting(m.free);
            if room > 0 && self.may_host(job, m) {
                out.push(candidate(
                    i,
                    m,
                    room,
                    holders.is_some_and(|h| h.contains(&i)),
                ));
            }
        }
        if out.is_empty()
            || !self.params.transfer_test
            || self.impatient(job)
            || out.iter().all(|c| c.holder)
        {
            return out;
        }
        for &i in holders.into_iter().flatten() {
            let m = self.machine(i);
            if !job.task_resources.fits(m.free) && self.open(m) && self.may_host(job, m) {
                out.push(candidate(i, m, 0, true));
            }
        }
        out
    }

    /// Whether a job has waited so long that it takes what room there is: places on holders are expected to come free again
    /// and again, and over a slow link the wait for one may seem worth while for longer than a job may be left waiting.
    fn impatient(&self, job: &Job) -> bool {
        self.now.saturating_sub(job.placed_at) as f64 > LONGEST_WAIT_MS as f64 * PATIENCE
    }

    /// CPUs of a machine that no service uses.
    pub(super) fn without_services(&self, m: &Machine) -> u64 {
        self.machine_types
            .capacity(m.machine_type)
            .cpu_milli
            .saturating_sub(m.service_cpus)
    }

    /// When a machine's tasks are expected to end, less what others wait for already.
    fn ends_s(&self, i: MachineIndex, m: &Machine, job: &Job, pass: &Pass) -> Vec<f64> {
        let c = m.c.get(job.class).unwrap_or(1.0);
        let rest = m.tasks.iter().filter_map(|task| {
            let other = self.jobs[task.job].as_ref()?;
            let a = other.active.get(&task.number)?;
            let spent = if a.phase == Phase::Running {
                self.now.saturating_sub(a.since)
            } else {
                0
            } as f64
                / 1000.0;
            // Of what has run for longer than expected nothing says that it will end now: believed to end within a second,
            // such places kept others waiting for them again and again.
            let time = other.time_s() / c;
            (other.record.spec.kind != Kind::Service)
                .then(|| (time - spent).max(time.max(spent) / 4.0))
        });
        let mut ends: Vec<f64> = rest.collect();
        ends.sort_by(f64::total_cmp);
        ends.split_off(
            ends.len()
                .min(pass.waited.get(&i).copied().unwrap_or(0) as usize),
        )
    }

    fn place_job(&mut self, j: JobIndex, pass: &mut Pass) {
        let job = self.job(j);
        let whole = job.record.spec.kind == Kind::Gang;
        let wanted = job.wanted(self.now).min(self.quota_room(job));
        let mut left = if whole {
            wanted
        } else {
            wanted.min(PLACED_PER_PASS)
        };
        let more = wanted > left;
        // A gang starts whole or not at all: what is left of an earlier try must be gone first.
        if left == 0 || (whole && (left < job.pending() || !job.active.is_empty())) {
            return;
        }
        let mut candidates = self.candidates(job, pass);
        if candidates.is_empty() {
            pass.unplaceable.add(job);
            return;
        }
        if job.record.spec.together && job.zone_use.values().all(|n| *n == 0) {
            // The zone with the most room is chosen with the first task.
            let mut by_zone: BTreeMap<ZoneIndex, u64> = BTreeMap::new();
            for c in &candidates {
                *by_zone
                    .entry(self.machine(MachineIndex::from_position(c.machine)).zone)
                    .or_default() += u64::from(c.room);
            }
            let best = by_zone
                .iter()
                .max_by_key(|(_, room)| **room)
                .map(|(z, _)| *z);
            candidates.retain(|c| {
                Some(self.machine(MachineIndex::from_position(c.machine)).zone) == best
            });
        }
        let fastest = MachineIndex::from_position(candidates[0].machine);
        let machine_type = self.machine(fastest).machine_type;
        let rate = self
            .fetch_rate
            .get(&machine_type)
            .copied()
            .unwrap_or(self.params.fetch_gb_per_s)
            .max(0.001);
        let ask = Ask {
            tasks: left,
            waiting: left,
            time_s: job.time_s(),
            transfer_s: job.record.spec.image_gb / rate,
            group_factor: self.params.group_factor,
            transfer_test: self.params.transfer_test && !self.impatient(job),
        };
        // With a zone cap a machine may get less than planned; the plan then covers all machines.
        let capped = job.record.spec.scatter;
        let plan = placement::plan(
            candidates,
            if capped {
                Ask {
                    tasks: u32::MAX,
                    ..ask
                }
            } else {
                ask
            },
        );
        if whole && plan.now.iter().map(|(_, n)| u64::from(*n)).sum::<u64>() < u64::from(left) {
            return;
        }
        // Where so many have found a place, others may as well.
        self.changed |= more && !plan.now.is_empty();
        // A gang's tasks share an attempt.
        self.attempts += u64::from(whole);
        for (machine, n) in plan.later {
            *pass
                .waited
                .entry(MachineIndex::from_position(machine))
                .or_default() += n;
        }
        for (machine, n) in plan.now {
            let machine = MachineIndex::from_position(machine);
            let zone = self.machine(machine).zone;
            for _ in 0..n {
                if left == 0 {
                    return;
                }
                if self.zone_cap(self.job(j), zone) == 0 {
                    break;
                }
                let Some(t) = self.job_mut(j).next_pending() else {
                    return;
                };
                self.attempts += u64::from(!whole);
                let attempt = (self.epoch << TOKEN_BITS) + self.attempts;
                let task = TaskId { job: j, number: t };
                self.apply_event(task, TaskEvent::Assign { machine, attempt });
                left -= 1;
            }
        }
    }
}
