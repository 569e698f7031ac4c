//! Releases of machines.

use super::ControllerState;
use crate::clients::cloud::MAX_RELEASE_COUNT;
use crate::coordination::leadership::Authority;

impl ControllerState {
    /// Machines that this node may release now.
    pub(in crate::controller) fn releasable_machines(&self) -> Vec<String> {
        match &self.scheduler {
            Some(scheduler) if self.authority() == Authority::Full => {
                scheduler.machines_to_release(MAX_RELEASE_COUNT)
            }
            _ => Vec::new(),
        }
    }

    /// The cloud has confirmed the release of machines: they and everything on them are gone.
    pub(in crate::controller) fn record_releases(&mut self, names: Vec<String>) {
        let now = self.now();
        self.rental_reconciliation.expire_releases(now);
        for name in names {
            if let Some(scheduler) = self.scheduler.as_mut() {
                scheduler.machine_gone(&name);
            }
            self.rental_reconciliation.record_release(name, now);
        }
    }
}
