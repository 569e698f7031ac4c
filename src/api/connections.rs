//! Limit on the number of open connections.

#[cfg(test)]
mod tests;

use super::connection_activity::ActivityTable;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Counts the open connections of all servers, up to a limit. Clones share the count.
#[derive(Clone)]
pub(super) struct Connections {
    open_count: Rc<Cell<usize>>,
    limit: usize,
    activity: ActivityTable,
    /// Longest time that a server waited for capacity since [`Connections::take_longest_wait`].
    longest_wait: Rc<Cell<Duration>>,
    /// Wakes a server that waits for capacity.
    connection_closed: Rc<Notify>,
}

/// Counts one connection as open until it is dropped.
pub(super) struct ConnectionGuard(Connections);

impl Connections {
    /// Creates a counter without open connections and with a limit of `limit`.
    pub(super) fn new(limit: usize) -> Self {
        Connections {
            open_count: Rc::default(),
            limit,
            activity: ActivityTable::default(),
            longest_wait: Rc::default(),
            connection_closed: Rc::default(),
        }
    }

    /// Counts a newly opened connection until the guard is dropped.
    #[must_use]
    pub(super) fn track(&self) -> ConnectionGuard {
        self.open_count.set(self.open_count.get() + 1);
        ConnectionGuard(self.clone())
    }

    /// Reports whether the connection of a worker may be kept open between its heartbeats. This is the case while at most three
    /// quarters of the limit are in use: with more workers than sockets, idle connections of workers would leave none for other
    /// workers, users, health checks and peers.
    pub(super) fn may_keep_alive(&self) -> bool {
        self.open_count.get() * 4 <= self.limit * 3
    }

    /// Waits until the number of open connections is below the limit.
    pub(super) async fn wait_for_capacity(&self) {
        let waiting_since = Instant::now();
        while self.open_count.get() >= self.limit {
            self.connection_closed.notified().await;
            let longest = self.longest_wait.get().max(waiting_since.elapsed());
            self.longest_wait.set(longest);
        }
    }

    /// Returns the limit on open connections.
    pub(super) fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of open connections.
    pub(super) fn open_count(&self) -> usize {
        self.open_count.get()
    }

    /// Returns the longest time that a server waited for capacity since the last call. A wait counts once it has ended.
    pub(super) fn take_longest_wait(&self) -> Duration {
        self.longest_wait.take()
    }

    /// Returns what the connections are used for.
    pub(super) fn activity(&self) -> &ActivityTable {
        &self.activity
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_count.set(self.0.open_count.get() - 1);
        self.0.connection_closed.notify_one();
    }
}
