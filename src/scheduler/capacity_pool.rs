//! A copy of the machines' free resources in which allocations are planned without changing the machines.

use super::attempt::TaskAttempt;
use super::index::{MachineIndex, Table, ZoneIndex};
use super::job::Job;
use super::machines::Machine;
use super::Scheduler;
use crate::resources::Resources;
use std::collections::HashMap;

/// Number of tasks of a job that are planned in each zone, in addition to its active tasks.
#[derive(Default)]
pub(super) struct PlannedByZone(HashMap<ZoneIndex, u32>);

impl PlannedByZone {
    /// Adds planned tasks in a zone.
    pub(super) fn add(&mut self, zone: ZoneIndex, tasks: u32) {
        *self.0.entry(zone).or_default() += tasks;
    }

    /// Returns how many more tasks of the job its zone rules allow in a zone.
    pub(super) fn allowance(&self, job: &Job, zone: ZoneIndex) -> u32 {
        let planned = self.0.get(&zone).copied().unwrap_or(0);
        job.zone_allowance(zone).saturating_sub(planned)
    }
}

/// Machines in the order in which they are filled, spot machines first, with their remaining free resources.
pub(super) struct CapacityPool {
    order: Vec<MachineIndex>,
    free: Table<MachineIndex, Resources>,
}

impl CapacityPool {
    /// Returns a pool of machines with their free resources.
    fn new(
        scheduler: &Scheduler,
        machines: impl Iterator<Item = (MachineIndex, Resources)>,
    ) -> CapacityPool {
        let mut pool = CapacityPool {
            order: Vec::new(),
            free: Table::filled(Resources::ZERO, scheduler.machines.index_count()),
        };
        let mut on_demand = Vec::new();
        for (machine, free) in machines {
            if scheduler.machine(machine).is_spot() {
                pool.order.push(machine);
            } else {
                on_demand.push(machine);
            }
            pool.free[machine] = free;
        }
        pool.order.append(&mut on_demand);
        pool
    }

    /// Returns a pool of the machines that accept tasks. Resources of tasks being stopped count as free.
    pub(super) fn of_accepting_machines(scheduler: &Scheduler) -> CapacityPool {
        let machines = scheduler
            .machines()
            .filter(|(_, machine)| scheduler.accepts_tasks(machine))
            .map(|(index, machine)| (index, scheduler.free_after_stops(machine)));
        CapacityPool::new(scheduler, machines)
    }

    /// Returns a pool of the machines that are booting.
    pub(super) fn of_booting_machines(scheduler: &Scheduler) -> CapacityPool {
        let machines = scheduler
            .machines()
            .filter(|(_, machine)| scheduler.is_booting(machine))
            .map(|(index, machine)| (index, machine.load.free()));
        CapacityPool::new(scheduler, machines)
    }

    /// Allocates resources for up to `tasks` tasks of a job, as far as its zone rules allow. Returns the number of tasks that
    /// did not fit.
    pub(super) fn allocate(
        &mut self,
        scheduler: &Scheduler,
        job: &Job,
        tasks: u32,
        planned: &mut PlannedByZone,
    ) -> u32 {
        let mut left = tasks;
        for &index in &self.order {
            if left == 0 {
                break;
            }
            let mut count = job.task_resources.count_fitting(self.free[index]).min(left);
            let machine = scheduler.machine(index);
            if count == 0 || !job.allows_machine(machine) {
                continue;
            }
            if job.has_zone_rule() {
                count = count.min(planned.allowance(job, machine.zone()));
                planned.add(machine.zone(), count);
            }
            let allocated = job.task_resources.saturating_mul(count);
            self.free[index] = self.free[index].saturating_sub(allocated);
            left -= count;
        }
        left
    }

    /// Returns the remaining free resources of a machine.
    pub(super) fn free(&self, machine: MachineIndex) -> Resources {
        self.free[machine]
    }

    /// Sets the remaining free resources of a machine.
    pub(super) fn set_free(&mut self, machine: MachineIndex, free: Resources) {
        self.free[machine] = free;
    }

    /// Removes the machines whose remaining resources do not fit the smallest request.
    pub(super) fn remove_full(&mut self, smallest_request: Resources) {
        let free = &self.free;
        self.order
            .retain(|machine| smallest_request.fits(free[*machine]));
    }
}

impl Scheduler {
    /// Returns the free resources of a machine, including those of tasks being stopped there.
    fn free_after_stops(&self, machine: &Machine) -> Resources {
        if !machine.load.has_stopping_tasks() {
            return machine.load.free();
        }
        machine
            .load
            .tasks()
            .iter()
            .filter(|task| self.attempt(**task).is_some_and(TaskAttempt::is_stopping))
            .map(|task| self.job(task.job).task_resources)
            .fold(machine.load.free(), Resources::saturating_add)
    }
}
