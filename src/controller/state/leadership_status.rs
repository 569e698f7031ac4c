//! The leadership of this controller and the conditions of its campaigns.

use crate::coordination::leadership::{Authority, Leadership, LeadershipEvent, Term};
use crate::store::{Epoch, LeaderRecord, Replica};
use crate::time::Timestamp;
use std::time::Duration;

/// The leadership of this controller, its identity, and the data that its campaigns and terms depend on.
pub(super) struct LeadershipStatus {
    /// The record that this process writes into the leader key.
    identity: LeaderRecord,
    leadership: Leadership,
    /// Number of the newest epoch that this controller has observed.
    newest_epoch: Epoch,
    campaign_backoff_until: Timestamp,
    /// Time at which the scheduler of the current or latest term was built.
    leading_since: Timestamp,
    previous_epoch_without_start_log: bool,
}

impl LeadershipStatus {
    /// Creates the status of a follower that may campaign.
    pub(super) fn new(identity: LeaderRecord, leadership: Leadership) -> LeadershipStatus {
        LeadershipStatus {
            identity,
            leadership,
            newest_epoch: Epoch::ZERO,
            campaign_backoff_until: Timestamp::ZERO,
            leading_since: Timestamp::ZERO,
            previous_epoch_without_start_log: false,
        }
    }

    /// Returns the record that this process writes into the leader key.
    pub(super) fn identity(&self) -> &LeaderRecord {
        &self.identity
    }

    /// Returns the state machine of the leadership.
    pub(super) fn leadership(&self) -> &Leadership {
        &self.leadership
    }

    /// Returns the current term, while this controller leads.
    pub(super) fn term(&self) -> Option<Term> {
        self.leadership.term()
    }

    /// Returns the authority of this controller at `now`.
    pub(super) fn authority(&self, now: Timestamp) -> Authority {
        self.leadership.authority(now)
    }

    /// Applies an event. Returns whether it changed the role and this controller does not lead afterwards.
    pub(super) fn apply(&mut self, event: LeadershipEvent) -> bool {
        self.leadership.apply(event) && self.term().is_none()
    }

    /// Returns the number of the newest epoch that this controller has observed.
    pub(super) fn newest_epoch(&self) -> Epoch {
        self.newest_epoch
    }

    /// Records the number of an epoch. Returns whether this controller leads an earlier one, so that its term is over.
    pub(super) fn observe_epoch(&mut self, epoch: Epoch) -> bool {
        self.newest_epoch = self.newest_epoch.max(epoch);
        self.term()
            .is_some_and(|term| self.newest_epoch > term.epoch)
    }

    /// Reports whether this controller may claim leadership, because it is vacant according to the replica.
    pub(super) fn may_claim(&self, replica: &Replica) -> bool {
        replica.may_claim_leadership(&self.identity)
    }

    /// Reports whether this controller may start a campaign.
    pub(super) fn may_campaign(&self, replica: &Replica, now: Timestamp) -> bool {
        replica.initialized && self.may_claim(replica) && now >= self.campaign_backoff_until
    }

    /// Keeps this controller from starting a campaign during the backoff.
    pub(super) fn back_off_campaigns(&mut self, backoff: Duration, now: Timestamp) {
        self.campaign_backoff_until = now + backoff;
    }

    /// Records whether the epoch in the replica, which precedes the one that is claimed now, lacked a start log.
    pub(super) fn observe_previous_epoch(&mut self, replica: &Replica) {
        let previous = replica.epoch.as_ref();
        self.previous_epoch_without_start_log =
            previous.is_some_and(|epoch| !epoch.record.logs_starts);
    }

    /// Reports whether the epoch before the claimed one had no start log, so that its last starts are unknown.
    pub(super) fn previous_epoch_without_start_log(&self) -> bool {
        self.previous_epoch_without_start_log
    }

    /// Records that the scheduler of a new term was built.
    pub(super) fn start_leading(&mut self, now: Timestamp) {
        self.leading_since = now;
    }

    /// Returns the time at which the scheduler of the current or latest term was built.
    pub(super) fn leading_since(&self) -> Timestamp {
        self.leading_since
    }
}
