//! The registry of present machines, by index and by name.

use super::machine::Machine;
use crate::scheduler::index::{MachineIndex, Table};
use std::collections::HashMap;
use std::ops::{Index, IndexMut};

/// The machines that are present. Indices of removed machines are reused, since otherwise the indices visited at each tick
/// would grow with every machine ever rented.
#[derive(Default)]
pub(in crate::scheduler) struct MachineRegistry {
    machines: Table<MachineIndex, Option<Machine>>,
    free_indices: Vec<MachineIndex>,
    by_name: HashMap<String, MachineIndex>,
}

impl MachineRegistry {
    /// Adds a machine, whose name must be new.
    pub(super) fn insert(&mut self, machine: Machine) {
        let name = machine.name().to_string();
        let index = self
            .free_indices
            .pop()
            .unwrap_or_else(|| self.machines.push(None));
        self.machines[index] = Some(machine);
        self.by_name.insert(name, index);
    }

    /// Removes a machine. Its index may be reused at once.
    pub(super) fn remove(&mut self, index: MachineIndex) {
        if let Some(machine) = self.machines[index].take() {
            self.by_name.remove(machine.name());
            self.free_indices.push(index);
        }
    }

    /// Returns the index of the machine with a name, if it is present.
    pub(in crate::scheduler) fn index_of(&self, name: &str) -> Option<MachineIndex> {
        self.by_name.get(name).copied()
    }

    /// Reports whether a machine with this name is present.
    pub(in crate::scheduler) fn contains(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// Returns the machine with an index, if one is present.
    pub(in crate::scheduler) fn get(&self, index: MachineIndex) -> Option<&Machine> {
        self.machines[index].as_ref()
    }

    /// Returns a mutable reference to the machine with an index, if one is present.
    pub(in crate::scheduler) fn get_mut(&mut self, index: MachineIndex) -> Option<&mut Machine> {
        self.machines[index].as_mut()
    }

    /// Iterates over all indices in ascending order, including free ones. The registry may change during the iteration.
    pub(in crate::scheduler) fn indices(&self) -> impl Iterator<Item = MachineIndex> {
        self.machines.indices()
    }

    /// Returns the number of indices, including free ones.
    pub(in crate::scheduler) fn index_count(&self) -> usize {
        self.machines.len()
    }

    /// Iterates over the present machines in the order of their indices.
    pub(in crate::scheduler) fn iter(&self) -> impl Iterator<Item = (MachineIndex, &Machine)> {
        self.machines
            .iter()
            .filter_map(|(index, machine)| Some((index, machine.as_ref()?)))
    }

    /// Iterates over the machines that should send heartbeats. Machines to be released are left out.
    pub(super) fn expected_to_report(&self) -> impl Iterator<Item = (MachineIndex, &Machine)> {
        self.iter()
            .filter(|(_, machine)| machine.is_heartbeat_expected())
    }

    /// Iterates mutably over the present machines in the order of their indices.
    pub(in crate::scheduler) fn values_mut(&mut self) -> impl Iterator<Item = &mut Machine> {
        self.machines.values_mut().flatten()
    }
}

/// Panic message for the index of a machine that was removed.
const MACHINE_IS_PRESENT: &str = "indices of machines are only kept while the machine is present";

impl Index<MachineIndex> for MachineRegistry {
    type Output = Machine;

    fn index(&self, index: MachineIndex) -> &Machine {
        self.machines[index].as_ref().expect(MACHINE_IS_PRESENT)
    }
}

impl IndexMut<MachineIndex> for MachineRegistry {
    fn index_mut(&mut self, index: MachineIndex) -> &mut Machine {
        self.machines[index].as_mut().expect(MACHINE_IS_PRESENT)
    }
}
