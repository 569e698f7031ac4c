//! Limits of this controller's requests to the store and the cloud, whose rate limits all controllers share.

use super::ControllerState;
use crate::admission::rate::{RateMeter, TokenBucket};
use crate::admission::write_admission::{max_user_change_rate, WriteAdmission};
use crate::config::Settings;
use crate::store::{StoreError, TxnOutcome, WriteLimits};
use crate::time::Timestamp;
use std::time::Duration;

/// Share of the store's request rate that reads on behalf of users may take on all controllers together. The remainder is for
/// leader leases, watches, read barriers, users' changes, and the leader's writes.
const USER_READ_SHARE: f64 = 0.25;
/// Share of the cloud's request rate that a leader uses. The remainder is for a controller that has yet to read the machine
/// types, and for the previous leader, whose calls may still be in flight.
pub(super) const CLOUD_REQUEST_SHARE: f64 = 0.9;
/// Window over which the rate of this controller's own changes, made as the leader, is measured.
const OWN_CHANGES_WINDOW: Duration = Duration::from_secs(2);

/// The request limits of one controller, and the rate of the changes that it makes as the leader.
pub(super) struct RequestLimits {
    /// Changes to the store by users.
    user_changes: WriteAdmission,
    /// Reads of the store on behalf of users: polls of jobs that the replica knows neither as unfinished nor as final or absent.
    user_reads: TokenBucket,
    /// Calls to the cloud.
    cloud_calls: TokenBucket,
    /// Changes to the store that this controller makes as the leader.
    own_changes: RateMeter,
}

impl RequestLimits {
    /// Creates the limits of one controller from the rates of the services.
    pub(super) fn new(settings: &Settings, write_limits: &WriteLimits) -> RequestLimits {
        let deployment = &settings.platform.deployment;
        let controllers = settings.platform.peers.len() + 1;
        let user_changes = max_user_change_rate(write_limits.changes_per_s(), controllers, None);
        let user_reads = write_limits.requests_per_s() * USER_READ_SHARE / controllers as f64;
        let cloud_calls = deployment.cloud.rps * CLOUD_REQUEST_SHARE;
        RequestLimits {
            user_changes: WriteAdmission::new(user_changes),
            user_reads: TokenBucket::new(user_reads, user_reads),
            cloud_calls: TokenBucket::new(cloud_calls, cloud_calls),
            own_changes: RateMeter::new(OWN_CHANGES_WINDOW),
        }
    }

    /// Admits a read on behalf of a user, or returns the time until one will be admitted.
    pub(super) fn take_user_read(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.user_reads.try_take(now)
    }

    /// Admits a call to the cloud, or returns the time until one will be admitted.
    pub(super) fn take_cloud_call(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.cloud_calls.try_take(now)
    }

    /// Admits changes by a user, or returns the time after which to repeat the request. `limit` is the rate that the leader
    /// leaves to users.
    pub(super) fn take_user_changes(
        &mut self,
        changes: u32,
        limit: f64,
        now: Timestamp,
    ) -> Result<(), Duration> {
        self.user_changes.set_max_rate(limit);
        self.user_changes.try_admit(changes, now)
    }

    /// Records that the store has accepted a transaction of a user, whether or not its guards held.
    pub(super) fn record_user_changes_accepted(&mut self) {
        self.user_changes.record_accepted();
    }

    /// Records that the store has throttled a transaction of a user.
    pub(super) fn record_user_changes_throttled(&mut self) {
        self.user_changes.record_throttled();
    }

    /// Records changes that this controller makes as the leader.
    pub(super) fn record_own_changes(&mut self, changes: usize, now: Timestamp) {
        self.own_changes.record(changes, now);
    }

    /// Returns the rate, per second, of the changes that this controller makes as the leader.
    pub(super) fn own_change_rate(&self, now: Timestamp) -> f64 {
        self.own_changes.events_per_s(now)
    }
}

impl ControllerState {
    /// Records changes to the store that this controller makes as the leader.
    pub(in crate::controller) fn record_own_changes(&mut self, changes: usize) {
        self.request_limits
            .record_own_changes(changes, self.clock.now());
    }

    /// Admits a call to the cloud, or returns the time until one will be admitted.
    pub(in crate::controller) fn take_cloud_call(&mut self) -> Result<(), Duration> {
        self.request_limits.take_cloud_call(self.clock.now())
    }

    /// Admits a read of the store on behalf of a user, or returns the time until one will be admitted.
    pub(in crate::controller) fn take_user_read(&mut self) -> Result<(), Duration> {
        self.request_limits.take_user_read(self.clock.now())
    }

    /// Admits changes to the store by a user, or returns the time after which to repeat the request.
    pub(in crate::controller) fn take_user_changes(
        &mut self,
        changes: u32,
    ) -> Result<(), Duration> {
        let limit = self.user_change_limit();
        self.request_limits
            .take_user_changes(changes, limit, self.clock.now())
    }

    /// Adapts the rate of users' changes to the outcome of one of their transactions.
    pub(in crate::controller) fn record_user_transaction(
        &mut self,
        outcome: &Result<TxnOutcome, StoreError>,
    ) {
        match outcome {
            Err(StoreError::RateLimited) => self.request_limits.record_user_changes_throttled(),
            Ok(_) => self.request_limits.record_user_changes_accepted(),
            Err(StoreError::TransactionRefused(size)) => self.record_refused_transaction(size),
            // Other failures do not depend on the rate.
            Err(_) => {}
        }
    }
}
