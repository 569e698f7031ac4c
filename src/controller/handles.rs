//! What the loops of a controller share.

use super::clock::Clock;
use super::state::ControllerState;
use crate::clients::cloud::CloudClient;
use crate::clients::http::http_client;
use crate::config::Settings;
use crate::store::{Revision, StoreClient};
use rand::Rng;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::{watch, Notify};

/// Handles that all loops of a controller share.
#[derive(Clone)]
pub(super) struct Handles {
    /// Borrowed by [`Handles::read_state`] and [`Handles::with_state`] only.
    state: Rc<RefCell<ControllerState>>,
    pub(super) store: StoreClient,
    pub(super) cloud: CloudClient,
    pub(super) http: awc::Client,
    /// Revision that the replica of the store has reached.
    pub(super) replica_revision: Rc<watch::Sender<Revision>>,
    /// Leadership may be vacant.
    pub(super) campaign_requested: Rc<Notify>,
    /// A linearizable read is waiting.
    pub(super) read_requested: Rc<Notify>,
    /// The peers have to be notified of a cancellation.
    pub(super) cancellation_recorded: Rc<Notify>,
    /// Something may have to be placed or sent at once.
    pub(super) round_requested: Rc<Notify>,
    /// Assignments may wait to be written to the start log.
    pub(super) start_log_requested: Rc<Notify>,
    /// This node has become the leader.
    pub(super) leadership_acquired: Rc<Notify>,
}

/// Bounds of the number of connections of the HTTP client, which otherwise may use an eighth of all connections.
const MIN_HTTP_CONNECTIONS: usize = 8;
const MAX_HTTP_CONNECTIONS: usize = 100;

impl Handles {
    /// The handles of a controller that has yet to read the store, as a new incarnation of its node.
    pub(super) fn new(settings: Settings) -> Handles {
        let max_connections = settings.platform.deployment.machine_limits.max_connections;
        let connections = (max_connections / 8).clamp(MIN_HTTP_CONNECTIONS, MAX_HTTP_CONNECTIONS);
        let http = http_client(connections);
        let incarnation = rand::thread_rng().gen::<u64>() >> 1;
        let external = settings.platform.external.clone();
        let state = ControllerState::new(settings, incarnation, Clock::start());
        Handles {
            state: Rc::new(RefCell::new(state)),
            store: StoreClient::new(http.clone(), external.state),
            cloud: CloudClient::new(http.clone(), external.cloud),
            http,
            replica_revision: Rc::new(watch::channel(Revision::ZERO).0),
            campaign_requested: Rc::default(),
            read_requested: Rc::default(),
            cancellation_recorded: Rc::default(),
            round_requested: Rc::default(),
            start_log_requested: Rc::default(),
            leadership_acquired: Rc::default(),
        }
    }

    /// Reads the controller's state.
    ///
    /// The state is borrowed for the call of a closure that cannot wait, so that no borrow is held across an `await`.
    pub(super) fn read_state<R>(&self, read: impl FnOnce(&ControllerState) -> R) -> R {
        read(&self.state.borrow())
    }

    /// Changes the controller's state. The same holds as for [`Handles::read_state`].
    pub(super) fn with_state<R>(&self, change: impl FnOnce(&mut ControllerState) -> R) -> R {
        change(&mut self.state.borrow_mut())
    }

    /// Waits until this controller schedules. The leader's loops do not run on followers: there, their timers once caused most of
    /// the process's wake-ups.
    pub(super) async fn wait_until_leading(&self) {
        while !self.read_state(ControllerState::is_scheduling) {
            self.leadership_acquired.notified().await;
        }
    }
}
