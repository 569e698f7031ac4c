//! The leadership of this controller, and what decides whether it campaigns.

use crate::coordination::leadership::{Authority, Leadership, LeadershipEvent, Term};
use crate::store::{Epoch, LeaderRecord, Replica};
use crate::time::Timestamp;
use std::time::Duration;

/// Whether this controller leads or may campaign, and what it may do.
pub(super) struct LeadershipStatus {
    /// What this process writes into the leader key.
    identity: LeaderRecord,
    leadership: Leadership,
    /// Number of the newest epoch that this controller has heard of.
    newest_epoch: Epoch,
    campaign_backoff_until: Timestamp,
    /// When the scheduler of the present or latest term was built.
    leading_since: Timestamp,
    previous_epoch_without_start_log: bool,
}

impl LeadershipStatus {
    /// A follower that may campaign.
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

    /// What this process writes into the leader key.
    pub(super) fn identity(&self) -> &LeaderRecord {
        &self.identity
    }

    /// The state machine of the leadership.
    pub(super) fn leadership(&self) -> &Leadership {
        &self.leadership
    }

    /// The term, while this controller leads.
    pub(super) fn term(&self) -> Option<Term> {
        self.leadership.term()
    }

    /// What this controller may do now.
    pub(super) fn authority(&self, now: Timestamp) -> Authority {
        self.leadership.authority(now)
    }

    /// Applies an event. True if it ended the leadership or a campaign.
    pub(super) fn apply(&mut self, event: LeadershipEvent) -> bool {
        self.leadership.apply(event) && self.term().is_none()
    }

    /// Number of the newest epoch that this controller has heard of.
    pub(super) fn newest_epoch(&self) -> Epoch {
        self.newest_epoch
    }

    /// Records the number of an epoch. True if this controller leads an earlier one, so that its term is over.
    pub(super) fn observe_epoch(&mut self, epoch: Epoch) -> bool {
        self.newest_epoch = self.newest_epoch.max(epoch);
        self.term()
            .is_some_and(|term| self.newest_epoch > term.epoch)
    }

    /// Whether leadership is vacant, as far as the replica shows.
    pub(super) fn may_claim(&self, replica: &Replica) -> bool {
        replica.free_to_claim(&self.identity)
    }

    /// Whether this controller may start a campaign.
    pub(super) fn may_campaign(&self, replica: &Replica, now: Timestamp) -> bool {
        replica.initialized && self.may_claim(replica) && now >= self.campaign_backoff_until
    }

    /// Starts no campaign for a time.
    pub(super) fn back_off_campaigns(&mut self, backoff: Duration, now: Timestamp) {
        self.campaign_backoff_until = now + backoff;
    }

    /// Remembers whether the epoch that the replica shows, before the one that is claimed now, had a start log.
    pub(super) fn observe_previous_epoch(&mut self, replica: &Replica) {
        let previous = replica.epoch.as_ref();
        self.previous_epoch_without_start_log =
            previous.is_some_and(|epoch| !epoch.record.logs_starts);
    }

    /// Whether the epoch before the claimed one had no start log: what it started last is unknown.
    pub(super) fn previous_epoch_without_start_log(&self) -> bool {
        self.previous_epoch_without_start_log
    }

    /// The scheduler of a new term was built.
    pub(super) fn start_leading(&mut self, now: Timestamp) {
        self.leading_since = now;
    }

    /// When the scheduler of the present or latest term was built.
    pub(super) fn leading_since(&self) -> Timestamp {
        self.leading_since
    }
}
