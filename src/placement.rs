//! The placement algorithm (DGNS), which selects machines for the tasks of a job by measured capability, groups of similar
//! machines, image locality and a transfer test.
//!
//! A machine's *capability* for a class of jobs is measured: it is the inverse of the machine's mean task time relative to
//! the mean over all machines. Candidates are sorted by capability and divided into groups. A group begins with the fastest
//! remaining machine and ends where capability falls below that of its fastest machine divided by the *group factor*. Groups
//! are filled in order of descending capability. Within a group, machines that hold the job's image come first; machines that
//! are equal in this respect are ordered by [`Preference`].
//!
//! A machine without the image has to fetch it first. It gets a task only if it passes the *transfer test*: the task must be
//! expected to finish there, including the transfer, sooner than on any holder with a free slot or a slot that becomes free
//! later. Otherwise the task is placed on that holder if its slot is free, or waits for the slot.

#[cfg(test)]
mod tests;

use crate::resources::Resources;
use std::collections::{HashMap, HashSet};
use std::hash::Hash;

/// Weight of a new measurement in the exponential moving average.
const MEASUREMENT_WEIGHT: f64 = 0.2;
/// Range to which measured ratios are clamped.
const MEASURED_RATIO_RANGE: (f64, f64) = (0.05, 20.0);

/// A class of jobs for which capability is measured separately, by the resource of which a task takes the largest share of a
/// machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResourceClass {
    /// CPU is the dominant resource.
    Cpu,
    /// GPUs are the dominant resource.
    Gpu,
    /// Memory is the dominant resource.
    Memory,
}

impl ResourceClass {
    /// All classes.
    pub const ALL: [ResourceClass; 3] = [
        ResourceClass::Cpu,
        ResourceClass::Gpu,
        ResourceClass::Memory,
    ];

    /// Returns the class of a task by its shares of the largest machine's resources.
    #[must_use]
    pub fn of(requested: Resources, largest: Resources) -> ResourceClass {
        let share = |amount: u64, largest: u64| amount as f64 / largest.max(1) as f64;
        let cpu = share(requested.cpu_milli, largest.cpu_milli);
        let gpu = share(requested.gpu_milli, largest.gpu_milli);
        let memory = share(requested.memory_mb, largest.memory_mb);
        if memory > cpu.max(gpu) {
            ResourceClass::Memory
        } else if gpu > cpu {
            ResourceClass::Gpu
        } else {
            ResourceClass::Cpu
        }
    }
}

/// A table with one value per resource class.
#[derive(Debug, Clone, Copy, Default)]
pub struct ByClass<T>([T; ResourceClass::ALL.len()]);

impl<T: Copy> ByClass<T> {
    /// Returns the value of a class.
    #[must_use]
    pub fn get(&self, class: ResourceClass) -> T {
        self.0[class as usize]
    }

    /// Sets the value of a class.
    pub fn set(&mut self, class: ResourceClass, value: T) {
        self.0[class as usize] = value;
    }
}

/// Moving averages, per class, of the ratio of a machine's task times to the mean task times of their jobs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Capability(ByClass<Option<f64>>);

impl Capability {
    /// Records the ratio of a finished task's time on this machine to the mean time of its job on all machines.
    pub fn record(&mut self, class: ResourceClass, ratio: f64) {
        let (min, max) = MEASURED_RATIO_RANGE;
        let ratio = ratio.clamp(min, max);
        let mean = self
            .0
            .get(class)
            .map_or(ratio, |old| old + MEASUREMENT_WEIGHT * (ratio - old));
        self.0.set(class, Some(mean));
    }

    /// Returns the machine's speed for a class relative to the mean of 1, or `None` until a task of that class has been
    /// measured.
    #[must_use]
    pub fn get(&self, class: ResourceClass) -> Option<f64> {
        self.0.get(class).map(|mean| 1.0 / mean)
    }
}

/// The sort key of machines that are otherwise equal; smaller values come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Preference {
    /// Whether a task of the job has failed on the machine.
    pub has_failed: bool,
    /// Whether the machine is on demand rather than spot.
    pub on_demand: bool,
    /// Unused CPUs in thousandths, so that the fullest machine is filled first.
    pub spare_cpu_milli: u64,
}

