//! Tracks which machines hold or are fetching each image.

use super::index::{ImageIndex, MachineIndex};
use super::Scheduler;
use std::collections::{BTreeSet, HashMap};

/// The machines that hold or are fetching each image. There are no entries for images without such a machine.
#[derive(Debug, Default)]
pub(super) struct ImageHolders {
    by_image: HashMap<ImageIndex, BTreeSet<MachineIndex>>,
}

impl ImageHolders {
    /// Returns the machines that hold or are fetching an image, if there are any.
    pub(super) fn get(&self, image: ImageIndex) -> Option<&BTreeSet<MachineIndex>> {
        self.by_image.get(&image)
    }

    /// Records that a machine holds or is fetching an image.
    pub(super) fn insert(&mut self, image: ImageIndex, machine: MachineIndex) {
        self.by_image.entry(image).or_default().insert(machine);
    }

    /// Records that a machine is no longer known to hold an image.
    pub(super) fn remove(&mut self, image: ImageIndex, machine: MachineIndex) {
        if let Some(machines) = self.by_image.get_mut(&image) {
            machines.remove(&machine);
            if machines.is_empty() {
                self.by_image.remove(&image);
            }
        }
    }
}

impl Scheduler {
    /// Records that a machine holds or is fetching an image, and removes the image that this evicts from the machine's list.
    pub(super) fn record_image_holder(&mut self, machine: MachineIndex, image: ImageIndex) {
        let holder = self.machine_mut(machine);
        if holder.images().back() == Some(&image) {
            return;
        }
        let evicted = holder.record_image_use(image);
        self.image_holders.insert(image, machine);
        if let Some(evicted) = evicted {
            self.image_holders.remove(evicted, machine);
        }
    }
}
