//! Helpers that compare the program's messages with hand-written CBOR values.

use ciborium::Value;
use hollowswitch::protocol::{decode, encode};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Builds a CBOR value from a literal.
macro_rules! message {
    ($($literal:tt)+) => {{
        use ciborium::cbor;
        cbor!($($literal)+).expect("a literal message")
    }};
}
pub(crate) use message;

/// Encodes a literal with `ciborium`, independently of the program's own encoder.
pub(crate) fn to_cbor(literal: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(literal, &mut bytes).expect("a literal can be written");
    bytes
}

/// Decodes a literal with the program's decoder. Panics if the decoder rejects it.
pub(crate) fn decode_value<T: DeserializeOwned>(literal: &Value) -> T {
    try_decode_value(literal).expect("a message of the protocol is read")
}

/// Decodes a literal with the program's decoder. Returns `None` if the decoder rejects it.
pub(crate) fn try_decode_value<T: DeserializeOwned>(literal: &Value) -> Option<T> {
    decode(&to_cbor(literal)).ok()
}

/// Encodes a message with the program's encoder and decodes the result with `ciborium`. The value keeps the order of the fields,
/// so that a comparison with it checks the order as well.
pub(crate) fn encode_to_value<T: Serialize>(message: &T) -> Value {
    ciborium::from_reader(encode(message).as_slice()).expect("the program writes CBOR")
}

/// Decodes hexadecimal digits. Other characters are skipped, so that spaces can separate groups of digits.
pub(crate) fn hex(digits: &str) -> Vec<u8> {
    let digits: Vec<char> = digits.chars().filter(char::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(&String::from_iter(pair), 16).expect("two digits"))
        .collect()
}

/// Returns the map without one of its fields. Panics if the map has no such field.
pub(crate) fn without(literal: &Value, field: &str) -> Value {
    let mut fields = literal.as_map().expect("a map").clone();
    let before = fields.len();
    fields.retain(|(name, _)| name.as_text() != Some(field));
    assert_eq!(fields.len() + 1, before, "{field} is in the literal");
    Value::Map(fields)
}

/// Returns the map with another value for one of its fields. Panics if the map has no such field.
pub(crate) fn with(literal: &Value, field: &str, value: Value) -> Value {
    let mut fields = literal.as_map().expect("a map").clone();
    let entry = fields
        .iter_mut()
        .find(|(name, _)| name.as_text() == Some(field))
        .expect("the field is in the literal");
    entry.1 = value;
    Value::Map(fields)
}

/// Asserts that the decoder rejects a message in which any one of these fields is missing or null.
pub(crate) fn assert_required<T: DeserializeOwned>(literal: &Value, fields: &[&str]) {
    assert!(try_decode_value::<T>(literal).is_some());
    for field in fields {
        assert!(
            try_decode_value::<T>(&without(literal, field)).is_none(),
            "{field} is missing"
        );
        assert!(
            try_decode_value::<T>(&with(literal, field, Value::Null)).is_none(),
            "{field} is null"
        );
    }
}

/// Asserts that each of these fields accepts integers and finite floats, and rejects non-finite floats, text and booleans.
pub(crate) fn assert_finite_numbers<T: DeserializeOwned>(literal: &Value, fields: &[&str]) {
    let accepted = [
        Value::Integer(3.into()),
        Value::Float(3.0),
        Value::Float(0.25),
    ];
    let rejected = [
        Value::Float(f64::NAN),
        Value::Float(f64::INFINITY),
        Value::Text("3".into()),
        Value::Bool(true),
    ];
    for field in fields {
        for value in &accepted {
            let decoded = try_decode_value::<T>(&with(literal, field, value.clone()));
            assert!(decoded.is_some(), "{field} as {value:?}");
        }
        for value in &rejected {
            let decoded = try_decode_value::<T>(&with(literal, field, value.clone()));
            assert!(decoded.is_none(), "{field} as {value:?}");
        }
    }
}
