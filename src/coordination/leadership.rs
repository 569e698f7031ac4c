//! Leadership of one epoch: whether this controller leads, what it may do as the leader, and until when.
//!
//! # Why authority needs both a renewed lease and a recent read
//!
//! A renewed leader lease proves that no other controller leads. It does not prove that this controller knows of every
//! cancellation that the other controllers have confirmed to users: it learns of those from the watch of its replica, which
//! may lag. So authority is counted from the *sending* of the older of two requests:
//!
//! - the last successful renewal of the leader lease, and
//! - the last linearizable read of the store whose revision the replica has reached.
//!
//! A cancellation that is missing in the replica became durable after that read was sent. The controller that confirms a
//! cancellation waits until the leader knows of it or for [`longest_authority`], so that no task of the job is started after
//! the confirmation.
//!
//! The module does no I/O and reads no clock: moments are passed in as [`Timestamp`]s of the steady clock.

#[cfg(test)]
mod tests;

use crate::store::{Epoch, Revision};
use crate::time::{duration_from_millis, whole_millis, Timestamp};
use std::time::Duration;

/// The largest relative error assumed of a steady clock. The protocol promises 0.05%; this is twice as much.
const MAX_CLOCK_DRIFT: f64 = 0.001;
/// Safety margin by which the authority to start tasks ends early.
const AUTHORITY_MARGIN: Duration = Duration::from_millis(150);
/// The largest number of reads that wait for the replica. Beyond it the oldest is dropped, which can only delay authority.
const PENDING_READS_LIMIT: usize = 64;

/// The role of this controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Another controller leads, or none.
    Follower,
    /// This controller tries to become the leader.
    Campaigning,
    /// This controller leads an epoch under a leader lease.
    Leading(Term),
}

/// The term of a leader: one epoch under one leader lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Number of the epoch.
    pub epoch: Epoch,
    /// Version of the epoch key in the store. Every write of the leader is conditional on it.
    pub epoch_version: Revision,
    /// Identifier of the leader lease in the store.
    pub lease: u64,
}

/// What this controller may do as the leader at a given moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Authority {
    /// Nothing.
    None,
    /// It may renew worker leases and stop tasks, but start nothing: another controller may lead by now, or a job may have
    /// been cancelled without this controller knowing.
    Renew,
    /// Everything.
    Full,
}

/// An event that may change the role or extend the authority.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeadershipEvent {
    /// This controller starts to campaign.
    CampaignStarted,
    /// The campaign failed.
    CampaignLost,
    /// The campaign succeeded.
    CampaignWon {
        /// The term that begins.
        term: Term,
        /// When the request that opened the leader lease was sent.
        lease_requested_at: Timestamp,
    },
    /// The leader lease was renewed.
    LeaseRenewed {
        /// When the request was sent.
        requested_at: Timestamp,
    },
    /// A linearizable read of the store was answered.
    RevisionRead {
        /// When the request was sent.
        requested_at: Timestamp,
        /// The revision that the store had reached when it answered.
        revision: Revision,
    },
    /// The replica holds every change up to a revision.
    ReplicaAdvanced {
        /// That revision.
        revision: Revision,
    },
    /// The term is over: the leader lease ended, a later epoch was seen, this controller steps down, or its grace period
    /// without the store is over.
    TermEnded,
}

/// A linearizable read whose revision the replica has yet to reach.
#[derive(Debug, Clone, Copy)]
struct PendingRead {
    requested_at: Timestamp,
    revision: Revision,
}

/// The state machine of this controller's leadership.
pub struct Leadership {
    role: Role,
    /// How long a renewal or a read gives the authority to start tasks.
    full_authority: Duration,
    /// How much longer worker leases may be renewed.
    grace_period: Duration,
    /// When the newest successful renewal of the leader lease was sent.
    lease_renewed_at: Timestamp,
    /// When the newest read was sent whose revision the replica has reached.
    up_to_date_at: Timestamp,
    replica_revision: Revision,
    pending_reads: Vec<PendingRead>,
}

impl Leadership {
    /// A follower. Its leader leases will have the given time to live; without renewals it may go on renewing worker leases
    /// for the grace period after its authority to start tasks has ended.
    #[must_use]
    pub fn new(lease_ttl: Duration, grace_period: Duration) -> Self {
        Leadership {
            role: Role::Follower,
            full_authority: scaled(lease_ttl, 1.0 - MAX_CLOCK_DRIFT)
                .saturating_sub(AUTHORITY_MARGIN),
            grace_period,
            lease_renewed_at: Timestamp::ZERO,
            up_to_date_at: Timestamp::ZERO,
            replica_revision: Revision::ZERO,
            pending_reads: Vec::new(),
        }
    }

    /// The role.
    #[must_use]
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// The term, while this controller leads.
    #[must_use]
    pub fn term(&self) -> Option<Term> {
        match self.role {
            Role::Leading(term) => Some(term),
            Role::Follower | Role::Campaigning => None,
        }
    }

    /// Applies an event and returns whether the role changed. The role changes nowhere else.
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
                self.settle_pending_reads();
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
        if self.pending_reads.len() > PENDING_READS_LIMIT {
            self.pending_reads.remove(0);
        }
        self.settle_pending_reads();
    }

    /// Removes the reads whose revision the replica has reached; the replica is up to date as of their sending.
    fn settle_pending_reads(&mut self) {
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

    /// When the authority to start tasks ends, if this controller leads.
    fn full_authority_ends(&self) -> Timestamp {
        self.lease_renewed_at.min(self.up_to_date_at) + self.full_authority
    }

    /// What this controller may do now.
    ///
    /// A renewal of the leader lease alone must not restore the full authority. After a refusal or an outage of the store, open
    /// watches may stay silent and leader leases have their full time again. When a renewal was enough, a leader in that state
    /// started tasks of jobs that other controllers had confirmed as cancelled meanwhile, and short refusals in a row prolonged
    /// the time for which such tasks were kept alive.
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

    /// When the present authority ends, unless a renewal or a read that is under way extends it; `now` if there is none.
    #[must_use]
    pub fn authority_ends(&self, now: Timestamp) -> Timestamp {
        let full_until = self.full_authority_ends();
        match self.authority(now) {
            Authority::None => now,
            Authority::Full => full_until,
            Authority::Renew => full_until + self.grace_period,
        }
    }

    /// Whether the replica has yet to reach the revision of a read that was sent before a moment. If so for long, its watch may
    /// have stalled.
    #[must_use]
    pub fn lags_behind_read_sent_before(&self, moment: Timestamp) -> bool {
        self.pending_reads
            .iter()
            .any(|read| read.requested_at < moment)
    }
}

/// The longest time for which a leader can start tasks of a job after its cancellation became durable, as measured by the
/// clock of another controller.
#[must_use]
pub fn longest_authority(lease_ttl: Duration) -> Duration {
    scaled(lease_ttl, 1.0 + MAX_CLOCK_DRIFT)
}

/// A duration times a factor near one, in whole milliseconds, rounded down.
fn scaled(duration: Duration, factor: f64) -> Duration {
    duration_from_millis(whole_millis(duration) as f64 * factor)
}

fn log_role_change(from: &Role, to: &Role) {
    match (from, to) {
        (_, Role::Campaigning) => tracing::info!("campaign started"),
        (_, Role::Leading(term)) => tracing::info!(epoch = %term.epoch, "leadership acquired"),
        (Role::Leading(term), Role::Follower) => {
            tracing::info!(epoch = %term.epoch, "leadership ended");
        }
        (_, Role::Follower) => tracing::info!("campaign lost"),
    }
}
