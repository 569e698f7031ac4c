//! Exchanges views with the other controllers.

use super::handles::{pause, Handles};
use super::state::ControllerState;
use crate::admission::write_admission::users_share;
use crate::coordination::leadership::Authority;
use crate::coordination::peers::{self, View};
use crate::scheduler::Scheduler;
use std::time::Instant;

/// A connection that fails sooner was refused.
const REFUSED_MS: u128 = 500;

/// How long the leader's word of its changes counts.
const LEADER_VIEW_TTL_MS: u64 = 3000;

impl Handles {
    pub(super) async fn peers(self) {
        let peers = self.state.borrow().settings.platform.peers.clone();
        loop {
            pause(900).await;
            for p in &peers {
                let me = self.clone();
                let (addr, own) = (
                    p.peer_addr,
                    View {
                        counts: None,
                        ..self.state.borrow().own_view()
                    },
                );
                actix::spawn(async move {
                    let from = Instant::now();
                    let answer = peers::ask(&me.http, addr, &own).await;
                    let mut controller = me.state.borrow_mut();
                    let now = controller.now().as_millis();
                    match answer {
                        Some(v) => controller.take_view(v),
                        None if from.elapsed().as_millis() < REFUSED_MS => {
                            controller.peer_health.refused(now);
                        }
                        None => {}
                    }
                });
            }
        }
    }
}

impl ControllerState {
    pub(super) fn own_view(&self) -> View {
        let counts = self
            .scheduler
            .as_ref()
            .filter(|_| self.authority() != Authority::None)
            .map(Scheduler::all_counts);
        let (node, revision) = (self.identity().node.clone(), self.replica.revision);
        let leader_changes_per_s = self
            .term()
            .map(|_| self.own_changes.per_s(self.now().as_millis()));
        View {
            node,
            epoch: self.newest_epoch(),
            revision,
            state_ok: self.is_store_reachable(),
            leader_changes_per_s,
            counts,
        }
    }

    pub(super) fn take_view(&mut self, v: View) {
        let now = self.now().as_millis();
        self.observe_epoch(v.epoch);
        if let Some(changes_per_s) = v
            .leader_changes_per_s
            .filter(|_| v.epoch >= self.newest_epoch())
        {
            self.leader_changes = Some((changes_per_s, now));
        }
        if let Some(counts) = v
            .counts
            .filter(|_| self.scheduler.is_none() && v.epoch >= self.newest_epoch())
        {
            self.reported_task_counts = counts
                .into_iter()
                .map(|(id, done, running)| (id, (done, running)))
                .collect();
        }
        self.cancellations.peer_replica_reached(&v.node, v.revision);
        self.peer_health.told(v.node, v.state_ok, now);
    }

    /// Adjusts the pace of users' changes to what the leader leaves.
    pub(super) fn adjust_pace(&mut self) {
        let now = self.now().as_millis();
        let fresh = self
            .leader_changes
            .filter(|(_, at)| now < at + LEADER_VIEW_TTL_MS)
            .map(|(changes, _)| changes);
        let leader = if self.term().is_some() {
            Some(self.own_changes.per_s(now))
        } else {
            fresh
        };
        let platform = &self.settings.platform;
        let most = users_share(
            platform.deployment.state.write_rps,
            platform.peers.len() + 1,
            leader,
        );
        self.user_changes.set_most(most);
    }
}
