//! What the loops of a controller share.

use super::state::ControllerState;
use crate::clients::cloud::CloudClient;
use crate::store::StoreClient;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};

/// The handles that the loops share.
#[derive(Clone)]
pub(super) struct Shared {
    pub(super) controller: Rc<RefCell<ControllerState>>,
    pub(super) store: StoreClient,
    pub(super) cloud: CloudClient,
    pub(super) http: awc::Client,
    pub(super) revision: Rc<watch::Sender<u64>>,
    pub(super) campaign: Rc<Notify>,
    pub(super) reading: Rc<Notify>,
    /// `PeerHealth` have to be told of a cancellation.
    pub(super) cancelled: Rc<Notify>,
    /// Something may have to be placed or sent at once.
    pub(super) urgent: Rc<Notify>,
    /// Starts may wait for their lines in the log.
    pub(super) logging: Rc<Notify>,
    /// This node has begun to lead.
    pub(super) elected: Rc<Notify>,
}

pub(super) fn pause(ms: u64) -> tokio::time::Sleep {
    tokio::time::sleep(Duration::from_millis(ms))
}

impl Shared {
    /// Waits until this node leads. The leader's loops do not run on followers, where their timers were most of the wake-ups.
    pub(super) async fn elected(&self) {
        while self.controller.borrow().scheduler.is_none() {
            self.elected.notified().await;
        }
    }
}
