//! The clients, notifications and state that the loops of a controller share.

use super::clock::Clock;
use super::metrics::ControllerMetrics;
use super::state::ControllerState;
use crate::clients::cloud::CloudClient;
use crate::clients::http::http_client;
use crate::config::Settings;
use crate::store::{Revision, StoreClient};
use rand::Rng;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::{watch, Notify};

/// Handles shared by all loops and request handlers of a controller.
#[derive(Clone)]
pub(super) struct Handles {
    /// Borrowed only by [`Handles::read_state`] and [`Handles::update_state`].
    state: Rc<RefCell<ControllerState>>,
    pub(super) store: StoreClient,
    pub(super) cloud: CloudClient,
    pub(super) http: awc::Client,
    pub(super) metrics: ControllerMetrics,
    /// Publishes the revision that the replica of the store has reached.
    pub(super) replica_revision: Rc<watch::Sender<Revision>>,
    /// Wakes the election loop: leadership may be vacant.
    pub(super) campaign_requested: Rc<Notify>,
    /// Wakes the read-barrier loop: a linearizable read is waiting, or a leader lease is being renewed.
    pub(super) read_requested: Rc<Notify>,
    /// Wakes the cancellation-broadcast loop: the peers have to be notified of a cancellation.
    pub(super) cancellation_recorded: Rc<Notify>,
    /// Wakes the scheduling loop: there may be tasks to place or commands to send.
    pub(super) round_requested: Rc<Notify>,
    /// Wakes the start-log loop: there may be assignments to append to the start log.
    pub(super) start_log_requested: Rc<Notify>,
    /// Wakes the loops that run only on the leader: this controller has started to schedule.
    pub(super) leadership_acquired: Rc<Notify>,
}

/// Bounds on the number of connections of the HTTP client, which otherwise is an eighth of the machine's connection limit.
const MIN_HTTP_CONNECTIONS: usize = 8;
const MAX_HTTP_CONNECTIONS: usize = 100;

impl Handles {
    /// Creates the handles of a controller that has not read the store yet, with a new incarnation.
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
            metrics: ControllerMetrics::default(),
            replica_revision: Rc::new(watch::channel(Revision::ZERO).0),
            campaign_requested: Rc::default(),
            read_requested: Rc::default(),
            cancellation_recorded: Rc::default(),
            round_requested: Rc::default(),
            start_log_requested: Rc::default(),
            leadership_acquired: Rc::default(),
        }
    }

    /// Runs a closure that reads the controller's state.
    ///
    /// The state is borrowed only while the closure runs. The closure is synchronous, so no borrow is held across an `await`.
    pub(super) fn read_state<R>(&self, read: impl FnOnce(&ControllerState) -> R) -> R {
        read(&self.state.borrow())
    }

    /// Runs a closure that may change the controller's state, borrowed in the same way as by [`Handles::read_state`].
    pub(super) fn update_state<R>(&self, change: impl FnOnce(&mut ControllerState) -> R) -> R {
        change(&mut self.state.borrow_mut())
    }

    /// Waits until this controller leads and schedules. The leader's loops wait here instead of polling: on followers, their
    /// timers accounted for most wake-ups of the process.
    pub(super) async fn wait_until_leading(&self) {
        while !self.read_state(ControllerState::is_scheduling) {
            self.leadership_acquired.notified().await;
        }
    }
}
