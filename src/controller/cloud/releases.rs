//! Releases: machines that the scheduler holds for release are returned to the cloud.

use super::Handles;
use crate::clients::authority_check::while_authorized;
use crate::clients::cloud::MAX_RELEASE_COUNT;
use crate::controller::state::ControllerState;
use crate::coordination::leadership::Authority;

impl Handles {
    /// Releases machines that are held for release, as many as one call may name.
    pub(super) async fn release_machines(&self) {
        if self
            .read_state(ControllerState::releasable_machines)
            .is_empty()
        {
            return;
        }
        self.await_cloud_call().await;
        // Asked again, since the authority to release may have ended during the wait.
        let names = self.read_state(ControllerState::releasable_machines);
        if names.is_empty() {
            return;
        }
        let term = self.read_state(ControllerState::term);
        let call = self.cloud.release(&names);
        let confirmed = while_authorized(|| self.may_call(term), call).await;
        if matches!(confirmed, Some(Ok(()))) {
            tracing::info!(machines = ?names, "released");
            self.with_state(|state| state.record_releases(names));
            self.round_requested.notify_one();
        } else {
            // They are held for release still, and the call is repeated in the next round.
            tracing::info!(machines = ?names, "release not confirmed");
        }
    }
}

impl ControllerState {
    /// Machines that this node may release now.
    fn releasable_machines(&self) -> Vec<String> {
        match &self.scheduler {
            Some(scheduler) if self.authority() == Authority::Full => {
                scheduler.machines_to_release(MAX_RELEASE_COUNT)
            }
            _ => Vec::new(),
        }
    }

    /// The cloud has confirmed the release of machines: they and everything on them are gone.
    fn record_releases(&mut self, names: Vec<String>) {
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
