//! Releases of machines.

use super::ControllerState;
use crate::clients::cloud::MAX_RELEASE_COUNT;
use crate::coordination::leadership::Authority;

impl ControllerState {
    /// Returns the machines that this controller may release now, at most as many as one call may name.
    pub(in crate::controller) fn releasable_machines(&self) -> Vec<String> {
        match &self.scheduler {
            Some(scheduler) if self.authority() == Authority::Full => {
                scheduler.machines_to_release(MAX_RELEASE_COUNT)
            }
            _ => Vec::new(),
        }
    }

    /// Records that the cloud has confirmed the release of machines: the machines and all tasks on them are gone.
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
