//! Settings in the operators' file.

use crate::time::duration_from_secs;
use serde::Deserialize;
use std::time::Duration;

/// The operators' settings. Each has a default value.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Maximum ratio of the capabilities of the fastest and the slowest machine of a placement group.
    pub group_factor: f64,
    /// Assumed fetch rate of images in GB per second, until it is measured.
    pub fetch_gb_per_s: f64,
    /// Whether placement applies the transfer test, which weighs the time of an image fetch when it chooses between machines
    /// that hold the image and others. See [`crate::placement`].
    pub transfer_test: bool,
    /// Whether start commands are also sent directly to workers, instead of only in the replies to heartbeats.
    pub direct_starts: bool,
    /// Time for which a machine may be idle before it is released, in seconds.
    #[serde(rename = "idle_return_s")]
    pub idle_timeout_s: f64,
    /// Time to live of the leader lease, in seconds.
    #[serde(rename = "hold_s")]
    pub leader_lease_s: f64,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        OperatorSettings {
            group_factor: 1.25,
            fetch_gb_per_s: 0.1,
            transfer_test: true,
            direct_starts: true,
            idle_timeout_s: 45.0,
            leader_lease_s: 2.5,
        }
    }
}

impl OperatorSettings {
    /// Returns the time to live of the leader lease.
    #[must_use]
    pub fn leader_lease(&self) -> Duration {
        duration_from_secs(self.leader_lease_s)
    }

    /// Returns the time for which a machine may be idle before it is released.
    #[must_use]
    pub fn idle_timeout(&self) -> Duration {
        duration_from_secs(self.idle_timeout_s)
    }
}
