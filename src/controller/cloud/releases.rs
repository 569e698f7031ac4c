//! Releases: machines that the scheduler holds for release are returned to the cloud.

use super::Handles;
use crate::clients::authority_check::while_authorized;
use crate::controller::state::ControllerState;

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
