//! Elections, and renewals of the leader lease.

use super::super::Simulation;
use crate::coordination::leadership::{Authority, LeadershipEvent, Term};
use crate::store::{Epoch, Revision, TxnOutcome};
use crate::time::Timestamp;
use std::time::Duration;

/// Time between two renewals of the leader lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a controller does not campaign after it lost an election.
const LOST_CAMPAIGN_BACKOFF: Duration = Duration::from_millis(200);

/// Time for which a controller does not campaign after it stepped down.
const STEP_DOWN_BACKOFF: Duration = Duration::from_secs(10);

/// An epoch that a controller has won but not started yet.
#[derive(Clone, Copy)]
pub(super) struct ClaimedEpoch {
    epoch: Epoch,
    version: Revision,
    sent_at: Timestamp,
    deadline: Timestamp,
}

impl Simulation {
    /// Starts a claimed epoch, renews the leader lease, or campaigns.
    pub(super) fn drive_leadership(&mut self, node: usize) {
        if let Some(claimed) = self.nodes[node].claimed_epoch {
            self.begin_epoch(node, claimed);
        } else if let Some(term) = self.nodes[node].running_controller().term() {
            self.renew_leader_lease(node, term);
        } else if self.may_campaign(node) {
            self.campaign(node);
        }
    }

    /// Starts a claimed epoch once the replica contains the claim. Ends the term if that does not happen in time.
    fn begin_epoch(&mut self, node: usize, claimed: ClaimedEpoch) {
        let now = self.now();
        let controller = self.nodes[node].running_controller_mut();
        if controller.replica().revision >= claimed.version && controller.term().is_some() {
            controller.apply_leadership_event(LeadershipEvent::RevisionRead {
                requested_at: claimed.sent_at,
                revision: claimed.version,
            });
            controller.start_epoch(claimed.epoch);
            self.nodes[node].claimed_epoch = None;
        } else if now > claimed.deadline {
            controller.apply_leadership_event(LeadershipEvent::TermEnded);
            self.nodes[node].claimed_epoch = None;
        }
    }

    /// Renews the leader lease once per [`RENEWAL_INTERVAL`]. Ends the term if the lease has ended, or if the store does not
    /// answer and no authority is left. A leader without authority although its lease is renewed steps down: its replica lags.
    fn renew_leader_lease(&mut self, node: usize, term: Term) {
        let now = self.now();
        if now < self.nodes[node].next_renewal_at {
            return;
        }
        self.nodes[node].next_renewal_at = now + RENEWAL_INTERVAL;
        let revision = self.store.revision();
        let available = self.store.is_available_to(node);
        let controller = self.nodes[node].running_controller_mut();
        if !available {
            if controller.authority() == Authority::None {
                controller.apply_leadership_event(LeadershipEvent::TermEnded);
            }
            return;
        }
        if !self.store.renew_lease(term.lease_id, now) {
            controller.apply_leadership_event(LeadershipEvent::TermEnded);
            return;
        }
        controller.apply_leadership_event(LeadershipEvent::RevisionRead {
            requested_at: now,
            revision,
        });
        controller.apply_leadership_event(LeadershipEvent::LeaseRenewed { requested_at: now });
        if controller.is_scheduling() && controller.authority() == Authority::None {
            self.step_down(node);
        }
    }

    fn may_campaign(&self, node: usize) -> bool {
        self.store.is_available_to(node) && self.nodes[node].running_controller().may_campaign()
    }

    /// Claims the next epoch under a new leader lease.
    fn campaign(&mut self, node: usize) {
        let now = self.now();
        let controller = self.nodes[node].running_controller_mut();
        let ttl = controller.settings().operator.leader_lease();
        controller.apply_leadership_event(LeadershipEvent::CampaignStarted);
        let lease_id = self.store.grant_lease(now, ttl);
        let claim = self.nodes[node]
            .running_controller_mut()
            .claim_epoch(lease_id);
        let won = claim.and_then(|claim| match self.transact(node, &claim.txn) {
            Ok(TxnOutcome::Applied(version)) => Some((claim.record.number, version)),
            _ => None,
        });
        let controller = self.nodes[node].running_controller_mut();
        if let Some((epoch, version)) = won {
            let term = Term {
                epoch,
                epoch_version: version,
                lease_id,
            };
            controller.apply_leadership_event(LeadershipEvent::CampaignWon {
                term,
                lease_requested_at: now,
            });
            self.nodes[node].claimed_epoch = Some(ClaimedEpoch {
                epoch,
                version,
                sent_at: now,
                deadline: now + ttl * 3 / 4,
            });
        } else {
            controller.apply_leadership_event(LeadershipEvent::CampaignLost);
            controller.back_off_campaigns(LOST_CAMPAIGN_BACKOFF);
            self.store.revoke_lease(lease_id);
        }
    }

    /// Makes a leader step down. Revokes its lease if the store answers it; otherwise the lease has to expire.
    pub(super) fn step_down(&mut self, node: usize) {
        let controller = self.nodes[node].running_controller_mut();
        let lease_id = controller.term().map(|term| term.lease_id);
        controller.step_down(STEP_DOWN_BACKOFF);
        if let Some(lease_id) = lease_id.filter(|_| self.store.is_available_to(node)) {
            self.store.revoke_lease(lease_id);
        }
    }
}
