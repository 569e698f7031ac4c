//! What troubles a worker. Each trouble ends by itself.

use crate::harness::topology::CONTROLLER_COUNT;
use std::time::Duration;
use tokio::time::Instant;

/// The troubles of a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkerCondition {
    /// Until when the machine hangs: it executes nothing and sends nothing.
    pub(crate) hung_until: Instant,
    /// Until when heartbeats are lost on their way.
    pub(crate) reports_lost_until: Instant,
    /// Until when answers to heartbeats and direct commands are lost on their way.
    pub(crate) answers_lost_until: Instant,
    /// Until when a controller and this worker cannot reach each other.
    pub(crate) cut_until: [Instant; CONTROLLER_COUNT],
    /// Until when copies of heartbeats arrive late, and by how much.
    pub(crate) late_reports_until: Instant,
    /// The delay of these copies.
    pub(crate) report_delay: Duration,
    /// Until when direct commands arrive late, unanswered, and by how much.
    pub(crate) late_commands_until: Instant,
    /// The delay of these commands.
    pub(crate) command_delay: Duration,
}

impl WorkerCondition {
    /// Returns the condition of a worker without troubles.
    pub(super) fn undisturbed() -> WorkerCondition {
        let now = Instant::now();
        WorkerCondition {
            hung_until: now,
            reports_lost_until: now,
            answers_lost_until: now,
            cut_until: [now; CONTROLLER_COUNT],
            late_reports_until: now,
            report_delay: Duration::ZERO,
            late_commands_until: now,
            command_delay: Duration::ZERO,
        }
    }

    /// Cuts the worker off from everything for some time.
    pub(crate) fn cut_off(&mut self, duration: Duration) {
        let until = Instant::now() + duration;
        self.cut_until = [until; CONTROLLER_COUNT];
        self.answers_lost_until = self.answers_lost_until.max(until);
    }
}
