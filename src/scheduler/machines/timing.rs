//! Times that follow from the settings and are used for machines.

use crate::scheduler::Params;
use crate::time::whole_millis;
use std::time::Duration;

impl Params {
    /// The time in which a machine that is well surely sends a heartbeat.
    pub(super) fn quiet_time(&self) -> Duration {
        Duration::from_millis(whole_millis(self.heartbeat_interval) * 3 / 2)
    }
}
