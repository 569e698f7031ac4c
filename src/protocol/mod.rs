//! The wire: message shapes, their odd names, and the checks at the door.
//!
//! Everything beyond this module uses the field's standard terms (job, task, machine, attempt, lease, token, quota).

#[cfg(test)]
mod tests;

mod cloud;
mod decoding;
mod state_service;
mod users;
mod workers;

pub use cloud::*;
pub use state_service::*;
pub use users::*;
pub use workers::*;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Largest body accepted from users and workers.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Most tasks a job may have.
pub const TASK_LIMIT: u32 = 100_000;
const NAME_LIMIT: usize = 200;

/// Encodes a body as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    // Writing to a Vec cannot fail; a type that cannot be represented would show in the tests of this module.
    if ciborium::into_writer(value, &mut out).is_err() {
        out.clear();
    }
    out
}

/// Decodes a CBOR body; trailing bytes are refused.
#[must_use]
pub fn decode<T: DeserializeOwned>(mut body: &[u8]) -> Option<T> {
    let value = ciborium::de::from_reader_with_recursion_limit(&mut body, 32).ok()?;
    body.is_empty().then_some(value)
}
