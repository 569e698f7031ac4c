//! Releases to the cloud the machines that the scheduler has marked for release.

use super::Handles;
use crate::clients::authority_check::while_authorized;
use crate::controller::state::ControllerState;

impl Handles {
    /// Releases machines that are marked for release, as many as one call may name.
    pub(super) async fn release_machines(&self) {
        if self
            .read_state(ControllerState::releasable_machines)
            .is_empty()
        {
            return;
        }
        self.wait_for_cloud_rate_limit().await;
        // Checked again, since the authority to release may have ended during the wait.
        let names = self.read_state(ControllerState::releasable_machines);
        if names.is_empty() {
            return;
        }
        let term = self.read_state(ControllerState::term);
        let call = self.cloud.release(&names);
        let confirmed = while_authorized(|| self.may_call(term), call).await;
        if matches!(confirmed, Some(Ok(()))) {
            tracing::info!(machines = ?names, "machines released");
            self.update_state(|state| state.record_releases(names));
            self.round_requested.notify_one();
        } else {
            // The machines remain marked for release, and the next round repeats the call.
            tracing::info!(machines = ?names, "release of machines not confirmed, next round repeats it");
        }
    }
}
