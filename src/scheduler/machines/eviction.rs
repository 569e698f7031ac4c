//! Reasons other than failures for which a machine is drained.

use crate::time::Timestamp;

/// A machine's termination notice, and whether it is surplus.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Eviction {
    /// When the cloud will terminate the machine, according to its termination notice.
    terminates_at: Option<Timestamp>,
    /// Whether the machine drains only because there is more capacity than needed.
    surplus: bool,
}

impl Eviction {
    /// Returns when the cloud will terminate the machine, or `None` without a termination notice.
    pub(in crate::scheduler) fn terminates_at(&self) -> Option<Timestamp> {
        self.terminates_at
    }

    /// Reports whether the machine has a termination notice.
    pub(in crate::scheduler) fn has_termination_notice(&self) -> bool {
        self.terminates_at.is_some()
    }

    /// Sets or removes the termination notice.
    pub(in crate::scheduler) fn set_termination_notice(
        &mut self,
        terminates_at: Option<Timestamp>,
    ) {
        self.terminates_at = terminates_at;
    }

    /// Reports whether the machine drains only because there is more capacity than needed.
    pub(in crate::scheduler) fn is_surplus(&self) -> bool {
        self.surplus
    }

    /// Sets whether the machine drains only because there is more capacity than needed.
    pub(in crate::scheduler) fn set_surplus(&mut self, surplus: bool) {
        self.surplus = surplus;
    }
}
