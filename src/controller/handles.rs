//! What the loops of a controller share.

use super::state::ControllerState;
use crate::clients::cloud::CloudClient;
use crate::store::{Revision, StoreClient};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};

/// Handles that all loops of a controller share.
#[derive(Clone)]
pub(super) struct Handles {
    pub(super) state: Rc<RefCell<ControllerState>>,
    pub(super) store: StoreClient,
    pub(super) cloud: CloudClient,
    pub(super) http: awc::Client,
    /// Revision that the replica of the store has reached.
    pub(super) replica_revision: Rc<watch::Sender<Revision>>,
    /// Leadership may be vacant.
    pub(super) campaign_requested: Rc<Notify>,
    /// A linearizable read is waiting.
    pub(super) read_requested: Rc<Notify>,
    /// The peers have to be told of a cancellation.
    pub(super) cancellation_recorded: Rc<Notify>,
    /// Something may have to be placed or sent at once.
    pub(super) round_requested: Rc<Notify>,
    /// Assignments may wait to be written to the start log.
    pub(super) start_log_requested: Rc<Notify>,
    /// This node has become the leader.
    pub(super) leadership_acquired: Rc<Notify>,
}

/// Sleeps for a number of milliseconds.
pub(super) fn pause(ms: u64) -> tokio::time::Sleep {
    tokio::time::sleep(Duration::from_millis(ms))
}

impl Handles {
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

    /// Waits until this node leads. The leader's loops do not run on followers, where their timers were most of the wake-ups.
    pub(super) async fn wait_until_leading(&self) {
        while !self.read_state(ControllerState::is_scheduling) {
            self.leadership_acquired.notified().await;
        }
    }
}
