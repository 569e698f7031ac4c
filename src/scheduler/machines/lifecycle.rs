//! How machines come, change their state, and go.

use super::machine::{Machine, MachineState};
use super::offer::{Hardware, Offer, Origin};
use crate::scheduler::attempt::{Phase, TaskEvent};
use crate::scheduler::index::{MachineIndex, MachineTypeIndex};
use crate::scheduler::start_log::is_loggable_name;
use crate::scheduler::Scheduler;
use std::time::Duration;

impl Scheduler {
    /// Adds a machine that the store records. One of an earlier epoch may have been released or preempted meanwhile.
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

    /// The one function that changes a machine's state.
    pub fn set_machine_state(&mut self, index: MachineIndex, next: MachineState, reason: &str) {
        if !self.machine_mut(index).transition(next, reason) {
            return;
        }
        // A release executes late or not at all: what of ours has not been sent yet must not be any more.
        if next != MachineState::Up {
            self.cancel_unsent_starts(index);
        }
        self.pass_requested = true;
    }

    /// Takes tasks that were assigned to a machine, but not sent, off it.
    fn cancel_unsent_starts(&mut self, index: MachineIndex) {
        let tasks: Vec<_> = self.machine(index).load.tasks().iter().copied().collect();
        for task in tasks {
            let active = self.attempt(task);
            if active.is_some_and(|a| a.phase == Phase::Assigned) {
                self.apply_event(task, TaskEvent::Gone);
            }
        }
    }

    /// The cloud has confirmed that a machine is gone, and everything on it.
    pub fn machine_gone(&mut self, name: &str) {
        let Some(index) = self.machines.index_of(name) else {
            return;
        };
        self.drop_all_tasks(index);
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

    /// Nothing that was on a machine is there any more.
    pub(super) fn drop_all_tasks(&mut self, index: MachineIndex) {
        for task in self.machine(index).load.tasks().clone() {
            self.apply_event(task, TaskEvent::Gone);
        }
    }

    /// The cloud lists a machine. If it is running, heartbeats are expected from now on. If it boots, its age tells when it
    /// was rented: without that, each new leader would wait anew for machines that never come up.
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
            machine.contact.expect_from(now);
        } else {
            machine.boot.set_age(age, now);
        }
    }

    /// Whether a machine has been booting for too long to be worth its price any more. One that was heard, or is listed as
    /// running, is judged by its silence instead.
    #[must_use]
    pub fn boot_timed_out(&self, machine: &Machine) -> bool {
        let offer = machine.offer();
        let nominal_ms = self.machine_types.nominal_boot_ms(offer.machine_type);
        machine.state() == MachineState::Waiting
            && !machine.contact.is_expected()
            && machine.boot.age(self.now()) > self.boot_times.timeout(offer, nominal_ms)
    }

    /// Gives up a machine that has not come up. If its offer is in doubt, returns for how long to ask others: as long as it
    /// took to learn this.
    pub fn abandon_boot(&mut self, index: MachineIndex) -> Option<(Offer, Duration)> {
        let now = self.now();
        let machine = &self.machines[index];
        let (offer, age) = (machine.offer(), machine.boot.age(now));
        let nominal_ms = self.machine_types.nominal_boot_ms(offer.machine_type);
        let in_doubt =
            self.boot_times
                .record_timeout(offer, nominal_ms, machine.boot.rented_at(), now);
        self.set_machine_state(index, MachineState::Releasing, "never came up");
        in_doubt.then_some((offer, age))
    }

    /// A machine has sent its first heartbeat under the current token: it is up.
    pub(in crate::scheduler) fn machine_came_up(&mut self, index: MachineIndex) {
        let now = self.now();
        self.machine_mut(index).load.come_up(now);
        self.measure_boot(index);
        self.set_machine_state(index, MachineState::Up, "reported");
    }

    /// Measures how long a machine that was rented in this epoch has taken to come up.
    fn measure_boot(&mut self, index: MachineIndex) {
        let now = self.now();
        let machine = &self.machines[index];
        if !machine.boot.is_measured() {
            return;
        }
        let (offer, since) = (machine.offer(), machine.boot.known_since());
        let nominal_ms = self.machine_types.nominal_boot_ms(offer.machine_type);
        let took = now.saturating_duration_since(since);
        self.boot_times.record_boot(offer, nominal_ms, since, took);
    }

    /// Whether a machine boots and is not late, so that its capacity may be counted on.
    pub(in crate::scheduler) fn is_booting(&self, machine: &Machine) -> bool {
        let offer = machine.offer();
        let nominal_ms = self.machine_types.nominal_boot_ms(offer.machine_type);
        machine.state() == MachineState::Waiting
            && machine.boot.surely_exists()
            && machine.load.tasks().is_empty()
            && machine.boot.age(self.now()) <= self.boot_times.expected(offer, nominal_ms)
    }
}
