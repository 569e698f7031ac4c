//! Handling of workers' heartbeats.

use super::{ControllerState, UnregisteredMachine, WorkerContact};
use crate::controller::messages::HeartbeatOutcome;
use crate::coordination::leadership::{Authority, LeadershipEvent};
use crate::protocol::WorkerStatus;
use crate::scheduler::{HeartbeatDecision, HeartbeatSource};
use std::time::Instant;

impl ControllerState {
    /// Handles a worker's heartbeat and returns its outcome.
    pub(in crate::controller) fn handle_heartbeat(
        &mut self,
        report: &WorkerStatus,
    ) -> HeartbeatOutcome {
        let authority = self.authority();
        if authority == Authority::None {
            return self.redirect_to_leader();
        }
        let Some(scheduler) = self.scheduler_at_now() else {
            return HeartbeatOutcome::NoLeader;
        };
        let source = HeartbeatSource::Request {
            may_start: authority == Authority::Full,
        };
        match scheduler.handle_heartbeat(report, source) {
            HeartbeatDecision::Reply(reply) => HeartbeatOutcome::Reply(reply),
            HeartbeatDecision::Superseded => {
                self.apply_leadership_event(LeadershipEvent::TermEnded);
                HeartbeatOutcome::NoLeader
            }
            HeartbeatDecision::UnregisteredMachine => {
                self.record_unregistered_machine(report);
                HeartbeatOutcome::NoLeader
            }
        }
    }

    /// Redirects the worker to the leader, if the replica contains one that is another controller.
    fn redirect_to_leader(&self) -> HeartbeatOutcome {
        let leader = self
            .replica
            .leader
            .as_ref()
            .map(|leader| &leader.record.node);
        match leader.filter(|node| **node != self.identity().node) {
            Some(node) => HeartbeatOutcome::Redirect(Some(node.clone())),
            None => HeartbeatOutcome::NoLeader,
        }
    }

    fn record_unregistered_machine(&mut self, report: &WorkerStatus) {
        self.rental_reconciliation
            .add_unregistered(&report.machine, || UnregisteredMachine {
                machine_type: report.machine_type.clone(),
                zone: report.zone.clone(),
                spot: report.spot,
                worker: Some(WorkerContact {
                    address: report.address.clone(),
                    session: report.session,
                }),
            });
    }

    /// Returns the time after which a reply that is decided now must not be sent any more: the end of the current authority.
    pub(in crate::controller) fn reply_valid_until(&self) -> Option<Instant> {
        let now = self.now();
        let authority_ends = self.leadership().authority_ends(now);
        Instant::now().checked_add(authority_ends.saturating_duration_since(now))
    }
}
