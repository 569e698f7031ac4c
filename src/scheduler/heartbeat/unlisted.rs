//! Attempts that are recorded for a machine and that its newest heartbeat does not list.

use super::Heartbeat;
use crate::protocol::TaskState;
use crate::scheduler::attempt::{Route, TaskAttempt, TaskEvent, TaskId};
use crate::scheduler::gone_proof::{GoneProof, Listing};
use crate::scheduler::Scheduler;
use std::collections::HashSet;

impl Scheduler {
    /// Returns the proof that an attempt which this heartbeat does not list is gone.
    fn not_listed(&self, heartbeat: Heartbeat) -> GoneProof {
        let machine = self.machine(heartbeat.machine);
        GoneProof::NotListed(Listing {
            token: heartbeat.report.token,
            is_request: heartbeat.source.is_request(),
            direct_in_flight: machine.commands.is_direct_in_flight(),
        })
    }

    /// Drops recorded attempts in whose place the machine lists another live attempt of the same task. An attempt that is
    /// still in transit is kept. The listed attempt is then adopted as the active one. If it were stopped as unknown instead,
    /// the task could be started elsewhere before this attempt has ended.
    pub(super) fn drop_replaced_attempts(&mut self, heartbeat: Heartbeat) {
        let statuses = &heartbeat.report.tasks;
        for status in statuses
            .iter()
            .filter(|status| status.state != TaskState::Exited)
        {
            let Some(task) = self.find_task(&status.task) else {
                continue;
            };
            let Some(active) = self.attempt(task).copied() else {
                continue;
            };
            let is_listed = statuses
                .iter()
                .any(|other| other.task == status.task && other.attempt == active.attempt);
            if active.machine == heartbeat.machine && !is_listed {
                self.apply_event(task, TaskEvent::Gone(self.not_listed(heartbeat)));
            }
        }
    }

    /// Marks recorded tasks that the machine does not list as gone, unless their start is still in transit. Returns true if a
    /// start in the reply to a request was not executed.
    pub(super) fn drop_unlisted(&mut self, heartbeat: Heartbeat, listed: &HashSet<TaskId>) -> bool {
        let tasks = self.machine(heartbeat.machine).load.tasks();
        let unlisted: Vec<_> = tasks
            .iter()
            .copied()
            .filter(|task| !listed.contains(task))
            .collect();
        let mut start_lost = false;
        for task in unlisted {
            let Some(active) = self.attempt(task).copied() else {
                continue;
            };
            self.apply_event(task, TaskEvent::Gone(self.not_listed(heartbeat)));
            if self.attempt(task).is_some() {
                continue;
            }
            self.log_unlisted(heartbeat, task, &active);
            start_lost |= !active.reported
                && active.route == Route::HeartbeatReply
                && active.token == heartbeat.report.token;
        }
        start_lost
    }

    /// Logs that a task is taken for gone because its machine does not list it, with what the conclusion is drawn from.
    fn log_unlisted(&self, heartbeat: Heartbeat, task: TaskId, active: &TaskAttempt) {
        let (job, machine) = (self.job(task.job), self.machine(heartbeat.machine));
        tracing::info!(
            job = %job.record.spec.id,
            task = task.number,
            machine = %machine.name(),
            attempt = active.attempt,
            start_token = active.token.as_u64(),
            start_route = ?active.route,
            reported = active.reported,
            heartbeat_token = heartbeat.report.token.as_u64(),
            heartbeat_sequence = heartbeat.report.sequence,
            heartbeat_source = ?heartbeat.source,
            direct_in_flight = machine.commands.is_direct_in_flight(),
            "task is not listed by its machine, marked as gone"
        );
    }
}
