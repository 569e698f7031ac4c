//! Calls of the state service, with the retries of the leader's transactions.

use super::handles::{pause, Shared};
use crate::protocol::Txn;
use crate::store::{Decided, StoreError};
use rand::Rng;

impl Shared {
    /// Notes whether the state service answers.
    pub(super) fn noted<T>(&self, r: Result<T, StoreError>) -> Result<T, StoreError> {
        if matches!(r, Ok(_) | Err(StoreError::Gone | StoreError::Busy)) {
            let mut controller = self.controller.borrow_mut();
            controller.state_ok_at = controller.now();
        }
        r
    }

    /// Runs a transaction of the leader; over the rate, tries again for a moment.
    pub(super) async fn txn(&self, txn: &Txn) -> Result<Decided, StoreError> {
        let mut tries = 0;
        loop {
            {
                let mut controller = self.controller.borrow_mut();
                let now = controller.now();
                controller.own_changes.record(txn.apply.len(), now);
            }
            let r = self.noted(self.store.txn(txn).await);
            if r != Err(StoreError::Busy) || tries == 6 {
                return r;
            }
            tries += 1;
            pause(rand::thread_rng().gen_range(40..160)).await;
        }
    }
}
