//! Leadership of one epoch: who may start tasks, until when, and who may still renew leases.
//!
//! Pure: times come in as milliseconds of the steady clock.

/// Most by which a steady clock may run wrong, with room to spare (the wire promises 0.05%).
pub const DRIFT: f64 = 0.001;
/// Kept back from every right that ends at a time.
const MARGIN_MS: u64 = 150;

/// Where a node stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Another node leads, or none.
    Follower,
    /// Trying to become leader.
    Campaigning,
    /// Leads the epoch under a hold.
    Leading {
        /// Epoch number.
        epoch: u64,
        /// Version of the epoch key, which guards every write.
        version: u64,
        /// The hold.
        hold: u64,
    },
}

/// What a leader may do at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Right {
    /// Nothing.
    None,
    /// Renew leases and stop tasks, but start nothing: the hold may have ended unseen.
    Renew,
    /// Everything.
    Full,
}

/// What happens to a node's leadership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Turn {
    /// It begins to campaign.
    Campaign,
    /// The campaign failed.
    Lost,
    /// The campaign succeeded; the hold was last confirmed by a request sent at `sent`.
    Won {
        /// Epoch number.
        epoch: u64,
        /// Version of the epoch key.
        version: u64,
        /// The hold.
        hold: u64,
        /// When the hold's request was sent.
        sent: u64,
    },
    /// A renewal sent at this time succeeded.
    Renewed(u64),
    /// The hold has ended, or another epoch was seen, or the time to ride an outage is over.
    Ended,
}

/// The state machine.
pub struct Leadership {
    role: Role,
    ttl_ms: u64,
    ride_ms: u64,
    confirmed: u64,
}

impl Leadership {
    /// A follower whose holds live `ttl_ms` and who may renew leases `ride_ms` beyond its right to start.
    pub fn new(ttl_ms: u64, ride_ms: u64) -> Self {
        Leadership { role: Role::Follower, ttl_ms, ride_ms, confirmed: 0 }
    }

    /// The role.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// The one place where the role changes. True if it did.
    pub fn turn(&mut self, turn: Turn) -> bool {
        let next = match (&self.role, turn) {
            (Role::Follower, Turn::Campaign) => Role::Campaigning,
            (Role::Campaigning, Turn::Lost) => Role::Follower,
            (Role::Campaigning, Turn::Won { epoch, version, hold, sent }) => {
                self.confirmed = sent;
                Role::Leading { epoch, version, hold }
            }
            (Role::Leading { .. }, Turn::Renewed(sent)) => {
                self.confirmed = self.confirmed.max(sent);
                return false;
            }
            (Role::Leading { .. }, Turn::Ended) => Role::Follower,
            _ => return false,
        };
        tracing::info!(from = ?self.role, to = ?next, "role");
        self.role = next;
        true
    }

    /// What may be done now. The hold counts from the *sending* of its last good renewal.
    pub fn right(&self, now: u64) -> Right {
        if !matches!(self.role, Role::Leading { .. }) {
            return Right::None;
        }
        let full = (self.ttl_ms as f64 * (1.0 - DRIFT)) as u64;
        let until = self.confirmed + full.saturating_sub(MARGIN_MS);
        if now < until {
            Right::Full
        } else if now < until + self.ride_ms {
            Right::Renew
        } else {
            Right::None
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn leading() -> Leadership {
        let mut l = Leadership::new(2000, 10_000);
        assert!(l.turn(Turn::Campaign));
        assert!(l.turn(Turn::Won { epoch: 3, version: 9, hold: 1, sent: 1000 }));
        l
    }

    #[test]
    fn the_right_to_start_counts_from_sending_the_renewal() {
        let mut l = leading();
        assert_eq!(l.right(2800), Right::Full);
        assert_eq!(l.right(2900), Right::Renew);
        l.turn(Turn::Renewed(2500));
        assert_eq!(l.right(4300), Right::Full);
        // An answer to an older renewal must not shorten or lengthen anything.
        l.turn(Turn::Renewed(1500));
        assert_eq!(l.right(4300), Right::Full);
    }

    #[test]
    fn riding_an_outage_ends() {
        let mut l = leading();
        assert_eq!(l.right(12_000), Right::Renew);
        assert_eq!(l.right(12_900), Right::None);
        assert!(l.turn(Turn::Ended));
        assert_eq!(l.right(1100), Right::None);
        assert!(!l.turn(Turn::Renewed(5000)));
    }

    #[test]
    fn a_follower_cannot_win_without_campaigning() {
        let mut l = Leadership::new(2000, 0);
        assert!(!l.turn(Turn::Won { epoch: 1, version: 1, hold: 1, sent: 1 }));
        assert_eq!(*l.role(), Role::Follower);
    }
}
