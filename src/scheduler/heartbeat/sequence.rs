//! The order of a worker's heartbeats.

/// Position of a heartbeat in the order of its machine's heartbeats: by session of the worker, then by number within the
/// session. The default precedes all heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(in crate::scheduler) struct HeartbeatSequence {
    /// Session of the worker, increasing from 1; 0 before the first heartbeat.
    pub(in crate::scheduler) session: u64,
    /// Number of the heartbeat within the session.
    pub(in crate::scheduler) number: u64,
}
