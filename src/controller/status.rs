//! The status of a controller, for metrics and logs.

use super::handles::Handles;
use super::metrics::ReadTotals;
use super::state::ControllerState;
use crate::coordination::leadership::{Authority, Role};
use crate::store::{Epoch, Revision, StoreRequestTotals};
use actix::Message;
use std::time::Duration;

/// A request for the status of the controller.
#[derive(Message)]
#[rtype(result = "ControllerStatus")]
pub struct GetStatus;

/// What a controller knows and may do at a moment.
#[derive(Debug, Clone)]
pub struct ControllerStatus {
    /// Whether this controller follows, campaigns or leads.
    pub role: Role,
    /// Its authority as the leader.
    pub authority: Authority,
    /// Newest epoch that it has observed.
    pub epoch: Epoch,
    /// Revision that its replica has reached.
    pub revision: Revision,
    /// Time since the oldest read of the store that the replica has not caught up with was sent; zero if there is none.
    pub replica_lag: Duration,
    /// Whether the load balancer is told to send users to this controller.
    pub is_healthy: bool,
    /// Whether the store has responded recently.
    pub is_store_reachable: bool,
    /// Number of unfinished jobs in the replica.
    pub unfinished_jobs: usize,
    /// Number of machines that the scheduler knows; 0 on a follower.
    pub machines: usize,
    /// Maximum size of a value that this controller writes to the store, in bytes.
    pub store_value_bytes: usize,
    /// Maximum number of changes in a transaction of this controller.
    pub store_txn_changes: usize,
    /// Requests to the store.
    pub store_requests: StoreRequestTotals,
    /// Reads on behalf of users.
    pub reads: ReadTotals,
    /// How often direct commands were not sent because the authority to send them had ended.
    pub withheld_commands: u64,
    /// Longest delay of a timer since the last status.
    pub longest_timer_delay: Duration,
}

impl Handles {
    /// Returns the status of this controller.
    pub(super) fn status(&self) -> ControllerStatus {
        ControllerStatus {
            store_requests: self.store.metrics().totals(),
            reads: self.metrics.read_totals(),
            withheld_commands: self.metrics.withheld_commands(),
            longest_timer_delay: self.metrics.take_longest_timer_delay(),
            ..self.read_state(ControllerState::status)
        }
    }
}

impl ControllerState {
    fn status(&self) -> ControllerStatus {
        let scheduler = self.scheduler();
        ControllerStatus {
            role: self.leadership().role().clone(),
            authority: self.authority(),
            epoch: self.newest_epoch(),
            revision: self.replica().revision,
            replica_lag: self.replica_lag(),
            is_healthy: self.is_healthy(),
            is_store_reachable: self.is_store_reachable(),
            unfinished_jobs: self.replica().live.len(),
            machines: scheduler.map_or(0, |scheduler| scheduler.machines().count()),
            store_value_bytes: self.write_limits().value_bytes(),
            store_txn_changes: self.write_limits().changes(),
            store_requests: StoreRequestTotals::default(),
            reads: ReadTotals::default(),
            withheld_commands: 0,
            longest_timer_delay: Duration::ZERO,
        }
    }
}
