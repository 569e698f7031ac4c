//! CPU utilization of the machines, for the autoscaler, and the draining of surplus machines.

use super::attempt::{TaskEvent, TaskId};
use super::index::{MachineIndex, ZoneIndex};
use super::machines::{Machine, MachineState, Offer};
use super::Scheduler;
use std::collections::HashMap;

/// CPU utilization of a machine.
#[derive(Debug, Clone, Copy)]
pub struct Utilization {
    /// Index of the machine.
    pub machine: MachineIndex,
    /// The offer under which the machine was rented.
    pub offer: Offer,
    /// When the machine became known, in milliseconds of the scheduler's clock.
    pub known_since_ms: u64,
    /// CPUs of the machine, in thousandths.
    pub cpu_milli: u64,
    /// CPUs in use, in thousandths.
    pub used_cpu_milli: u64,
    /// CPUs in use by services, in thousandths.
    pub service_cpu_milli: u64,
}

impl Scheduler {
    /// Returns the CPUs, in thousandths, that all services request, and those that their active replicas hold in each zone.
    #[must_use]
    pub fn service_demand(&self) -> (u64, HashMap<ZoneIndex, u64>) {
        let mut demanded = 0;
        let mut held: HashMap<ZoneIndex, u64> = HashMap::new();
        for job in self.jobs().filter(|job| job.is_service() && !job.is_final) {
            let cpu_milli = job.task_resources.cpu_milli;
            demanded += cpu_milli * u64::from(job.tasks());
            for (zone, tasks) in &job.active_by_zone {
                *held.entry(*zone).or_default() += cpu_milli * u64::from(*tasks);
            }
        }
        (demanded, held)
    }

    /// Returns the free CPUs, in thousandths, of on-demand machines that are booting, by zone.
    #[must_use]
    pub fn booting_cpu_milli(&self) -> HashMap<ZoneIndex, u64> {
        let mut by_zone = HashMap::new();
        for (_, machine) in self.machines() {
            if !machine.is_spot() && self.is_booting(machine) {
                *by_zone.entry(machine.zone()).or_default() += machine.load.free().cpu_milli;
            }
        }
        by_zone
    }

    /// Returns the utilization of the available machines.
    #[must_use]
    pub fn utilization(&self) -> Vec<Utilization> {
        self.machines()
            .filter(|(_, machine)| machine.is_available())
            .map(|(index, machine)| {
                let cpu_milli = self
                    .machine_types
                    .capacity(machine.machine_type())
                    .cpu_milli;
                Utilization {
                    machine: index,
                    offer: machine.offer(),
                    known_since_ms: machine.boot.known_since().as_millis(),
                    cpu_milli,
                    used_cpu_milli: cpu_milli.saturating_sub(machine.load.free().cpu_milli),
                    service_cpu_milli: machine.load.service_cpu_milli(),
                }
            })
            .collect()
    }

    /// Starts to drain a machine that is surplus: it gets no new tasks until it is released or restored.
    pub fn drain_surplus_machine(&mut self, index: MachineIndex) {
        self.set_machine_state(index, MachineState::Draining, "surplus");
        self.machine_mut(index).eviction.set_surplus(true);
    }

    /// Lets draining surplus machines accept tasks again, except those with a termination notice.
    pub fn restore_surplus_machines(&mut self) {
        let usable = |m: &Machine| m.drains_as_surplus() && !m.eviction.has_termination_notice();
        for index in self.machines.indices() {
            if self.machines.get(index).is_some_and(usable) {
                self.set_machine_state(index, MachineState::Up, "needed again");
                self.machine_mut(index).eviction.set_surplus(false);
            }
        }
    }

    /// Stops one replica on a surplus machine that has only replicas left, if another machine that holds its image has enough
    /// free resources, so that it is placed there.
    pub fn move_surplus_replica(&mut self) {
        let movable = self
            .machines()
            .filter(|(_, machine)| machine.drains_as_surplus())
            .filter_map(|(_, machine)| Some((machine, self.first_task_if_all_replicas(machine)?)))
            .find(|(machine, task)| self.can_run_elsewhere(*task, machine))
            .map(|(_, task)| task);
        if let Some(task) = movable {
            self.apply_event(task, TaskEvent::Stop { save: false });
        }
    }

    /// Returns the first task of a machine if all its tasks are replicas.
    fn first_task_if_all_replicas(&self, machine: &Machine) -> Option<TaskId> {
        let only_replicas = machine
            .load
            .tasks()
            .iter()
            .all(|task| self.job(task.job).is_service());
        machine
            .load
            .tasks()
            .first()
            .copied()
            .filter(|_| only_replicas)
    }

    /// Reports whether a task could run on another machine that holds its image. If the job has a zone rule, only machines in
    /// the current zone count.
    fn can_run_elsewhere(&self, task: TaskId, current: &Machine) -> bool {
        let job = self.job(task.job);
        self.machines().any(|(_, machine)| {
            let zone_allowed = machine.zone() == current.zone() || !job.has_zone_rule();
            self.accepts_tasks(machine)
                && job.allows_machine(machine)
                && zone_allowed
                && machine.images().contains(&job.image)
                && job.task_resources.fits(machine.load.free())
        })
    }
}
