//! The progress of a machine from its rental until it comes up.

use super::offer::Origin;
use crate::time::Timestamp;
use std::time::Duration;

/// How and when a machine became known, and what the cloud's list says about it while it boots.
#[derive(Debug)]
pub(in crate::scheduler) struct BootProgress {
    origin: Origin,
    known_since: Timestamp,
    /// Age of the machine at `known_since`, as far as the cloud's list has shown it while booting.
    age_when_known: Duration,
    /// Whether the cloud's list has contained the machine in this epoch.
    listed: bool,
}

impl BootProgress {
    pub(super) fn new(origin: Origin, known_since: Timestamp) -> Self {
        BootProgress {
            origin,
            known_since,
            age_when_known: Duration::ZERO,
            listed: false,
        }
    }

    /// Returns when the machine became known to this leader.
    pub(in crate::scheduler) fn known_since(&self) -> Timestamp {
        self.known_since
    }

    /// Returns when the machine was rented, as far as that is known.
    pub(super) fn rented_at(&self) -> Timestamp {
        self.known_since.saturating_sub(self.age_when_known)
    }

    /// Returns the time since the machine was rented, as far as that is known.
    pub(super) fn age(&self, now: Timestamp) -> Duration {
        now.saturating_duration_since(self.known_since) + self.age_when_known
    }

    /// Reports whether the machine was rented in this epoch, so that its boot time can be measured.
    pub(super) fn rented_this_epoch(&self) -> bool {
        self.origin == Origin::Rented
    }

    /// Reports whether the machine is known to exist. A machine of an earlier epoch may have been released or preempted in
    /// the meantime; a new leader that assumes it exists would count on its capacity for most of a minute.
    pub(super) fn is_known_to_exist(&self) -> bool {
        self.origin != Origin::Inherited || self.listed
    }

    /// Records that the cloud's list contains the machine.
    pub(super) fn set_listed(&mut self) {
        self.listed = true;
    }

    /// Records the age that the cloud's list shows while the machine is booting. The greatest age of all lists counts, since
    /// a list may be older than the one received before it.
    pub(super) fn set_age(&mut self, age: Duration, now: Timestamp) {
        let known_for = now.saturating_duration_since(self.known_since);
        self.age_when_known = self.age_when_known.max(age.saturating_sub(known_for));
    }
}
