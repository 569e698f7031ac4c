//! Where the tasks of a job should run: measured capability, groups of similar machines, image holders first, and the
//! transfer test (DGNS).
//!
//! Machines are measured: a machine's *capability* for a class of jobs is the inverse of its mean task time relative to the
//! mean over all machines. To place tasks, candidates are sorted by capability and divided into groups: a group begins with
//! the fastest machine that is left and ends where capability falls below that machine's divided by the *group factor*.
//! Groups are filled from the fastest on. Within a group, machines that hold the job's image come first, then the others in
//! the order of their preference.
//!
//! A machine without the image has to fetch it first. It gets a task only if it passes the *transfer test*: the task must be
//! expected to finish there, with the transfer, sooner than on any holder that is free or comes free soon. Otherwise the task
//! goes to that holder if it is free, or waits for it.

#[cfg(test)]
mod tests;

use crate::resources::Resources;
use std::collections::{HashMap, HashSet};
use std::hash::Hash;

/// Weight of a new measurement in a running mean.
const MEASUREMENT_WEIGHT: f64 = 0.2;
/// The range in which a measurement counts.
const MEASURED_RATIOS: (f64, f64) = (0.05, 20.0);

/// A class of jobs in which machines are measured: the resource of which a task takes the largest share of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResourceClass {
    /// Mostly CPU.
    Cpu,
    /// Mostly accelerators.
    Accelerator,
    /// Mostly memory.
    Memory,
}

impl ResourceClass {
    /// All classes.
    pub const ALL: [ResourceClass; 3] = [
        ResourceClass::Cpu,
        ResourceClass::Accelerator,
        ResourceClass::Memory,
    ];

    /// The class of a task, by its shares of the largest machine.
    #[must_use]
    pub fn of(requested: Resources, largest: Resources) -> ResourceClass {
        let share = |amount: u64, largest: u64| amount as f64 / largest.max(1) as f64;
        let cpu = share(requested.cpu_milli, largest.cpu_milli);
        let accelerator = share(requested.accelerator_milli, largest.accelerator_milli);
        let memory = share(requested.memory_mb, largest.memory_mb);
        if memory > cpu.max(accelerator) {
            ResourceClass::Memory
        } else if accelerator > cpu {
            ResourceClass::Accelerator
        } else {
            ResourceClass::Cpu
        }
    }
}

/// A value for each class.
#[derive(Debug, Clone, Copy, Default)]
pub struct ByClass<T>([T; ResourceClass::ALL.len()]);

impl<T: Copy> ByClass<T> {
    /// The value of a class.
    #[must_use]
    pub fn get(&self, class: ResourceClass) -> T {
        self.0[class as usize]
    }

    /// Changes the value of a class.
    pub fn set(&mut self, class: ResourceClass, value: T) {
        self.0[class as usize] = value;
    }
}

/// A machine's running means of task times over the mean times of their jobs, for each class.
#[derive(Debug, Clone, Copy, Default)]
pub struct Capability(ByClass<Option<f64>>);

impl Capability {
    /// Records a finished task: its time here over its job's mean time on all machines.
    pub fn record(&mut self, class: ResourceClass, ratio: f64) {
        let (least, most) = MEASURED_RATIOS;
        let ratio = ratio.clamp(least, most);
        let mean = self
            .0
            .get(class)
            .map_or(ratio, |old| old + MEASUREMENT_WEIGHT * (ratio - old));
        self.0.set(class, Some(mean));
    }

    /// How fast the machine is for a class, where 1 is the mean; none until it is measured.
    #[must_use]
    pub fn get(&self, class: ResourceClass) -> Option<f64> {
        self.0.get(class).map(|mean| 1.0 / mean)
    }
}

/// The order of machines that are equal otherwise, the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Preference {
    /// A task of the job has failed there.
    pub has_failed: bool,
    /// It is no spot machine.
    pub on_demand: bool,
    /// CPUs that are not in use: the fullest machine is filled first.
    pub spare_cpu_milli: u64,
}

/// A machine `M` on which a job's tasks may run.
#[derive(Debug, Clone)]
pub struct Candidate<M> {
    /// The machine.
    pub machine: M,
    /// Measured or assumed capability.
    pub capability: f64,
    /// Whether it holds the image.
    pub holds_image: bool,
    /// How many tasks fit now.
    pub free_slots: u32,
    /// If it is a holder without free slots: when its tasks are expected to end, one after the other, each making a slot
    /// free, in seconds from now. Slots that others wait for already are left out.
    pub next_slots_s: Vec<f64>,
    /// Order among equals.
    pub preference: Preference,
}

/// What is known of the tasks to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// How many slots to find.
    pub slots: u32,
    /// How many tasks wait; fewer than slots where a zone rule may leave some unused.
    pub tasks: u32,
    /// Expected run time on a machine with capability 1.
    pub run_s: f64,
    /// The size of the image over the fetch rate.
    pub transfer_s: f64,
    /// Capability of the fastest machine of a group over that of the slowest, at most.
    pub group_factor: f64,
    /// Whether the transfer test applies.
    pub transfer_test: bool,
}

