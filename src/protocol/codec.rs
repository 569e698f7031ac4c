//! Encoding and decoding of message bodies as CBOR.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Deepest nesting accepted in a body. Deeper bodies would exhaust the stack while they are decoded.
const RECURSION_LIMIT: usize = 32;
/// Initial capacity of an encoded body, in bytes: most messages are smaller.
const INITIAL_CAPACITY: usize = 256;

/// Why a body cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The body is not CBOR, or not a message of the expected form.
    #[error("malformed body: {0}")]
    Malformed(#[from] ciborium::de::Error<std::io::Error>),
    /// Bytes follow the message.
    #[error("trailing bytes after the message")]
    TrailingBytes,
}

/// Encodes a message as CBOR.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut body = Vec::with_capacity(INITIAL_CAPACITY);
    // Writing to a Vec cannot fail, and the golden tests encode every type. If one could not be represented after all, the
    // receiver would refuse the empty body.
    if ciborium::into_writer(message, &mut body).is_err() {
        body.clear();
    }
    body
}

/// Decodes a message from CBOR. Unknown fields are ignored.
///
/// # Errors
///
/// The body must hold exactly one message of this type: see [`DecodeError`].
pub fn decode<T: DeserializeOwned>(mut body: &[u8]) -> Result<T, DecodeError> {
    let message = ciborium::de::from_reader_with_recursion_limit(&mut body, RECURSION_LIMIT)?;
    if body.is_empty() {
        Ok(message)
    } else {
        Err(DecodeError::TrailingBytes)
    }
}
