//! The views that controllers exchange: this controller's own view, and the handling of a peer's view.

use super::ControllerState;
use crate::admission::write_admission::max_user_change_rate;
use crate::coordination::leadership::Authority;
use crate::coordination::peers::{JobTaskCounts, View};
use crate::scheduler::{Scheduler, TaskCounts};

/// Returns the numbers of done and running tasks of every job, in the form of a view.
fn all_task_counts(scheduler: &Scheduler) -> Vec<JobTaskCounts> {
    scheduler
        .all_task_counts()
        .map(|(job, counts)| JobTaskCounts {
            job: job.to_string(),
            done: counts.done,
            running: counts.running,
        })
        .collect()
}

impl ControllerState {
    /// Returns the view of this controller, with the task counts if it has authority as the leader.
    pub(in crate::controller) fn own_view(&self) -> View {
        let scheduler = self.scheduler.as_ref();
        View {
            task_counts: scheduler
                .filter(|_| self.authority() != Authority::None)
                .map(all_task_counts),
            ..self.view_without_task_counts()
        }
    }

    /// Returns the view that this controller sends to its peers on its own initiative. It needs no task counts: followers get
    /// those from the leader's responses to their own views.
    pub(in crate::controller) fn view_without_task_counts(&self) -> View {
        let now = self.now();
        View {
            node: self.identity().node.clone(),
            epoch: self.newest_epoch(),
            revision: self.replica.revision,
            store_reachable: self.is_store_reachable(),
            leader_changes_per_s: self
                .term()
                .map(|_| self.request_limits.own_change_rate(now)),
            task_counts: None,
        }
    }

    /// Handles the view of a peer. A later epoch ends this controller's term; a leader's report from an earlier epoch is
    /// ignored.
    pub(in crate::controller) fn receive_view(&mut self, view: View) {
        let now = self.now();
        self.observe_epoch(view.epoch);
        let is_current_epoch = view.epoch >= self.newest_epoch();
        if let Some(per_second) = view.leader_changes_per_s.filter(|_| is_current_epoch) {
            self.leader_report.record_change_rate(per_second, now);
        }
        let is_follower = self.scheduler.is_none();
        if let Some(task_counts) = view.task_counts.filter(|_| is_follower && is_current_epoch) {
            self.leader_report.replace_task_counts(task_counts);
        }
        self.cancellations
            .record_peer_revision(&view.node, view.revision);
        self.peer_health
            .record_view(view.node, view.store_reachable, now);
    }

    /// Returns the task counts of a job that the leader reported last.
    pub(in crate::controller) fn reported_task_counts(&self, job: &str) -> Option<TaskCounts> {
        self.leader_report.task_counts(job)
    }

    /// Records that a peer refused a connection.
    pub(in crate::controller) fn record_peer_refusal(&mut self) {
        self.peer_health.record_refusal(self.clock.now());
    }

    /// Returns the rate of store changes, per second, that the leader leaves to the users of this controller.
    pub(super) fn user_change_limit(&self) -> f64 {
        let now = self.now();
        let leader_changes_per_s = match self.term() {
            Some(_) => Some(self.request_limits.own_change_rate(now)),
            None => self.leader_report.change_rate(now),
        };
        let controllers = self.settings.platform.peers.len() + 1;
        let changes_per_s = self.write_limits.changes_per_s();
        max_user_change_rate(changes_per_s, controllers, leader_changes_per_s)
    }
}
