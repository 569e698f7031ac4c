//! The consensus-backed key-value store: compare-and-swap transactions, a log of changes for watches, and leader leases.
//!
//! The store is a single map, which makes every transaction linearizable. It can be down for all controllers or refuse
//! individual ones, and [`Simulation::transact`] picks at random the transactions that are not answered and committed late.

use super::network::Message;
use super::Simulation;
use crate::protocol::{Change, Event, Guard, Txn};
use crate::store::{
    self, Epoch, EpochRecord, Replica, Revision, StoreError, TxnOutcome, TxnSize, UnknownOutcome,
    Versioned,
};
use crate::time::Timestamp;
use ciborium::Value;
use rand::Rng;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Range of the delay after which an unanswered transaction is committed, in milliseconds.
const LATE_WRITE_DELAY_MS: std::ops::Range<u64> = 2000..12_000;

/// The value of a key, with the revision of its last change.
struct StoredValue {
    value: Value,
    version: Revision,
    /// Lease at whose end the key is deleted, if any.
    lease: Option<u64>,
}

/// A lease of the store.
struct StoreLease {
    expires_at: Timestamp,
    ttl: Duration,
}

/// Number of guards that a transaction may have for each change that it may have.
const GUARDS_PER_CHANGE: usize = 4;

/// Maximum size of a transaction in the form of JSON, in bytes.
const MAX_TRANSACTION_BYTES: usize = 64 << 10;

/// Limits on the size of transactions.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SizeLimits {
    /// Maximum size of a value in the form of JSON, in bytes.
    pub value_bytes: usize,
    /// Maximum number of changes in a transaction.
    pub changes: usize,
}

impl Default for SizeLimits {
    /// Returns the limits in the settings of the simulated controllers.
    fn default() -> SizeLimits {
        SizeLimits {
            value_bytes: 32 << 10,
            changes: 16,
        }
    }
}

impl SizeLimits {
    /// Reports whether a transaction of a size is accepted.
    pub(super) fn accept(&self, size: &TxnSize) -> bool {
        size.changes <= self.changes
            && size.guards <= GUARDS_PER_CHANGE * self.changes
            && size.largest_value <= self.value_bytes
            && size.total <= MAX_TRANSACTION_BYTES
    }
}

/// The simulated store.
#[derive(Default)]
pub(crate) struct SimulatedStore {
    /// Limits on the size of transactions, which may change at any time.
    pub limits: SizeLimits,
    /// Number of transactions that were refused for their size.
    pub refused_for_size: usize,
    keys: BTreeMap<String, StoredValue>,
    events: Vec<Event>,
    revision: Revision,
    leases: BTreeMap<u64, StoreLease>,
    last_lease: u64,
    down: bool,
    refused_nodes: BTreeSet<usize>,
}

impl SimulatedStore {
    /// Reports whether the store answers a controller.
    pub(super) fn is_available_to(&self, node: usize) -> bool {
        !self.down && !self.refused_nodes.contains(&node)
    }

    /// Reports whether the store is down for all controllers.
    pub(super) fn is_down(&self) -> bool {
        self.down
    }

    /// Refuses the requests of a controller until [`SimulatedStore::accept`] is called.
    pub(crate) fn refuse(&mut self, node: usize) {
        self.refused_nodes.insert(node);
    }

    /// Accepts the requests of a controller again.
    pub(crate) fn accept(&mut self, node: usize) {
        self.refused_nodes.remove(&node);
    }

    /// Takes the store down for all controllers.
    pub(super) fn begin_outage(&mut self) {
        self.down = true;
    }

