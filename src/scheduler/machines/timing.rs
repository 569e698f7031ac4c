//! Timeouts of machines that are derived from the scheduler's parameters.

use crate::scheduler::Params;
use crate::time::whole_millis;
use std::time::Duration;

impl Params {
    /// Returns the time after which a missing heartbeat is overdue: one and a half heartbeat intervals.
    pub(super) fn heartbeat_timeout(&self) -> Duration {
        Duration::from_millis(whole_millis(self.heartbeat_interval) * 3 / 2)
    }
}
