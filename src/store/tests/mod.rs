//! Tests of keys, records, transactions, the replica and the client.

mod batch;
mod client;
mod keys;
mod limits;
mod records;
mod replica;
mod transactions;

use super::{live_key, JobRecord, Revision};
use crate::protocol::Event;
use ciborium::Value;

/// Returns the event of a write of an unfinished job.
fn live(id: &str, version: u64) -> Event {
    let record = JobRecord {
        spec: crate::scheduler::tests::spec(id, 1),
        at_ms: 5,
    };
    Event::Put {
        put: live_key(id),
        value: Value::serialized(&record).unwrap(),
        version: Revision::new(version),
    }
}