/// A number of tasks for a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share<M> {
    /// The machine.
    pub machine: M,
    /// How many tasks.
    pub tasks: u32,
}

/// Where tasks go.
#[derive(Debug, PartialEq)]
pub struct Plan<M> {
    /// Machines with the tasks that each gets now.
    pub start_now: Vec<Share<M>>,
    /// Holders without free slots with the tasks that wait for each.
    pub wait_for: Vec<Share<M>>,
}

/// A slot on a holder of the image, free or still in use.
struct HolderSlot<M> {
    machine: M,
    /// When a task would finish there, in seconds from now.
    finish_s: f64,
    free: bool,
}

/// Plans where tasks run, as the module's documentation describes.
///
/// A task that should wait for a holder takes the slot that it waits for, so that the next one has to look further: without
/// that, a whole queue would wait for one slot while machines stand idle.
#[must_use]
pub fn plan<M: Copy + Eq + Hash>(mut candidates: Vec<Candidate<M>>, request: Request) -> Plan<M> {
    candidates.sort_by(|a, b| b.capability.total_cmp(&a.capability));
    let mut planner = Planner::new(&candidates, request);
    let mut remaining = candidates.as_slice();
    while let Some(fastest) = remaining.first().filter(|_| planner.slots_left > 0) {
        let slowest = fastest.capability / request.group_factor;
        let size = remaining
            .iter()
            .take_while(|candidate| candidate.capability >= slowest)
            .count();
        let (group, slower) = remaining.split_at(size);
        planner.fill_group(group);
        remaining = slower;
    }
    planner.plan
}

/// A plan that is being made.
struct Planner<M> {
    request: Request,
    slots_left: u32,
    /// Slots on holders, the one where a task would finish first last. A holder in a slower group may have one that beats a
    /// transfer in a faster one.
    holder_slots: Vec<HolderSlot<M>>,
    /// How many slots were taken of holders before their group's turn.
    taken_early: HashMap<M, u32>,
    /// Machines whose turn has passed.
    passed: HashSet<M>,
    plan: Plan<M>,
}

impl<M: Copy + Eq + Hash> Planner<M> {
    fn new(candidates: &[Candidate<M>], request: Request) -> Planner<M> {
        let holder_slots = if request.transfer_test {
            holder_slots(candidates, request)
        } else {
            Vec::new()
        };
        Planner {
            request,
            slots_left: request.slots,
            holder_slots,
            taken_early: HashMap::new(),
            passed: HashSet::new(),
            plan: Plan {
                start_now: Vec::new(),
                wait_for: Vec::new(),
            },
        }
    }

    /// Fills the machines of a group, holders first.
    fn fill_group(&mut self, group: &[Candidate<M>]) {
        let mut order: Vec<&Candidate<M>> = group.iter().filter(|c| c.free_slots > 0).collect();
        order.sort_by_key(|candidate| (!candidate.holds_image, candidate.preference));
        for candidate in order {
            if !candidate.holds_image {
                self.use_better_holders(candidate);
            }
            self.fill(candidate);
        }
    }

    /// The transfer test: takes slots on holders as long as a task would finish there no later than on a machine that has to
    /// fetch the image first.
    fn use_better_holders(&mut self, fetching: &Candidate<M>) {
        // Equation (5) of the paper with its sides named.
        let finish_s = self.request.run_s / fetching.capability + self.request.transfer_s;
        while self.slots_left > 0 {
            let Some(slot) = self.holder_slots.pop_if(|slot| finish_s >= slot.finish_s) else {
                return;
            };
            let share = Share {
                machine: slot.machine,
                tasks: 1,
            };
            if !slot.free {
                self.plan.wait_for.push(share);
            } else if self.passed.contains(&slot.machine) {
                continue;
            } else {
                *self.taken_early.entry(slot.machine).or_default() += 1;
                self.plan.start_now.push(share);
            }
            self.slots_left -= 1;
        }
    }

    /// Gives a machine as many tasks as fit and are left.
    fn fill(&mut self, candidate: &Candidate<M>) {
        let machine = candidate.machine;
        let taken = self.taken_early.get(&machine).copied().unwrap_or(0);
        let tasks = (candidate.free_slots - taken).min(self.slots_left);
        self.passed.insert(machine);
        if tasks > 0 {
            self.plan.start_now.push(Share { machine, tasks });
            self.slots_left -= tasks;
        }
    }
}

/// The slots on all holders, the one where a task would finish first last.
fn holder_slots<M: Copy>(candidates: &[Candidate<M>], request: Request) -> Vec<HolderSlot<M>> {
    let mut slots = Vec::new();
    for holder in candidates.iter().filter(|c| c.holds_image) {
        let run_s = request.run_s / holder.capability;
        let slot = |finish_s: f64, free: bool| HolderSlot {
            machine: holder.machine,
            finish_s,
            free,
        };
        let free = holder.free_slots.min(request.tasks);
        slots.extend((0..free).map(|_| slot(run_s, true)));
        slots.extend(
            holder
                .next_slots_s
                .iter()
                .map(|end_s| slot(run_s + end_s, false)),
        );
    }
    slots.sort_by(|a, b| b.finish_s.total_cmp(&a.finish_s));
    slots
}
