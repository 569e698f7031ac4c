//! The lease under which a machine's worker runs tasks, as the leader tracks it.

use crate::scheduler::heartbeat::HeartbeatSequence;
use crate::time::Timestamp;
use std::time::Duration;

/// Assumed bound on the drift between the clocks of leader and worker during a lease, as a divisor of the lease.
const DRIFT_DIVISOR: u32 = 500;
/// Safety margin added to the clock drift.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// The lease of a machine's worker. Once it has certainly expired, the worker has stopped all of its tasks.
#[derive(Debug)]
pub(in crate::scheduler) struct Lease {
    /// When the reply to a heartbeat last renewed the lease, or until when an earlier leader may have renewed it.
    renewed_at: Timestamp,
    /// Sequence of the newest heartbeat that was sent as a request.
    latest_request: HeartbeatSequence,
    /// When the worker's current session became known here. It may have begun just before that, with a full lease.
    session_seen_at: Timestamp,
}

impl Lease {
    pub(super) fn new(now: Timestamp) -> Self {
        Lease {
            renewed_at: now,
            latest_request: HeartbeatSequence::default(),
            session_seen_at: Timestamp::ZERO,
        }
    }

    /// Returns when the lease was last renewed.
    #[cfg(test)]
    pub(in crate::scheduler) fn renewed_at(&self) -> Timestamp {
        self.renewed_at
    }

    /// Returns the sequence of the newest heartbeat whose reply renewed the lease.
    #[cfg(test)]
    pub(in crate::scheduler) fn latest_request(&self) -> HeartbeatSequence {
        self.latest_request
    }

    /// Renews the lease for a heartbeat request that is about to be answered, if it is the newest request.
    ///
    /// A request that is older than the last one was delayed or duplicated by the network. Its task list is out of date, so
    /// it changes nothing for tasks, and since a worker has one request in flight at a time, it no longer waits for the reply
    /// either. Requests are compared with requests only: one that was overtaken by the response to direct commands counts,
    /// because its worker still waits for the reply.
    pub(in crate::scheduler) fn renew(&mut self, request: HeartbeatSequence, now: Timestamp) {
        if request > self.latest_request {
            self.latest_request = request;
            self.renewed_at = self.renewed_at.max(now);
        }
    }

    /// Records a new session of the worker. Its lease runs from the beginning of the session, even if no heartbeat was
    /// answered in it. Otherwise a machine that reaches no controller, but is given work in its new session by direct
    /// commands, would be judged by the expired lease of its previous session.
    pub(in crate::scheduler) fn begin_session(&mut self, now: Timestamp) {
        self.session_seen_at = now;
    }

    /// Sets the time until which an earlier leader may have renewed the lease.
    pub(in crate::scheduler) fn assume_renewed_until(&mut self, until: Timestamp) {
        self.renewed_at = until;
    }

    /// Reports whether the lease has certainly expired, with allowance for clock drift.
    pub(super) fn has_expired(&self, lease_duration: Duration, now: Timestamp) -> bool {
        let began_at = self.renewed_at.max(self.session_seen_at);
        now > began_at + lease_duration + lease_duration / DRIFT_DIVISOR + LEASE_MARGIN
    }

    /// Reports whether the lease has not been renewed for more than half of its duration. The machine should then get no more
    /// work: if only direct commands reach it, which renew no lease, it is about to lose its tasks.
    pub(in crate::scheduler) fn is_renewal_overdue(
        &self,
        lease_duration: Duration,
        now: Timestamp,
    ) -> bool {
        now > self.renewed_at + lease_duration / 2
    }
}
