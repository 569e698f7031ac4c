//! The calls of the state service, a consensus-backed key-value store: transactions of conditions and changes, pages of keys,
//! watches and leases.
//!
//! Values are CBOR of any form: what they hold is a matter of [`crate::store`].

use serde::{Deserialize, Serialize};
use std::fmt;

/// A revision of the state service: a number that grows with every change.
///
/// The version of a key is the revision of its last change. A guard on version [`Revision::ZERO`] holds while the key does
/// not exist.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(u64);

impl Revision {
    /// The revision of an empty store, and the version of a key that does not exist.
    pub const ZERO: Revision = Revision(0);

    /// The revision with this number.
    #[must_use]
    pub const fn new(number: u64) -> Revision {
        Revision(number)
    }

    /// The revision that follows.
    #[must_use]
    pub const fn next(self) -> Revision {
        Revision(self.0 + 1)
    }

    /// Its number.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Expected version; [`Revision::ZERO`]: the key does not exist.
    #[serde(rename = "stamp")]
    pub version: Revision,
}

/// A change of a key in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a key.
    Put {
        /// Key.
        put: String,
        /// New value.
        #[serde(rename = "v")]
        value: ciborium::Value,
        /// Lease that the key is attached to: when it ends, the key is removed.
        #[serde(rename = "tenure", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// Key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A compare-and-swap transaction: if all conditions hold, all changes are made, at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions; all of them have to hold.
    pub guards: Vec<Guard>,
    /// Changes, in their order; none if the conditions are only compared.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub apply: Vec<Change>,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TxnReply {
    /// Keys whose conditions did not hold; none if the transaction was applied.
    #[serde(default)]
    pub failed: Vec<String>,
    /// Revision of the changes; that of the store if nothing was changed.
    #[serde(rename = "ledger")]
    pub revision: Revision,
}

/// A key with its value.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Value.
    #[serde(rename = "v")]
    pub value: ciborium::Value,
    /// Version.
    #[serde(rename = "stamp")]
    pub version: Revision,
}

/// A page of keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Page {
    /// The keys, in their order.
    #[serde(rename = "rows")]
    pub items: Vec<KeyValue>,
    /// Whether another page follows.
    #[serde(rename = "hasNext")]
    pub has_more: bool,
    /// Revision of the store when the page was read.
    #[serde(rename = "ledger")]
    pub revision: Revision,
}

/// A change of a key that a watch brings.
///
/// Read by way of `EventFields`: as an untagged enum each event was first copied whole, for every variant to be tried.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged, try_from = "EventFields")]
pub enum Event {
    /// A key was written.
    Put {
        /// Key.
        put: String,
        /// Value.
        #[serde(rename = "v")]
        value: ciborium::Value,
        /// Version.
        #[serde(rename = "stamp")]
        version: Revision,
    },
    /// A key was removed.
    Delete {
        /// Key.
        #[serde(rename = "drop")]
        key: String,
        /// Version of the removal.
        #[serde(rename = "stamp")]
        version: Revision,
    },
}

/// Why an event is not understood.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is either a put or a drop")]
struct AmbiguousEvent;

/// The fields of either variant of `Event`.
#[derive(Deserialize)]
struct EventFields {
    put: Option<String>,
    drop: Option<String>,
    #[serde(rename = "v")]
    value: Option<ciborium::Value>,
    #[serde(rename = "stamp")]
    version: Revision,
}

impl TryFrom<EventFields> for Event {
    type Error = AmbiguousEvent;

    fn try_from(fields: EventFields) -> Result<Event, AmbiguousEvent> {
        let version = fields.version;
        match (fields.put, fields.drop) {
            (Some(put), None) => Ok(Event::Put {
                put,
                value: fields.value.unwrap_or(ciborium::Value::Null),
                version,
            }),
            (None, Some(key)) => Ok(Event::Delete { key, version }),
            _ => Err(AmbiguousEvent),
        }
    }
}

/// The answer to a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchReply {
    /// Revision up to which the changes are complete; the next watch begins there.
    #[serde(rename = "ledger")]
    pub revision: Revision,
    /// Changes in the order of their revisions; none if the watch has ended without any.
    pub events: Vec<Event>,
}

/// A request for a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time until it ends without renewal, in milliseconds.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// The answer to a request for a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseReply {
    /// The lease's id.
    #[serde(rename = "tenure")]
    pub lease: u64,
}
