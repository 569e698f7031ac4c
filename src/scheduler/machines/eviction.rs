//! Why a machine is to be left by its tasks.

use crate::time::Timestamp;

/// What makes a machine drain, beside failures.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Eviction {
    /// When the cloud will take the machine, as its termination notice says.
    terminates_at: Option<Timestamp>,
    /// Whether it drains only because there is more capacity than is needed.
    surplus: bool,
}

impl Eviction {
    /// When the cloud will take the machine, as its termination notice says.
    pub(in crate::scheduler) fn terminates_at(&self) -> Option<Timestamp> {
        self.terminates_at
    }

    /// Whether the cloud has announced to take the machine.
    pub(in crate::scheduler) fn has_notice(&self) -> bool {
        self.terminates_at.is_some()
    }

    /// Sets the termination notice, or that there is none.
    pub(in crate::scheduler) fn set_notice(&mut self, terminates_at: Option<Timestamp>) {
        self.terminates_at = terminates_at;
    }

    /// Whether the machine drains only because there is more capacity than is needed.
    pub(in crate::scheduler) fn is_surplus(&self) -> bool {
        self.surplus
    }

    /// Sets whether there is more capacity than is needed.
    pub(in crate::scheduler) fn set_surplus(&mut self, surplus: bool) {
        self.surplus = surplus;
    }
}
