//! The lease under which a machine's worker runs tasks, as its leader counts it.

use crate::scheduler::heartbeat::HeartbeatSequence;
use crate::time::Timestamp;
use std::time::Duration;

/// Share of a lease by which clocks may drift apart, as a divisor.
const DRIFT_DIVISOR: u32 = 500;
/// A margin beside the drift of clocks.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// The lease of a machine. Once it has surely expired, its worker has stopped every task.
#[derive(Debug)]
pub(in crate::scheduler) struct Lease {
    /// When a heartbeat of the machine was last answered, or until when an earlier leader may have answered one.
    answered_at: Timestamp,
    /// The newest heartbeat that awaited an answer.
    latest_request: HeartbeatSequence,
    /// When its present session became known here: it may have begun only just before, with its full lease.
    session_seen_at: Timestamp,
}

impl Lease {
    pub(super) fn new(now: Timestamp) -> Self {
        Lease {
            answered_at: now,
            latest_request: HeartbeatSequence::default(),
            session_seen_at: Timestamp::ZERO,
        }
    }

    /// When the lease was last renewed by an answer.
    #[cfg(test)]
    pub(in crate::scheduler) fn answered_at(&self) -> Timestamp {
        self.answered_at
    }

    /// The newest heartbeat whose answer renewed the lease.
    #[cfg(test)]
    pub(in crate::scheduler) fn latest_request(&self) -> HeartbeatSequence {
        self.latest_request
    }

    /// A heartbeat is about to be answered, which renews the lease.
    ///
    /// Held back by the network or a late copy, an old heartbeat is as old as its task list: nothing follows from it for
    /// its tasks. A worker has one request in flight, so that of one older than the last it awaits no answer either. One
    /// that was overtaken by the response to direct commands counts, since its worker still waits for the answer.
    pub(in crate::scheduler) fn renew(&mut self, request: HeartbeatSequence, now: Timestamp) {
        if request > self.latest_request {
            self.latest_request = request;
            self.answered_at = self.answered_at.max(now);
        }
    }

    /// The worker is in a new session. Its lease runs from its beginning, answered or not: a machine that reached no
    /// controller once got work in its next session by direct commands, and was taken to be past the lease of the session
    /// before.
    pub(in crate::scheduler) fn begin_session(&mut self, now: Timestamp) {
        self.session_seen_at = now;
    }

    /// An earlier leader may have renewed the lease until then.
    pub(in crate::scheduler) fn assume_renewed_until(&mut self, until: Timestamp) {
        self.answered_at = until;
    }

    /// Whether the lease has surely expired, whatever the drift of clocks.
    pub(super) fn has_expired(&self, lease: Duration, now: Timestamp) -> bool {
        let began_at = self.answered_at.max(self.session_seen_at);
        now > began_at + lease + lease / DRIFT_DIVISOR + LEASE_MARGIN
    }

    /// Whether so much of the lease is over that the machine should get no more work: one that only direct commands reach
    /// is about to lose what it has.
    pub(in crate::scheduler) fn is_half_over(&self, lease: Duration, now: Timestamp) -> bool {
        now > self.answered_at + lease / 2
    }
}
