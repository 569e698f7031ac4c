//! What the open connections are used for. Only metrics and logs depend on it.

use actix_http::Extensions;
use actix_web::HttpRequest;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A connection without a request for longer than this counts as idle.
const IDLE_AFTER: Duration = Duration::from_secs(10);

/// The kind of client at the other end of a connection, as its latest request shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Client {
    /// No request has arrived yet, or none with a known path.
    Unknown,
    /// A user.
    User,
    /// A worker.
    Worker,
    /// Another controller.
    Peer,
    /// The load balancer's health check, or an operator.
    Monitor,
}

/// Numbers of open connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ActivityCounts {
    /// Connections without a request so far.
    pub(super) unknown: usize,
    /// Connections of users.
    pub(super) users: usize,
    /// Connections of workers.
    pub(super) workers: usize,
    /// Connections of other controllers.
    pub(super) peers: usize,
    /// Connections of health checks and operators.
    pub(super) monitors: usize,
    /// Connections of any kind that are idle.
    pub(super) idle: usize,
}

/// The activity of the open connections. Clones share the table.
#[derive(Clone, Default)]
pub(super) struct ActivityTable {
    connections: Rc<RefCell<HashMap<u64, Activity>>>,
    last_id: Rc<Cell<u64>>,
}

#[derive(Debug, Clone, Copy)]
struct Activity {
    client: Client,
    last_request_at: Instant,
}

/// A connection in the table. It is removed from the table when this value is dropped.
struct TrackedConnection {
    id: u64,
    table: ActivityTable,
}

impl ActivityTable {
    /// Adds a new connection, and attaches it to the extensions that its requests share.
    pub(super) fn track(&self, extensions: &mut Extensions) {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.set(id, Client::Unknown);
        extensions.insert(TrackedConnection {
            id,
            table: self.clone(),
        });
    }

    /// Counts the open connections.
    pub(super) fn counts(&self, now: Instant) -> ActivityCounts {
        let mut counts = ActivityCounts::default();
        for activity in self.connections.borrow().values() {
            let count = match activity.client {
                Client::Unknown => &mut counts.unknown,
                Client::User => &mut counts.users,
                Client::Worker => &mut counts.workers,
                Client::Peer => &mut counts.peers,
                Client::Monitor => &mut counts.monitors,
            };
            *count += 1;
            let idle_for = now.saturating_duration_since(activity.last_request_at);
            counts.idle += usize::from(idle_for > IDLE_AFTER);
        }
        counts
    }

    fn set(&self, id: u64, client: Client) {
        let activity = Activity {
            client,
            last_request_at: Instant::now(),
        };
        self.connections.borrow_mut().insert(id, activity);
    }
}

/// Records a request on its connection.
pub(super) fn record_request(request: &HttpRequest, client: Client) {
    if let Some(connection) = request.conn_data::<TrackedConnection>() {
        connection.table.set(connection.id, client);
    }
}

impl Drop for TrackedConnection {
    fn drop(&mut self) {
        self.table.connections.borrow_mut().remove(&self.id);
    }
}
