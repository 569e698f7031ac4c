//! The life cycle of machines: addition, state changes, boot and removal.

use super::machine::{Machine, MachineState};
use super::offer::{Hardware, Offer, Origin};
use crate::scheduler::attempt::{Phase, TaskEvent};
use crate::scheduler::gone_proof::GoneProof;
use crate::scheduler::index::{MachineIndex, MachineTypeIndex};
use crate::scheduler::start_log::is_loggable_name;
use crate::scheduler::Scheduler;
use std::time::Duration;

impl Scheduler {
    /// Adds a machine that has a rental record in the store. A machine of an earlier epoch may have been released or
    /// preempted in the meantime. Does nothing if the machine is already known or its name cannot be written to the start
    /// log.
    pub fn add_machine(&mut self, name: &str, hardware: Hardware, origin: Origin) {
        if self.is_known(name) || !is_loggable_name(name) {
            return;
        }
        let machine_type = self
            .machine_types
            .index(hardware.machine_type)
            .unwrap_or(MachineTypeIndex::UNKNOWN);
        let offer = Offer {
            machine_type,
            zone: self.zones.intern(hardware.zone),
            spot: hardware.spot,
        };
        let capacity = self.machine_types.capacity(machine_type);
        let machine = Machine::new(name, offer, origin, capacity, self.now());
        self.machines.insert(machine);
        self.pass_requested = true;
    }

    /// Changes a machine's state. All state changes go through this function, so that starts which were not sent yet are
    /// cancelled whenever a machine stops accepting tasks.
    pub fn set_machine_state(&mut self, index: MachineIndex, next: MachineState, reason: &str) {
        if !self.machine_mut(index).transition(next, reason) {
            return;
        }
        // A release call may execute at any later time or not at all, so tasks that were assigned to the machine but not
        // sent must not be sent any more.
        if next != MachineState::Up {
            self.cancel_unsent_starts(index);
        }
        self.pass_requested = true;
    }

    /// Removes the tasks that were assigned to a machine but not sent to it.
    fn cancel_unsent_starts(&mut self, index: MachineIndex) {
        let tasks: Vec<_> = self.machine(index).load.tasks().iter().copied().collect();
        for task in tasks {
            let active = self.attempt(task);
            if active.is_some_and(|a| a.phase == Phase::Assigned) {
                self.apply_event(task, TaskEvent::Gone(GoneProof::NeverSent));
            }
        }
    }

    /// Removes a machine after the cloud has confirmed that it no longer exists, together with all tasks on it.
    pub fn machine_gone(&mut self, name: &str) {
        let Some(index) = self.machines.index_of(name) else {
            return;
        };
        self.drop_all_tasks(index, GoneProof::MachineReleased);
        for image in self.machine(index).images().clone() {
            self.image_holders.remove(image, index);
        }
        self.pending_commands.remove(&index);
        self.machines.remove(index);
        for job in self.jobs.values_mut() {
            job.failures.remove_machine(index);
        }
        self.pass_requested = true;
    }

    /// Marks all tasks of a machine as gone.
    pub(super) fn drop_all_tasks(&mut self, index: MachineIndex, proof: GoneProof) {
        for task in self.machine(index).load.tasks().clone() {
            self.apply_event(task, TaskEvent::Gone(proof));
        }
    }

    /// Records that the cloud's list contains a machine. If it is running, heartbeats are expected from now on. If it is
    /// booting, its age tells when it was rented: without it, each new leader would restart the boot timeout of machines that
    /// never come up.
    pub fn record_listing(
        &mut self,
        index: MachineIndex,
        running: bool,
        address: &str,
        age: Duration,
    ) {
        let now = self.now();
        let machine = self.machine_mut(index);
        machine.boot.set_listed();
        if running {
            machine.contact.set_address_if_unknown(address);
            machine.contact.expect_heartbeats_from(now);
        } else {
            machine.boot.set_age(age, now);
        }
    }

    /// Reports whether a machine has exceeded its boot timeout. A machine that has sent a heartbeat or is listed as running
    /// is judged by its silence instead, see [`Scheduler::unresponsive_machines`].
    #[must_use]
    pub fn boot_timed_out(&self, machine: &Machine) -> bool {
        let offer = machine.offer();
        let nominal_ms = self.machine_types.nominal_boot_ms(offer.machine_type);
        machine.state() == MachineState::Waiting
            && !machine.contact.is_heartbeat_expected()
            && machine.boot.age(self.now()) > self.boot_times.timeout(offer, nominal_ms)
    }

    /// Marks a machine that has not come up for release. If its offer is to be avoided, returns the offer and for how long to
    /// avoid it: the age of the machine, which is the time that it took to find out.
    pub fn abandon_boot(&mut self, index: MachineIndex) -> Option<(Offer, Duration)> {
        let now = self.now();
        let machine = &self.machines[index];
        let (offer, age) = (machine.offer(), machine.boot.age(now));
        let nominal_ms = self.machine_types.nominal_boot_ms(offer.machine_type);
        let is_to_be_avoided =
            self.boot_times
                .record_timeout(offer, nominal_ms, machine.boot.rented_at(), now);
        self.set_machine_state(index, MachineState::Releasing, "boot timed out");
        is_to_be_avoided.then_some((offer, age))
    }

    /// Marks a machine as up when its first heartbeat under the current token arrives.
    pub(in crate::scheduler) fn machine_came_up(&mut self, index: MachineIndex) {
        let now = self.now();
        self.machine_mut(index).load.mark_up(now);
        self.record_boot_time(index);
        self.set_machine_state(index, MachineState::Up, "first heartbeat");
    }

    /// Records the boot time of a machine that was rented in this epoch.
    fn record_boot_time(&mut self, index: MachineIndex) {
        let now = self.now();
        let machine = &self.machines[index];
        if !machine.boot.rented_this_epoch() {
            return;
        }
        let (offer, since) = (machine.offer(), machine.boot.known_since());
        let nominal_ms = self.machine_types.nominal_boot_ms(offer.machine_type);
        let took = now.saturating_duration_since(since);
        self.boot_times.record_boot(offer, nominal_ms, since, took);
    }

    /// Reports whether a machine is booting within its expected boot time, so that its capacity counts as available soon.
    pub(in crate::scheduler) fn is_booting(&self, machine: &Machine) -> bool {
        let offer = machine.offer();
        let nominal_ms = self.machine_types.nominal_boot_ms(offer.machine_type);
        machine.state() == MachineState::Waiting
            && machine.boot.is_known_to_exist()
            && machine.load.tasks().is_empty()
            && machine.boot.age(self.now()) <= self.boot_times.expected(offer, nominal_ms)
    }
}