/// A machine, identified by `M`, on which a job's tasks may run.
#[derive(Debug, Clone)]
pub struct Candidate<M> {
    /// Identifier of the machine.
    pub machine: M,
    /// Measured or assumed capability for the job's class.
    pub capability: f64,
    /// Whether the machine holds the job's image.
    pub holds_image: bool,
    /// Number of tasks that fit on the machine now.
    pub free_slots: u32,
    /// For a holder without free slots, the expected end times of its tasks in ascending order, in seconds from now.
    /// Each end frees a slot. Slots that other tasks are already waiting for are left out.
    pub next_slots_s: Vec<f64>,
    /// Order among candidates that are otherwise equal.
    pub preference: Preference,
}

/// Parameters of the tasks to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Number of slots to find.
    pub slots: u32,
    /// Number of tasks to place. Smaller than `slots` if a zone rule may leave some of the slots unused.
    pub tasks: u32,
    /// Expected run time of a task on a machine with capability 1.
    pub run_s: f64,
    /// Expected time to fetch the image: its size divided by the fetch rate.
    pub transfer_s: f64,
    /// Maximum ratio of the capabilities of the fastest and the slowest machine of a group.
    pub group_factor: f64,
    /// Whether the transfer test is applied.
    pub transfer_test: bool,
}

/// The number of a job's tasks that go to one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share<M> {
    /// Identifier of the machine.
    pub machine: M,
    /// Number of tasks.
    pub tasks: u32,
}

/// The result of placement.
#[derive(Debug, PartialEq)]
pub struct Plan<M> {
    /// Tasks to be started now, per machine. A machine may occur several times.
    pub start_now: Vec<Share<M>>,
    /// Tasks that wait for a slot, per holder without free slots. A holder may occur several times.
    pub wait_for: Vec<Share<M>>,
}

/// A slot on a machine that holds the image; free, or occupied by a task.
struct HolderSlot<M> {
    machine: M,
    /// Expected finish time of a new task in this slot, in seconds from now.
    finish_s: f64,
    free: bool,
}

/// Assigns tasks to candidates by the algorithm in the module documentation.
///
/// A task that waits for a holder consumes the slot that it waits for, so that the next task has to consider other slots.
/// Otherwise a whole queue would wait for the same slot while other machines are idle.
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

/// The state of a [`plan`] call.
struct Planner<M> {
    request: Request,
    slots_left: u32,
    /// Slots on holders of all groups, by descending finish time, so that the best one is popped first. A holder in a slower
    /// group may have a slot that beats a transfer to a machine in a faster group.
    holder_slots: Vec<HolderSlot<M>>,
    /// Number of slots that were taken of a holder before it was processed in its own group.
    taken_early: HashMap<M, u32>,
    /// Machines that have been filled in the order of their group.
    processed: HashSet<M>,
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
            processed: HashSet::new(),
            plan: Plan {
                start_now: Vec::new(),
                wait_for: Vec::new(),
            },
        }
    }

    /// Fills the machines of a group, image holders first.
    fn fill_group(&mut self, group: &[Candidate<M>]) {
        let mut order: Vec<&Candidate<M>> = group.iter().filter(|c| c.free_slots > 0).collect();
        order.sort_by_key(|candidate| (!candidate.holds_image, candidate.preference));
        for candidate in order {
            if !candidate.holds_image {
                self.take_better_holder_slots(candidate);
            }
            self.fill(candidate);
        }
    }

    /// Applies the transfer test to a machine that has to fetch the image: takes slots on holders as long as a task would
    /// finish there no later than on this machine.
    fn take_better_holder_slots(&mut self, non_holder: &Candidate<M>) {
        // Equation (5) of the DGNS paper: its two sides are the finish times here and on the holder.
        let finish_s = self.request.run_s / non_holder.capability + self.request.transfer_s;
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
            } else if self.processed.contains(&slot.machine) {
                continue;
            } else {
                *self.taken_early.entry(slot.machine).or_default() += 1;
                self.plan.start_now.push(share);
            }
            self.slots_left -= 1;
        }
    }

    /// Assigns as many of the remaining tasks to a machine as fit.
    fn fill(&mut self, candidate: &Candidate<M>) {
        let machine = candidate.machine;
        let taken = self.taken_early.get(&machine).copied().unwrap_or(0);
        let tasks = (candidate.free_slots - taken).min(self.slots_left);
        self.processed.insert(machine);
        if tasks > 0 {
            self.plan.start_now.push(Share { machine, tasks });
            self.slots_left -= tasks;
        }
    }
}

/// Returns the slots on all holders, by descending finish time.
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
