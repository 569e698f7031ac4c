//! How far a machine has come since it was rented.

use super::offer::Origin;
use crate::time::Timestamp;
use std::time::Duration;

/// How and when a machine became known, and what the cloud's list says of it until it is up.
#[derive(Debug)]
pub(in crate::scheduler) struct BootProgress {
    origin: Origin,
    known_since: Timestamp,
    /// How long before `known_since` it was rented, as far as the cloud's list tells while it boots.
    rented_earlier: Duration,
    /// Whether the cloud has listed it in this epoch.
    listed: bool,
}

impl BootProgress {
    pub(super) fn new(origin: Origin, known_since: Timestamp) -> Self {
        BootProgress {
            origin,
            known_since,
            rented_earlier: Duration::ZERO,
            listed: false,
        }
    }

    /// When the machine became known here.
    pub(in crate::scheduler) fn known_since(&self) -> Timestamp {
        self.known_since
    }

    /// When it was rented, as far as that is known.
    pub(super) fn rented_at(&self) -> Timestamp {
        self.known_since.saturating_sub(self.rented_earlier)
    }

    /// The time since it was rented, as far as that is known.
    pub(super) fn age(&self, now: Timestamp) -> Duration {
        now.saturating_duration_since(self.known_since) + self.rented_earlier
    }

    /// Whether it was rented in this epoch, so that its boot time can be measured.
    pub(super) fn is_measured(&self) -> bool {
        self.origin == Origin::Rented
    }

    /// Whether it surely exists. A machine of an earlier epoch may have been released or preempted meanwhile: a new leader
    /// once counted on the capacity of such machines for most of a minute.
    pub(super) fn surely_exists(&self) -> bool {
        self.origin != Origin::Inherited || self.listed
    }

    /// The cloud lists it.
    pub(super) fn set_listed(&mut self) {
        self.listed = true;
    }

    /// The cloud lists it as booting for some time. Of several lists the greatest age counts, since a list may be older than
    /// the one before it.
    pub(super) fn set_age(&mut self, age: Duration, now: Timestamp) {
        let known_for = now.saturating_duration_since(self.known_since);
        self.rented_earlier = self.rented_earlier.max(age.saturating_sub(known_for));
    }
}
