//! Leadership of one epoch: who may start tasks, until when, and who may still renew leases.
//!
//! Authority follows knowledge. A leader lease that was renewed says that nobody else leads; it does not say that this node has heard
//! of the cancellations which the others confirmed. So every authority counts from the *sending* of the older of two requests:
//! the last good renewal of the leader lease, and the last read of the store whose answer this node's mirror has reached.
//!
//! Pure: times come in as milliseconds of the steady clock.

#[cfg(test)]
mod tests;

/// Most by which a steady clock may run wrong, with room to spare (the wire promises 0.05%).
pub const DRIFT: f64 = 0.001;
/// Kept back from every authority that ends at a time.
const MARGIN_MS: u64 = 150;
/// Most reads that wait for the mirror; beyond that the oldest is given up, which only delays an authority.
const PENDING_READS_LIMIT: usize = 64;

/// Where a node stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Another node leads, or none.
    Follower,
    /// Trying to become leader.
    Campaigning,
    /// Leads an epoch under a leader lease.
    Leading(Term),
}

/// The time for which a node leads an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Epoch number.
    pub epoch: u64,
    /// Version of the epoch key, which guards every write.
    pub version: u64,
    /// The leader lease in the state service.
    pub lease: u64,
}

/// What a leader may do at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Authority {
    /// Nothing.
    None,
    /// Renew leases and stop tasks, but start nothing: the leader lease may have ended unseen, or a job may have been cancelled.
    Renew,
    /// Everything.
    Full,
}

/// What happens to a node's leadership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// It begins to campaign.
    Campaign,
    /// The campaign failed.
    Lost,
    /// The campaign succeeded; the leader lease was last confirmed by a request sent at `sent`.
    Won {
        /// The term that begins.
        term: Term,
        /// When the leader lease's request was sent.
        sent: u64,
    },
    /// A renewal sent at this time succeeded.
    Renewed(u64),
    /// A read of the store sent at `sent` was answered: the store was at `revision` by then, or later.
    Read {
        /// When it was sent.
        sent: u64,
        /// The revision it told.
        revision: u64,
    },
    /// The mirror holds every change up to this revision.
    Mirrored(u64),
    /// The leader lease has ended, or another epoch was seen, or the grace period of an outage is over.
    Ended,
}

/// The state machine.
pub struct Leadership {
    role: Role,
    ttl_ms: u64,
    grace_ms: u64,
    renewed: u64,
    /// Sending time of the newest read that the mirror has reached.
    known: u64,
    mirrored: u64,
    /// Reads that the mirror has not reached yet: sending time and revision.
    reads: Vec<(u64, u64)>,
}

impl Leadership {
    /// A follower whose leader leases live `ttl_ms` and who may renew leases `grace_ms` beyond its authority to start.
    #[must_use]
    pub fn new(ttl_ms: u64, grace_ms: u64) -> Self {
        Leadership {
            role: Role::Follower,
            ttl_ms,
            grace_ms,
            renewed: 0,
            known: 0,
            mirrored: 0,
            reads: Vec::new(),
        }
    }

    /// The role.
    #[must_use]
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// The term, while leading.
    #[must_use]
    pub fn term(&self) -> Option<Term> {
        match self.role {
            Role::Leading(term) => Some(term),
            _ => None,
        }
    }

    /// The one place where the role changes. True if it did.
    pub fn apply(&mut self, event: Event) -> bool {
        let next = match (&self.role, event) {
            (_, Event::Read { sent, revision }) => {
                self.reads.push((sent, revision));
                if self.reads.len() > PENDING_READS_LIMIT {
                    self.reads.remove(0);
                }
                self.catch_up();
                return false;
            }
            (_, Event::Mirrored(revision)) => {
                self.mirrored = self.mirrored.max(revision);
                self.catch_up();
                return false;
            }
            (Role::Follower, Event::Campaign) => Role::Campaigning,
            (Role::Campaigning, Event::Lost) => Role::Follower,
            (Role::Campaigning, Event::Won { term, sent }) => {
                self.renewed = sent;
                Role::Leading(term)
            }
            (Role::Leading(_), Event::Renewed(sent)) => {
                self.renewed = self.renewed.max(sent);
                return false;
            }
            (Role::Leading(_), Event::Ended) => Role::Follower,
            _ => return false,
        };
        tracing::info!(from = ?self.role, to = ?next, "role");
        self.role = next;
        true
    }

    /// Reads that the mirror has reached become knowledge.
    fn catch_up(&mut self) {
        let (mirrored, known) = (self.mirrored, &mut self.known);
        self.reads.retain(|(sent, revision)| {
            if *revision <= mirrored {
                *known = (*known).max(*sent);
            }
            *revision > mirrored
        });
    }

    /// When the full authority ends.
    fn full_until(&self) -> u64 {
        let full = (self.ttl_ms as f64 * (1.0 - DRIFT)) as u64;
        self.renewed.min(self.known) + full.saturating_sub(MARGIN_MS)
    }

    /// What may be done now.
    ///
    /// A renewal alone once gave the full authority back: after a refusal or an outage, in which open watches wait silently and
    /// leader leases have their full time again, a leader started tasks of jobs that others had confirmed as cancelled meanwhile,
    /// and short refusals in a row stretched the time for which such tasks were kept alive.
    #[must_use]
    pub fn authority(&self, now: u64) -> Authority {
        if !matches!(self.role, Role::Leading(_)) {
            return Authority::None;
        }
        let until = self.full_until();
        if now < until {
            Authority::Full
        } else if now < until + self.grace_ms {
            Authority::Renew
        } else {
            Authority::None
        }
    }

    /// When the present authority ends, unless a renewal or a read that is under way extends it.
    #[must_use]
    pub fn authority_ends(&self, now: u64) -> u64 {
        let until = self.full_until();
        match self.authority(now) {
            Authority::None => now,
            Authority::Full => until,
            Authority::Renew => until + self.grace_ms,
        }
    }

    /// Whether the mirror is behind a read that was sent before `before`: its watch may wait silently.
    #[must_use]
    pub fn behind(&self, before: u64) -> bool {
        self.reads.iter().any(|(sent, _)| *sent < before)
    }
}
