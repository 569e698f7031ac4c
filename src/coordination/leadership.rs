//! The state machine of leadership: whether this controller leads an epoch, what it may do as the leader, and until when.
//!
//! # Why authority needs both a renewed lease and a recent read
//!
//! A renewed leader lease proves that no other controller leads. It does not prove that this controller knows of every
//! cancellation that other controllers have confirmed to users: it learns of those from the watch that feeds its replica, and
//! the watch may lag. Authority is therefore counted from the time at which the older of two requests was *sent*:
//!
//! - the last successful renewal of the leader lease, and
//! - the last linearizable read of the store whose revision the replica has reached.
//!
//! A cancellation that is missing from the replica became durable after that read was sent. The controller that confirms a
//! cancellation waits until the leader knows of it or until [`longest_authority`] has passed, so that no task of the job is
//! started after the confirmation.
//!
//! The module does no I/O and reads no clock: callers pass in [`Timestamp`]s of the monotonic clock.

#[cfg(test)]
mod tests;

use crate::store::{Epoch, Revision};
use crate::time::{duration_from_millis, whole_millis, Timestamp};
use std::time::Duration;

/// Assumed maximum drift rate of a monotonic clock. The protocol guarantees 0.05%; this is twice as much.
const MAX_CLOCK_DRIFT: f64 = 0.001;
/// Safety margin by which the authority to start tasks ends before the leader lease can expire.
const AUTHORITY_MARGIN: Duration = Duration::from_millis(150);
/// Maximum number of reads that wait for the replica. Beyond it, the oldest is dropped, which can only delay authority.
const MAX_PENDING_READS: usize = 64;

/// The role of this controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// This controller does not lead: another one does, or leadership is vacant.
    Follower,
    /// This controller is trying to become the leader.
    Campaigning,
    /// This controller leads an epoch under a leader lease.
    Leading(Term),
}

/// A term of leadership: one epoch under one leader lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// The epoch number.
    pub epoch: Epoch,
    /// Version of the epoch key in the store. Every write of the leader is conditional on it.
    pub epoch_version: Revision,
    /// Identifier of the leader lease in the store.
    pub lease_id: u64,
}

/// The actions that this controller may take as the leader at a given time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Authority {
    /// No actions.
    None,
    /// Renewing worker leases and stopping tasks, but not starting any: another controller may lead by now, or a job may have
    /// been cancelled without this controller knowing.
    Renew,
    /// All actions.
    Full,
}

/// An event that may change the role or extend the authority of this controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeadershipEvent {
    /// This controller started to campaign.
    CampaignStarted,
    /// The campaign failed, and this controller follows again.
    CampaignLost,
    /// The campaign succeeded, and a term begins.
    CampaignWon {
        /// The new term.
        term: Term,
        /// When the request to open the leader lease was sent.
        lease_requested_at: Timestamp,
    },
    /// The leader lease was renewed.
    LeaseRenewed {
        /// When the renewal request was sent.
        requested_at: Timestamp,
    },
    /// The store answered a linearizable read.
    RevisionRead {
        /// When the read request was sent.
        requested_at: Timestamp,
        /// The revision of the store that the read returned.
        revision: Revision,
    },
    /// The replica of the store reached a revision.
    ReplicaAdvanced {
        /// The revision up to which the replica holds every change.
        revision: Revision,
    },
    /// The term ended: the leader lease ended, a later epoch was seen, this controller stepped down, or its grace period
    /// without the store is over.
    TermEnded,
}

/// A linearizable read whose revision the replica has not reached yet.
#[derive(Debug, Clone, Copy)]
struct PendingRead {
    requested_at: Timestamp,
    revision: Revision,
}

/// State machine of the leadership of this controller.
pub struct Leadership {
    role: Role,
    /// Time after the sending of a renewal or a read during which tasks may be started.
    full_authority_ttl: Duration,
    /// Additional time during which worker leases may be renewed.
    grace_period: Duration,
    /// When the newest successful renewal of the leader lease was sent.
    lease_renewed_at: Timestamp,
    /// When the newest read whose revision the replica has reached was sent.
    up_to_date_at: Timestamp,
    replica_revision: Revision,
    pending_reads: Vec<PendingRead>,
}

impl Leadership {
    /// Creates the state of a follower. `lease_ttl` is the time to live of its future leader leases. A leader whose authority
    /// to start tasks has expired may go on renewing worker leases for `grace_period`.
    #[must_use]
    pub fn new(lease_ttl: Duration, grace_period: Duration) -> Self {
        Leadership {
            role: Role::Follower,
            full_authority_ttl: scaled(lease_ttl, 1.0 - MAX_CLOCK_DRIFT)
                .saturating_sub(AUTHORITY_MARGIN),
            grace_period,
            lease_renewed_at: Timestamp::ZERO,
            up_to_date_at: Timestamp::ZERO,
            replica_revision: Revision::ZERO,
            pending_reads: Vec::new(),
        }
    }

    /// Returns the role of this controller.
    #[must_use]
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Returns the term, while this controller leads.
    #[must_use]
    pub fn term(&self) -> Option<Term> {
        match self.role {
            Role::Leading(term) => Some(term),
            Role::Follower | Role::Campaigning => None,
        }
    }

