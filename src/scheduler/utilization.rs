//! How much of the machines is used, for the autoscaler, and machines that are more than is needed.

use super::attempt::{TaskEvent, TaskId};
use super::index::{MachineIndex, ZoneIndex};
use super::machines::{Machine, MachineState, Offer};
use super::Scheduler;
use std::collections::HashMap;

/// How much of a machine is used.
#[derive(Debug, Clone, Copy)]
pub struct Utilization {
    /// Index.
    pub machine: MachineIndex,
    /// The offer that it was rented from.
    pub offer: Offer,
    /// Since when it is known.
    pub known_since_ms: u64,
    /// All its CPUs in thousandths.
    pub cpu_milli: u64,
    /// CPUs in use in thousandths.
    pub used_cpu_milli: u64,
    /// CPUs in use by services in thousandths.
    pub service_cpu_milli: u64,
}

impl Scheduler {
    /// CPUs in thousandths that the services of all unfinished jobs ask for, and those that they hold in each zone.
    #[must_use]
    pub fn service_demand(&self) -> (u64, HashMap<ZoneIndex, u64>) {
        let mut demanded = 0;
        let mut held: HashMap<ZoneIndex, u64> = HashMap::new();
        for job in self.jobs().filter(|job| job.is_service() && !job.cancelled) {
            let cpu_milli = job.task_resources.cpu_milli;
            demanded += cpu_milli * u64::from(job.tasks());
            for (zone, tasks) in &job.active_by_zone {
                *held.entry(*zone).or_default() += cpu_milli * u64::from(*tasks);
            }
        }
        (demanded, held)
    }

    /// CPUs in thousandths of ordinary machines that are coming up, by zone.
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

    /// The utilization of the machines that take tasks.
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

    /// Takes a machine out of use because there is more than is needed.
    pub fn drain_surplus_machine(&mut self, index: MachineIndex) {
        self.set_machine_state(index, MachineState::Draining, "surplus");
        self.machine_mut(index).eviction.set_surplus(true);
    }

    /// Takes surplus machines back into use.
    pub fn restore_surplus_machines(&mut self) {
        let usable =
            |machine: &Machine| machine.drains_as_surplus() && !machine.eviction.has_notice();
        for index in self.machines.indices() {
            if self.machines.get(index).is_some_and(usable) {
                self.set_machine_state(index, MachineState::Up, "needed again");
                self.machine_mut(index).eviction.set_surplus(false);
            }
        }
    }

    /// Moves one replica off a surplus machine on which nothing else is left, if a holder of its image has enough free.
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

    /// The first task of a machine with only replicas.
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

    /// Whether a task could run on another machine, without fetching its image and within its zone rules.
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
