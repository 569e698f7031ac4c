//! Times that follow from the settings and are used for machines.

use crate::scheduler::Params;
use std::time::Duration;

impl Params {
    /// The lease of the workers.
    pub(in crate::scheduler) fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// The time between two heartbeats of a worker.
    pub(in crate::scheduler) fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.report_ms)
    }

    /// The time in which a machine that is well surely sends a heartbeat.
    pub(super) fn quiet_time(&self) -> Duration {
        Duration::from_millis(self.report_ms * 3 / 2)
    }
}