    /// Applies an event and reports whether the role changed. This is the only function that changes the role.
    pub fn apply(&mut self, event: LeadershipEvent) -> bool {
        use LeadershipEvent as Event;
        let next = match (&self.role, event) {
            (
                _,
                Event::RevisionRead {
                    requested_at,
                    revision,
                },
            ) => {
                self.add_pending_read(PendingRead {
                    requested_at,
                    revision,
                });
                return false;
            }
            (_, Event::ReplicaAdvanced { revision }) => {
                self.replica_revision = self.replica_revision.max(revision);
                self.resolve_pending_reads();
                return false;
            }
            (Role::Leading(_), Event::LeaseRenewed { requested_at }) => {
                self.lease_renewed_at = self.lease_renewed_at.max(requested_at);
                return false;
            }
            (
                Role::Campaigning,
                Event::CampaignWon {
                    term,
                    lease_requested_at,
                },
            ) => {
                self.lease_renewed_at = lease_requested_at;
                Role::Leading(term)
            }
            (Role::Follower, Event::CampaignStarted) => Role::Campaigning,
            (Role::Campaigning, Event::CampaignLost) | (Role::Leading(_), Event::TermEnded) => {
                Role::Follower
            }
            _ => return false,
        };
        log_role_change(&self.role, &next);
        self.role = next;
        true
    }

    fn add_pending_read(&mut self, read: PendingRead) {
        self.pending_reads.push(read);
        if self.pending_reads.len() > MAX_PENDING_READS {
            self.pending_reads.remove(0);
        }
        self.resolve_pending_reads();
    }

    /// Removes the reads whose revision the replica has reached. The replica is up to date as of the time they were sent.
    fn resolve_pending_reads(&mut self) {
        let replica_revision = self.replica_revision;
        let up_to_date_at = &mut self.up_to_date_at;
        self.pending_reads.retain(|read| {
            let reached = read.revision <= replica_revision;
            if reached {
                *up_to_date_at = (*up_to_date_at).max(read.requested_at);
            }
            !reached
        });
    }

    /// Returns when the authority to start tasks ends, provided that this controller leads.
    fn full_authority_ends(&self) -> Timestamp {
        self.lease_renewed_at.min(self.up_to_date_at) + self.full_authority_ttl
    }

    /// Returns the authority of this controller at `now`.
    ///
    /// Renewing the leader lease is not enough to restore full authority. After the store refused this controller or was down,
    /// open watches may stay silent, while leader leases get their full time to live again. If a renewal were enough, a leader
    /// in that state would start tasks of jobs whose cancellation other controllers have already confirmed, and a series of
    /// short refusals would extend the time for which such tasks are kept alive.
    #[must_use]
    pub fn authority(&self, now: Timestamp) -> Authority {
        if !matches!(self.role, Role::Leading(_)) {
            return Authority::None;
        }
        let full_until = self.full_authority_ends();
        if now < full_until {
            Authority::Full
        } else if now < full_until + self.grace_period {
            Authority::Renew
        } else {
            Authority::None
        }
    }

    /// Returns when the current authority ends unless a renewal or read in flight extends it; `now` if there is none.
    #[must_use]
    pub fn authority_ends(&self, now: Timestamp) -> Timestamp {
        let full_until = self.full_authority_ends();
        match self.authority(now) {
            Authority::None => now,
            Authority::Full => full_until,
            Authority::Renew => full_until + self.grace_period,
        }
    }

    /// Returns when the oldest read whose revision the replica has not reached was sent, if there is one.
    #[must_use]
    pub fn oldest_pending_read(&self) -> Option<Timestamp> {
        self.pending_reads
            .iter()
            .map(|read| read.requested_at)
            .min()
    }

    /// Reports whether the replica has not yet reached the revision of a read that was sent before `moment`. A read that stays
    /// pending for long indicates that the watch has stalled.
    #[must_use]
    pub fn has_pending_read_sent_before(&self, moment: Timestamp) -> bool {
        self.pending_reads
            .iter()
            .any(|read| read.requested_at < moment)
    }
}

/// Returns the longest time for which a leader can go on starting tasks of a job after the job's cancellation became durable,
/// as measured by the clock of another controller.
#[must_use]
pub fn longest_authority(lease_ttl: Duration) -> Duration {
    scaled(lease_ttl, 1.0 + MAX_CLOCK_DRIFT)
}

/// Multiplies a duration by a factor near one; the result is rounded down to whole milliseconds.
fn scaled(duration: Duration, factor: f64) -> Duration {
    duration_from_millis(whole_millis(duration) as f64 * factor)
}

fn log_role_change(from: &Role, to: &Role) {
    match (from, to) {
        (_, Role::Campaigning) => tracing::info!("campaign for leadership started"),
        (_, Role::Leading(term)) => tracing::info!(epoch = %term.epoch, "leadership acquired"),
        (Role::Leading(term), Role::Follower) => {
            tracing::info!(epoch = %term.epoch, "leadership ended, this controller follows");
        }
        (_, Role::Follower) => tracing::info!("campaign for leadership lost"),
    }
}