    /// Ends an outage, if there is one. Every lease gets its full time to live again.
    pub(super) fn end_outage(&mut self, now: Timestamp) {
        if !self.down {
            return;
        }
        self.down = false;
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.ttl;
        }
    }

    /// Returns the revision of the newest change.
    pub(super) fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the version of a key: the revision of its last change, or 0 if the key does not exist.
    pub(crate) fn version(&self, key: &str) -> Revision {
        self.keys
            .get(key)
            .map_or(Revision::ZERO, |stored| stored.version)
    }

    /// Reports whether a key exists.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.keys.contains_key(key)
    }

    /// Returns a record, if the key exists and its value can be decoded.
    pub(super) fn get<T: DeserializeOwned>(&self, key: &str) -> Option<Versioned<T>> {
        let stored = self.keys.get(key)?;
        Some(Versioned {
            record: stored.value.deserialized().ok()?,
            version: stored.version,
        })
    }

    /// Commits a transaction if all of its guards hold and the leases of its keys exist.
    pub(super) fn commit(&mut self, txn: &Txn) -> TxnOutcome {
        let changed = |guard: &&Guard| self.version(&guard.key) != guard.version;
        let failed: Vec<String> = txn
            .guards
            .iter()
            .filter(changed)
            .map(|guard| guard.key.clone())
            .collect();
        if !failed.is_empty() {
            return TxnOutcome::Failed(failed);
        }
        if txn.apply.iter().any(|change| self.uses_ended_lease(change)) {
            return TxnOutcome::Failed(vec!["hold".into()]);
        }
        if !txn.apply.is_empty() {
            self.revision = self.revision.next();
        }
        for change in &txn.apply {
            self.apply(change);
        }
        TxnOutcome::Applied(self.revision)
    }

    /// Reports whether a change would put a key under a lease that has ended.
    fn uses_ended_lease(&self, change: &Change) -> bool {
        matches!(change, Change::Put { lease: Some(lease), .. } if !self.leases.contains_key(lease))
    }

    fn apply(&mut self, change: &Change) {
        match change {
            Change::Put { put, value, lease } => {
                let stored = StoredValue {
                    value: value.clone(),
                    version: self.revision,
                    lease: *lease,
                };
                self.keys.insert(put.clone(), stored);
                self.events.push(Event::Put {
                    put: put.clone(),
                    value: value.clone(),
                    version: self.revision,
                });
            }
            Change::Delete { key } => self.delete(key),
        }
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.events.push(Event::Delete {
                key: key.to_string(),
                version: self.revision,
            });
        }
    }

    /// Grants a lease and returns its id.
    pub(super) fn grant_lease(&mut self, now: Timestamp, ttl: Duration) -> u64 {
        self.last_lease += 1;
        let lease = StoreLease {
            expires_at: now + ttl,
            ttl,
        };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Renews a lease. Returns false if it has ended.
    pub(super) fn renew_lease(&mut self, lease: u64, now: Timestamp) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else {
            return false;
        };
        lease.expires_at = now + lease.ttl;
        true
    }

    /// Ends a lease and deletes its keys.
    pub(super) fn revoke_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision = self.revision.next();
            self.delete(&key);
        }
    }

    /// Ends the leases that were not renewed in time. No lease expires during an outage.
    pub(super) fn expire_leases(&mut self, now: Timestamp) {
        if self.down {
            return;
        }
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| now > lease.expires_at)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.revoke_lease(lease);
        }
    }

    /// Returns the changes after a revision, as a watch delivers them.
    pub(super) fn events_after(&self, revision: Revision) -> Vec<Event> {
        let newer = |event: &&Event| match event {
            Event::Put { version, .. } | Event::Delete { version, .. } => *version > revision,
        };
        self.events.iter().filter(newer).cloned().collect()
    }

    /// Returns the replica that a controller loads at its start: all records but final states.
    pub(super) fn replica(&self) -> Replica {
        let (mut replica, mut changes) = (Replica::default(), Vec::new());
        let final_states = store::final_key("");
        let is_replicated = |key: &str| !key.starts_with(&final_states);
        for (key, stored) in self.keys.iter().filter(|(key, _)| is_replicated(key)) {
            replica.put(key, &stored.value, stored.version, &mut changes);
        }
        (replica.revision, replica.initialized) = (self.revision, true);
        replica
    }
}

impl Simulation {
    /// Runs a transaction of a controller. With the probability `late_write_probability` it is not answered and committed later.
    pub(super) fn transact(&mut self, node: usize, txn: &Txn) -> Result<TxnOutcome, StoreError> {
        if !self.store.is_available_to(node) {
            return Err(StoreError::Unavailable);
        }
        let size = TxnSize::of(txn);
        if !self.store.limits.accept(&size) {
            self.store.refused_for_size += 1;
            let controller = self.nodes[node].running_controller_mut();
            controller.record_refused_transaction(&size);
            return Err(StoreError::TransactionRefused(size));
        }
        let late_write_probability = self.faults.late_write_probability;
        if late_write_probability > 0.0 && self.rng.gen_bool(late_write_probability) {
            let delay = Duration::from_millis(self.rng.gen_range(LATE_WRITE_DELAY_MS));
            self.send(delay, Message::LateWrite(txn.clone()));
            return Err(StoreError::OutcomeUnknown(UnknownOutcome::NoResponse));
        }
        Ok(self.commit(txn))
    }

    /// Returns the number of the current epoch.
    pub(crate) fn epoch(&self) -> Epoch {
        self.store
            .get::<EpochRecord>(&store::epoch_key())
            .map_or(Epoch::ZERO, |epoch| epoch.record.number)
    }

    /// Returns the guard on the current epoch.
    pub(crate) fn epoch_guard(&self) -> Guard {
        let key = store::epoch_key();
        let version = self.store.version(&key);
        store::guard(key, version)
    }
}
