//! Messages to and from the state service, a consensus-backed key-value store: conditional transactions, pages of keys,
//! watches and leases.
//!
//! Values are arbitrary CBOR. [`crate::store`] defines the records that are stored in them.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A revision of the state service: a number that increases with every transaction that changes something.
///
/// The version of a key is the revision of its last change. A guard on version [`Revision::ZERO`] holds as long as the key
/// does not exist.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(u64);

impl Revision {
    /// The revision of an empty store, and the version of a key that does not exist.
    pub const ZERO: Revision = Revision(0);

    /// Creates the revision with a number.
    #[must_use]
    pub const fn new(number: u64) -> Revision {
        Revision(number)
    }

    /// Returns the next revision.
    #[must_use]
    pub const fn next(self) -> Revision {
        Revision(self.0 + 1)
    }

    /// Returns the number of the revision.
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

/// A condition of a transaction: the expected version of a key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Expected version. [`Revision::ZERO`] if the key must not exist.
    #[serde(rename = "stamp")]
    pub version: Revision,
}

/// A change of a key by a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Creates or overwrites a key.
    Put {
        /// Key.
        put: String,
        /// New value.
        #[serde(rename = "v")]
        value: ciborium::Value,
        /// Lease that the key is attached to. The key is deleted when the lease ends.
        #[serde(rename = "tenure", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A compare-and-swap transaction: if all guards hold, all changes are applied atomically, at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Guards, all of which must hold.
    pub guards: Vec<Guard>,
    /// Changes, in the order of their application. Empty for a transaction that only checks its guards.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub apply: Vec<Change>,
}

/// The reply to a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TxnReply {
    /// Keys whose guards did not hold. Empty if the transaction was applied.
    #[serde(default)]
    pub failed: Vec<String>,
    /// Revision of the changes, or the current revision of the store if the transaction changed nothing.
    #[serde(rename = "ledger")]
    pub revision: Revision,
}

/// The body of a response with status 400.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// Reason. [`ErrorReply::NO_SUCH_LEASE`] is the only one that the protocol defines.
    pub error: String,
}

impl ErrorReply {
    /// Reason of the refusal of a transaction whose lease has ended.
    pub const NO_SUCH_LEASE: &str = "no such lease";
}

/// A key with its value and version.
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
    /// Keys on this page, in ascending order.
    #[serde(rename = "rows")]
    pub items: Vec<KeyValue>,
    /// Whether more pages follow.
    #[serde(rename = "hasNext")]
    pub has_more: bool,
    /// Revision of the store when the page was read.
    #[serde(rename = "ledger")]
    pub revision: Revision,
}

/// A change of a key, as delivered by a watch.
///
/// Deserialized through `EventFields`: the derived implementation for untagged enums copies each event as a whole before it
/// tries the variants.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged, try_from = "EventFields")]
pub enum Event {
    /// A key was created or overwritten.
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
    /// A key was deleted.
    Delete {
        /// Key.
        #[serde(rename = "drop")]
        key: String,
        /// Revision of the deletion.
        #[serde(rename = "stamp")]
        version: Revision,
    },
}

/// The error for an event with both of the fields that identify its variant, or with neither.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event must have exactly one of the fields `put` and `drop`")]
struct AmbiguousEvent;

/// The fields of all variants of `Event`.
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

/// The reply to a watch request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchReply {
    /// Revision up to which the events are complete. The next watch continues from there.
    #[serde(rename = "ledger")]
    pub revision: Revision,
    /// Events, in the order of their revisions. Empty if the watch timed out without any.
    pub events: Vec<Event>,
}

/// A request to open a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live in milliseconds: the lease ends if it is not renewed for this long.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// The reply to a request to open a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Id of the lease.
    #[serde(rename = "tenure")]
    pub lease: u64,
}
