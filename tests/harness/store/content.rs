//! The content of the simulated state service: keys, leases and the history of changes.

use ciborium::Value;
use hollowswitch::protocol::{Change, Event, KeyValue, Page, Revision, Txn};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::ops::Bound;
use std::time::{Duration, Instant};

/// Maximum number of keys on a page.
const MAX_PAGE_SIZE: usize = 1000;

/// The value and version of a key.
struct StoredValue {
    value: Value,
    version: Revision,
    lease: Option<u64>,
}

/// A lease, which ends unless it is renewed in time.
struct Lease {
    ttl: Duration,
    ends_at: Instant,
    keys: BTreeSet<String>,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Committed {
    /// All guards held.
    Applied(Revision),
    /// Some guards did not hold.
    Failed {
        /// The keys of these guards.
        keys: Vec<String>,
        /// The current revision.
        revision: Revision,
    },
    /// A change names a lease that does not exist.
    NoSuchLease,
}

/// The query of a listing.
pub(crate) struct PageQuery<'a> {
    /// Prefix of the keys.
    pub(crate) prefix: &'a str,
    /// Key after which the page begins.
    pub(crate) after: &'a str,
    /// Maximum number of keys.
    pub(crate) limit: usize,
}

/// The content of the store.
pub(crate) struct Content {
    revision: Revision,
    last_lease: u64,
    keys: BTreeMap<String, StoredValue>,
    leases: HashMap<u64, Lease>,
    history: VecDeque<Event>,
    history_limit: usize,
    /// Revision of the newest change that is no longer in the history.
    forgotten: Revision,
}

impl Content {
    /// Creates an empty store that keeps `history_limit` changes for watches.
    pub(crate) fn new(history_limit: usize) -> Content {
        Content {
            revision: Revision::ZERO,
            last_lease: 0,
            keys: BTreeMap::new(),
            leases: HashMap::new(),
            history: VecDeque::new(),
            history_limit,
            forgotten: Revision::ZERO,
        }
    }

    /// Returns the current revision.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Commits a transaction if all of its guards hold.
    pub(crate) fn commit(&mut self, txn: Txn) -> Committed {
        let has_unknown_lease = txn.apply.iter().any(|change| match change {
            Change::Put { lease, .. } => lease.is_some_and(|id| !self.leases.contains_key(&id)),
            Change::Delete { .. } => false,
        });
        if has_unknown_lease {
            return Committed::NoSuchLease;
        }
        let current_version = |key: &str| {
            self.keys
                .get(key)
                .map_or(Revision::ZERO, |stored| stored.version)
        };
        let failed: Vec<String> = txn
            .guards
            .iter()
            .filter(|guard| current_version(&guard.key) != guard.version)
            .map(|guard| guard.key.clone())
            .collect();
        if !failed.is_empty() {
            return Committed::Failed {
                keys: failed,
                revision: self.revision,
            };
        }
        if !txn.apply.is_empty() {
            self.revision = self.revision.next();
        }
        for change in txn.apply {
            self.apply(change);
        }
        Committed::Applied(self.revision)
    }

    /// Applies a change at the current revision and records its event.
    fn apply(&mut self, change: Change) {
        let version = self.revision;
        match change {
            Change::Put { put, value, lease } => {
                self.detach(&put);
                if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
                    lease.keys.insert(put.clone());
                }
                let stored = StoredValue {
                    value: value.clone(),
                    version,
                    lease,
                };
                self.keys.insert(put.clone(), stored);
                self.record(Event::Put {
                    put,
                    value,
                    version,
                });
            }
            Change::Delete { key } => {
                self.detach(&key);
                if self.keys.remove(&key).is_some() {
                    self.record(Event::Delete { key, version });
                }
            }
        }
    }

    /// Detaches a key from its lease.
    fn detach(&mut self, key: &str) {
        let lease = self.keys.get(key).and_then(|stored| stored.lease);
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.remove(key);
        }
    }

    fn record(&mut self, event: Event) {
        self.history.push_back(event);
        if self.history.len() > self.history_limit {
            if let Some(forgotten) = self.history.pop_front() {
                self.forgotten = version_of(&forgotten);
            }
        }
    }

    /// Returns a key.
    pub(crate) fn get(&self, key: &str) -> Option<KeyValue> {
        self.keys.get(key).map(|stored| key_value(key, stored))
    }

    /// Returns the keys with a prefix.
    pub(crate) fn keys(&self, prefix: &str) -> Vec<String> {
        let keys = self.keys.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Returns a page of keys.
    pub(crate) fn page(&self, query: &PageQuery) -> Page {
        let start = if query.after.is_empty() {
            Bound::Included(query.prefix)
        } else {
            Bound::Excluded(query.after)
        };
        let mut remaining = self
            .keys
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(query.prefix));
        let limit = query.limit.min(MAX_PAGE_SIZE);
        let items = remaining.by_ref().take(limit);
        Page {
            items: items.map(|(key, stored)| key_value(key, stored)).collect(),
            has_more: remaining.next().is_some(),
            revision: self.revision,
        }
    }

    /// Returns the events after a revision on keys with a prefix, or `None` if some of them are no longer known.
    pub(crate) fn events_after(&self, revision: Revision, prefix: &str) -> Option<Vec<Event>> {
        if revision < self.forgotten {
            return None;
        }
        let matches = |event: &&Event| {
            let (Event::Put { put: key, .. } | Event::Delete { key, .. }) = event;
            version_of(event) > revision && key.starts_with(prefix)
        };
        let newer = self.history.iter().rev();
        let newer = newer.take_while(|event| version_of(event) > revision);
        let mut events: Vec<Event> = newer.filter(matches).cloned().collect();
        events.reverse();
        Some(events)
    }

    /// Opens a lease.
    pub(crate) fn open_lease(&mut self, ttl: Duration) -> u64 {
        self.last_lease += 1;
        let lease = Lease {
            ttl,
            ends_at: Instant::now() + ttl,
            keys: BTreeSet::new(),
        };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Renews a lease. Returns whether it exists.
    pub(crate) fn renew_lease(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.ends_at = Instant::now() + lease.ttl;
        true
    }

    /// Gives every lease its full time again.
    pub(crate) fn renew_all_leases(&mut self) {
        let ids: Vec<u64> = self.leases.keys().copied().collect();
        for id in ids {
            self.renew_lease(id);
        }
    }

    /// Ends a lease and deletes its keys. Returns whether it existed.
    pub(crate) fn end_lease(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.remove(&id) else {
            return false;
        };
        if !lease.keys.is_empty() {
            self.revision = self.revision.next();
        }
        for key in lease.keys {
            self.keys.remove(&key);
            self.record(Event::Delete {
                key,
                version: self.revision,
            });
        }
        true
    }

    /// Ends the leases that were not renewed in time.
    pub(crate) fn end_expired_leases(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.end_lease(id);
        }
    }
}

fn key_value(key: &str, stored: &StoredValue) -> KeyValue {
    KeyValue {
        key: key.to_string(),
        value: stored.value.clone(),
        version: stored.version,
    }
}

fn version_of(event: &Event) -> Revision {
    match event {
        Event::Put { version, .. } | Event::Delete { version, .. } => *version,
    }
}
