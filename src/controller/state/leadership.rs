//! The leadership of this controller: what it may do, when it campaigns, and what ends with its term.

use super::{ControllerState, StepDownReason};
use crate::coordination::leadership::{Authority, Leadership, LeadershipEvent, Term};
use crate::store::{Epoch, LeaderRecord, StoreError};
use crate::time::Timestamp;
use std::time::Duration;

impl ControllerState {
    /// What this process writes into the leader key.
    pub(in crate::controller) fn identity(&self) -> &LeaderRecord {
        self.leadership_status.identity()
    }

    /// The state machine of the leadership.
    pub(in crate::controller) fn leadership(&self) -> &Leadership {
        self.leadership_status.leadership()
    }

    /// What this controller may do now.
    pub(in crate::controller) fn authority(&self) -> Authority {
        self.leadership_status.authority(self.now())
    }

    /// The term, while this controller leads.
    pub(in crate::controller) fn term(&self) -> Option<Term> {
        self.leadership_status.term()
    }

    /// Number of the newest epoch that this controller has heard of.
    pub(in crate::controller) fn newest_epoch(&self) -> Epoch {
        self.leadership_status.newest_epoch()
    }

    /// When the scheduler of the present or latest term was built.
    pub(in crate::controller) fn leading_since(&self) -> Timestamp {
        self.leadership_status.leading_since()
    }

    /// Whether what was decided in a term may still be sent.
    ///
    /// This is asked again right before each send. The process may have been paused since the decision, while a cancellation
    /// was confirmed or another controller became the leader.
    pub(in crate::controller) fn may_send(&self, term: Option<Term>) -> bool {
        term.is_some() && self.term() == term && self.authority() == Authority::Full
    }

    /// Whether leadership is vacant, as far as the replica shows.
    pub(in crate::controller) fn may_claim_leadership(&self) -> bool {
        self.leadership_status.may_claim(&self.replica)
    }

    /// Whether this controller may start a campaign.
    pub(in crate::controller) fn may_campaign(&self) -> bool {
        self.leadership_status
            .may_campaign(&self.replica, self.now())
    }

    /// Applies an event to the leadership. What belongs to a term ends with it.
    pub(in crate::controller) fn apply_leadership_event(&mut self, event: LeadershipEvent) {
        if self.leadership_status.apply(event) {
            self.scheduler = None;
            self.rental_reconciliation.clear_on_step_down();
        }
    }

    /// Records the number of an epoch. A later one ends this controller's term.
    pub(in crate::controller) fn observe_epoch(&mut self, epoch: Epoch) {
        if self.leadership_status.observe_epoch(epoch) {
            self.apply_leadership_event(LeadershipEvent::TermEnded);
        }
    }

    /// Handles the result of a renewal of the leader lease. Returns why this controller should step down, if it should.
    pub(in crate::controller) fn handle_lease_renewal(
        &mut self,
        requested_at: Timestamp,
        renewed: Result<(), StoreError>,
    ) -> Option<StepDownReason> {
        match renewed {
            Ok(()) => {
                self.apply_leadership_event(LeadershipEvent::LeaseRenewed { requested_at });
                let lags = self.scheduler.is_some() && self.authority() == Authority::None;
                return lags.then_some(StepDownReason::ReplicaLags);
            }
            Err(StoreError::NotFound) => self.apply_leadership_event(LeadershipEvent::TermEnded),
            Err(_) if self.authority() == Authority::None => {
                self.apply_leadership_event(LeadershipEvent::TermEnded);
            }
            // The authority lasts for a while without renewals.
            Err(_) => {}
        }
        None
    }

    /// Ends the leadership and starts no campaign for a time.
    pub(in crate::controller) fn step_down(&mut self, backoff: Duration) {
        self.back_off_campaigns(backoff);
        self.apply_leadership_event(LeadershipEvent::TermEnded);
    }

    /// Starts no campaign for a time.
    pub(in crate::controller) fn back_off_campaigns(&mut self, backoff: Duration) {
        let now = self.now();
        self.leadership_status.back_off_campaigns(backoff, now);
    }

    /// Whether a read that was sent longer ago than a tolerance was answered with a revision that the replica still lacks.
    pub(in crate::controller) fn replica_lags(&self, tolerance: Duration) -> bool {
        let sent_before = self.now().saturating_sub(tolerance);
        self.leadership().has_pending_read_sent_before(sent_before)
    }
}
