//! The operators' settings file.

use crate::time::duration;
use serde::Deserialize;
use std::time::Duration;

/// The operators' own settings; each has a default.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Machines whose capability lies within this factor form a group.
    pub group_factor: f64,
    /// Rate at which images are fetched, in GB per second, assumed until one is measured.
    pub fetch_gb_per_s: f64,
    /// Whether the scheduler weighs the time of an image fetch when it chooses between machines that hold the image and
    /// others.
    pub transfer_test: bool,
    /// Whether starts are also sent directly to the workers, instead of only with the responses to heartbeats.
    pub direct_starts: bool,
    /// An idle machine is returned to the cloud after this time, in seconds.
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
    /// Time to live of the leader lease.
    #[must_use]
    pub fn leader_lease(&self) -> Duration {
        duration(self.leader_lease_s)
    }

    /// How long a machine may be idle before it is returned to the cloud.
    #[must_use]
    pub fn idle_timeout(&self) -> Duration {
        duration(self.idle_timeout_s)
    }
}
