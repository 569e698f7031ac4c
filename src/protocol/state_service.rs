//! The calls of the state service.

use serde::{Deserialize, Serialize};

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Expected version; 0: the key does not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a key.
    Put {
        /// Key.
        put: String,
        /// Value.
        #[serde(rename = "v")]
        value: ciborium::Value,
        /// State-service lease the key is attached to.
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

/// A transaction.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions.
    pub guards: Vec<Guard>,
    /// Changes.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub apply: Vec<Change>,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TxnReply {
    /// Keys whose condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
    /// Revision.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A key's content.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Value.
    #[serde(rename = "v")]
    pub value: ciborium::Value,
    /// Version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Page {
    /// Items by key.
    #[serde(rename = "rows")]
    pub items: Vec<Item>,
    /// Whether another page follows.
    #[serde(rename = "hasNext")]
    pub more: bool,
    /// Revision.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A change seen by a watch.
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
        version: u64,
    },
    /// A key was removed.
    Delete {
        /// Key.
        #[serde(rename = "drop")]
        key: String,
        /// Version of the removal.
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// The fields of either variant of `Event`.
#[derive(Deserialize)]
struct EventFields {
    put: Option<String>,
    drop: Option<String>,
    #[serde(rename = "v")]
    value: Option<ciborium::Value>,
    #[serde(rename = "stamp")]
    version: u64,
}

impl TryFrom<EventFields> for Event {
    type Error = &'static str;

    fn try_from(fields: EventFields) -> Result<Event, Self::Error> {
        let version = fields.version;
        match (fields.put, fields.drop) {
            (Some(put), None) => Ok(Event::Put {
                put,
                value: fields.value.unwrap_or(ciborium::Value::Null),
                version,
            }),
            (None, Some(key)) => Ok(Event::Delete { key, version }),
            _ => Err("an event is either a put or a drop"),
        }
    }
}

/// The answer of a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Watched {
    /// Revision.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Changes in order.
    pub events: Vec<Event>,
}

/// A new lease of the state service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Life without renewal.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// A lease's id.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Id.
    #[serde(rename = "tenure")]
    pub lease: u64,
}
