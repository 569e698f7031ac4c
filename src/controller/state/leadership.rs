//! The leadership of this controller: its authority, its campaigns, and the end of its term.

use super::{ControllerState, StepDownReason};
use crate::coordination::leadership::{Authority, Leadership, LeadershipEvent, Term};
use crate::store::{Epoch, LeaderRecord, StoreError};
use crate::time::Timestamp;
use std::time::Duration;

impl ControllerState {
    /// Returns the record that this process writes into the leader key.
    pub(in crate::controller) fn identity(&self) -> &LeaderRecord {
        self.leadership_status.identity()
    }

    /// Returns the state machine of the leadership.
    pub(in crate::controller) fn leadership(&self) -> &Leadership {
        self.leadership_status.leadership()
    }

    /// Returns the current authority of this controller.
    pub(in crate::controller) fn authority(&self) -> Authority {
        self.leadership_status.authority(self.now())
    }

    /// Returns the current term, while this controller leads.
    pub(in crate::controller) fn term(&self) -> Option<Term> {
        self.leadership_status.term()
    }

    /// Returns the number of the newest epoch that this controller has observed.
    pub(in crate::controller) fn newest_epoch(&self) -> Epoch {
        self.leadership_status.newest_epoch()
    }

    /// Returns the time at which the scheduler of the current or latest term was built.
    pub(in crate::controller) fn leading_since(&self) -> Timestamp {
        self.leadership_status.leading_since()
    }

    /// Reports whether a message that was decided on in a term may still be sent.
    ///
    /// Callers check this again right before each send: the process may have been paused since the decision, while a
    /// cancellation was confirmed or another controller became the leader.
    pub(in crate::controller) fn may_send(&self, term: Option<Term>) -> bool {
        term.is_some() && self.term() == term && self.authority() == Authority::Full
    }

    /// Reports whether this controller may claim leadership, because it is vacant according to the replica.
    pub(in crate::controller) fn may_claim_leadership(&self) -> bool {
        self.leadership_status.may_claim(&self.replica)
    }

    /// Reports whether this controller may start a campaign.
    pub(in crate::controller) fn may_campaign(&self) -> bool {
        self.leadership_status
            .may_campaign(&self.replica, self.now())
    }

    /// Applies an event to the leadership. When this controller no longer leads, the scheduler and the reconciliation state of
    /// its term are dropped.
    pub(in crate::controller) fn apply_leadership_event(&mut self, event: LeadershipEvent) {
        if self.leadership_status.apply(event) {
            self.scheduler = None;
            self.rental_reconciliation.clear_on_step_down();
        }
    }

    /// Records the number of an epoch. An epoch later than the current term's ends the term.
    pub(in crate::controller) fn observe_epoch(&mut self, epoch: Epoch) {
        if self.leadership_status.observe_epoch(epoch) {
            self.apply_leadership_event(LeadershipEvent::TermEnded);
        }
    }

    /// Handles the result of a renewal of the leader lease. Returns the reason to step down, if there is one.
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
            // The authority outlasts a failed renewal: it ends some time after the last successful one.
            Err(_) => {}
        }
        None
    }

    /// Ends the term of this controller, which starts no campaign during the backoff.
    pub(in crate::controller) fn step_down(&mut self, backoff: Duration) {
        self.back_off_campaigns(backoff);
        self.apply_leadership_event(LeadershipEvent::TermEnded);
    }

    /// Keeps this controller from starting a campaign during the backoff.
    pub(in crate::controller) fn back_off_campaigns(&mut self, backoff: Duration) {
        let now = self.now();
        self.leadership_status.back_off_campaigns(backoff, now);
    }

    /// Returns the time since the oldest read that the replica has not caught up with was sent; zero if there is none.
    pub(in crate::controller) fn replica_lag(&self) -> Duration {
        let pending_since = self.leadership().oldest_pending_read();
        pending_since.map_or(Duration::ZERO, |since| {
            self.now().saturating_duration_since(since)
        })
    }

    /// Reports whether the replica still lacks the revision that a read sent longer ago than `tolerance` was answered with.
    pub(in crate::controller) fn replica_lags(&self, tolerance: Duration) -> bool {
        let sent_before = self.now().saturating_sub(tolerance);
        self.leadership().has_pending_read_sent_before(sent_before)
    }
}
