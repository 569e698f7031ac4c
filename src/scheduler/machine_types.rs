//! The machine types of the cloud's catalogue.

use super::index::{MachineTypeIndex, Table};
use super::names::NameInterner;
use crate::protocol::MachineType;
use crate::resources::Resources;

/// Boot time that is assumed for a machine type that the catalogue does not list.
const UNKNOWN_TYPE_BOOT_MS: f64 = 60_000.0;

/// The machine types that the catalogue has listed so far. A type that is no longer listed is kept, since machines of this
/// type may still be present.
#[derive(Default)]
pub(super) struct MachineTypes {
    names: NameInterner<MachineTypeIndex>,
    types: Table<MachineTypeIndex, MachineType>,
}

impl MachineTypes {
    /// Adds a type, or replaces the type with the same name.
    pub(super) fn update(&mut self, machine_type: &MachineType) {
        let index = self.names.intern(&machine_type.name);
        if self.types.get(index).is_some() {
            self.types[index] = machine_type.clone();
        } else {
            self.types.push(machine_type.clone());
        }
    }

    /// Returns the index of the type with a name.
    pub(super) fn index(&self, name: &str) -> Option<MachineTypeIndex> {
        self.names.get(name)
    }

    /// Returns the type with an index, or `None` if the type is unknown.
    pub(super) fn get(&self, index: MachineTypeIndex) -> Option<&MachineType> {
        self.types.get(index)
    }

    /// Returns all types with their indices, in the order in which they became known.
    pub(super) fn iter(&self) -> impl Iterator<Item = (MachineTypeIndex, &MachineType)> {
        self.types.iter()
    }

    /// Returns the total resources of a machine of a type, which are zero if the type is unknown.
    pub(super) fn capacity(&self, index: MachineTypeIndex) -> Resources {
        self.get(index).map_or(Resources::ZERO, |machine_type| {
            Resources::capacity(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
        })
    }

    /// Returns the boot time that the catalogue states for a type, in milliseconds, or a default for an unknown type.
    pub(super) fn nominal_boot_ms(&self, index: MachineTypeIndex) -> f64 {
        self.get(index)
            .map_or(UNKNOWN_TYPE_BOOT_MS, |machine_type| {
                machine_type.boot_s * 1000.0
            })
    }
}
