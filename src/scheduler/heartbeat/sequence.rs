//! The order of a worker's heartbeats.

/// The place of a heartbeat among those of its machine: ordered by the worker's session, then by number within it. The
/// default comes before all heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(in crate::scheduler) struct HeartbeatSequence {
    /// The worker's session (agent incarnation), greater than those before; 0: none.
    pub(in crate::scheduler) session: u64,
    /// Number of the heartbeat within the session.
    pub(in crate::scheduler) number: u64,
}
