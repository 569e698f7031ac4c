//! The number of open connections, and its limit.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Counts open connections. Clones share the count.
#[derive(Clone)]
pub(super) struct Connections {
    open: Rc<Cell<usize>>,
    limit: usize,
    closed: Rc<Notify>,
}

/// An open connection, counted until it is dropped.
pub(super) struct Connection(Connections);

impl Connections {
    /// No open connections yet, and at most `limit` at a time.
    pub(super) fn new(limit: usize) -> Self {
        Connections {
            open: Rc::default(),
            limit,
            closed: Rc::default(),
        }
    }

    /// Counts a connection.
    #[must_use]
    pub(super) fn open(&self) -> Connection {
        self.open.set(self.open.get() + 1);
        Connection(self.clone())
    }

    /// Whether the connection of a worker may be kept open between its heartbeats: only while at most three quarters of the
    /// connections are open. Where there are more workers than sockets, those kept open would leave none for other workers,
    /// users, health checks and peers.
    pub(super) fn may_keep_alive(&self) -> bool {
        self.open.get() * 4 <= self.limit * 3
    }

    /// Waits until another connection may be accepted.
    pub(super) async fn wait_for_capacity(&self) {
        while self.open.get() >= self.limit {
            self.closed.notified().await;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.closed.notify_one();
    }
}
