//! How many changes users may cause in the state service, which refuses what is too much for all nodes together.
//!
//! The pace adjusts itself: it grows while changes are taken and shrinks when one is refused. What goes beyond it is told
//! when to come back, in turn, so that a crowd does not come back all at once. Without this, the retries of a crowd used
//! up the service's requests, and a leader could not renew its leader lease.

#[cfg(test)]
mod tests;

/// Share of the state service's changes that users have in any case.
const USERS_GUARANTEED_SHARE: f64 = 2.0 / 3.0;
/// Most that users and the leader take together; the rest is for what is not measured yet.
const PLANNED_SHARE: f64 = 0.95;
/// Room for the leader's changes above what they were of late.
const LEADER_HEADROOM: f64 = 1.25;

/// How many changes a second the users of one node may cause where `nodes` share `write_rps`: two thirds of them, and what the
/// leader leaves of the rest. In the first seconds of a deployment, with everything to be accepted and nothing to be started,
/// the leader needs next to none.
#[must_use]
pub fn users_share(write_rps: f64, nodes: usize, leader_changes_per_s: Option<f64>) -> f64 {
    let least = write_rps * USERS_GUARANTEED_SHARE;
    let left = leader_changes_per_s.map_or(0.0, |leader| {
        write_rps * PLANNED_SHARE - leader.max(0.0) * LEADER_HEADROOM
    });
    least.max(left) / nodes.max(1) as f64
}

/// The pacer; all times in milliseconds.
pub struct Pacer {
    per_s: f64,
    most: f64,
    tokens: f64,
    at: u64,
    /// Until when those that were told to come back will use up the pace.
    promised: f64,
}

impl Pacer {
    /// One that may reach `most` changes a second.
    #[must_use]
    pub fn new(most: f64) -> Pacer {
        Pacer {
            per_s: most / 2.0,
            most,
            tokens: most / 2.0,
            at: 0,
            promised: 0.0,
        }
    }

    /// Changes the pace that may be reached.
    pub fn set_most(&mut self, most: f64) {
        self.most = most;
        self.per_s = self.per_s.min(most);
    }

    /// Whether a number of changes may be made now; otherwise in how many seconds to come back.
    pub fn take(&mut self, changes: u32, now: u64) -> Result<(), u32> {
        // A burst worth a second, as the service itself allows.
        self.tokens = (self.tokens + now.saturating_sub(self.at) as f64 * self.per_s / 1000.0)
            .min(self.per_s.max(1.0));
        self.at = self.at.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= f64::from(changes);
            return Ok(());
        }
        self.promised = self.promised.max(now as f64) + f64::from(changes) * 1000.0 / self.per_s;
        Err(((self.promised - now as f64) / 1000.0)
            .ceil()
            .clamp(1.0, 30.0) as u32)
    }

    /// A change was taken.
    pub fn taken(&mut self) {
        self.per_s = (self.per_s + 0.02 * self.most).min(self.most);
    }

    /// A change was refused as too much.
    pub fn refused(&mut self) {
        self.per_s = (self.per_s * 0.8).max(0.05 * self.most);
        self.tokens = self.tokens.min(0.0);
    }
}
