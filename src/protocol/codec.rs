//! Encoding and decoding of message bodies as CBOR.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Maximum nesting depth of a body. Decoding is recursive, so a body of unlimited depth could exhaust the stack.
const RECURSION_LIMIT: usize = 32;
/// Initial capacity of the buffer for an encoded body, in bytes. Most messages are smaller.
const INITIAL_CAPACITY: usize = 256;

/// The reason why a body cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The body is not valid CBOR, or not a message of the expected type.
    #[error("malformed body: {0}")]
    Malformed(#[from] ciborium::de::Error<std::io::Error>),
    /// The body contains more bytes after the message.
    #[error("trailing bytes after the message")]
    TrailingBytes,
}

/// Encodes a message as CBOR.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut body = Vec::with_capacity(INITIAL_CAPACITY);
    // Writing to a `Vec` cannot fail, and the golden tests encode every message type. If a message could not be represented in
    // CBOR after all, the receiver would reject the empty body.
    if ciborium::into_writer(message, &mut body).is_err() {
        body.clear();
    }
    body
}

/// Decodes a message from CBOR. Ignores unknown fields.
///
/// # Errors
///
/// Returns a [`DecodeError`] unless the body consists of exactly one message of type `T`.
pub fn decode<T: DeserializeOwned>(mut body: &[u8]) -> Result<T, DecodeError> {
    let message = ciborium::de::from_reader_with_recursion_limit(&mut body, RECURSION_LIMIT)?;
    if body.is_empty() {
        Ok(message)
    } else {
        Err(DecodeError::TrailingBytes)
    }
}
