//! Comparison of messages with literals.

use ciborium::Value;
use hollowswitch::protocol::{decode, encode};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Builds a literal message; panics where the macro's input cannot be represented.
macro_rules! message {
    ($($literal:tt)+) => {{
        use ciborium::cbor;
        cbor!($($literal)+).expect("a literal message")
    }};
}
pub(crate) use message;

/// The bytes of a literal, by the library alone.
pub(crate) fn bytes(literal: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(literal, &mut bytes).expect("a literal can be written");
    bytes
}

/// What the program reads from a literal.
pub(crate) fn read<T: DeserializeOwned>(literal: &Value) -> T {
    try_read(literal).expect("a message of the protocol is read")
}

/// What the program reads from a literal, or nothing if it refuses it.
pub(crate) fn try_read<T: DeserializeOwned>(literal: &Value) -> Option<T> {
    decode(&bytes(literal)).ok()
}

/// What the program writes, read by the library alone. The order of the fields counts.
pub(crate) fn written<T: Serialize>(message: &T) -> Value {
    ciborium::from_reader(encode(message).as_slice()).expect("the program writes CBOR")
}

/// Bytes from hexadecimal digits; blanks are for the reader.
pub(crate) fn hex(digits: &str) -> Vec<u8> {
    let digits: Vec<char> = digits.chars().filter(char::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(&String::from_iter(pair), 16).expect("two digits"))
        .collect()
}

/// A map without one of its fields.
pub(crate) fn without(literal: &Value, field: &str) -> Value {
    let mut fields = literal.as_map().expect("a map").clone();
    let before = fields.len();
    fields.retain(|(name, _)| name.as_text() != Some(field));
    assert_eq!(fields.len() + 1, before, "{field} is in the literal");
    Value::Map(fields)
}

/// A map with another value for one of its fields.
pub(crate) fn with(literal: &Value, field: &str, value: Value) -> Value {
    let mut fields = literal.as_map().expect("a map").clone();
    let entry = fields
        .iter_mut()
        .find(|(name, _)| name.as_text() == Some(field))
        .expect("the field is in the literal");
    entry.1 = value;
    Value::Map(fields)
}

/// Asserts that a message is refused when one of these fields is missing or null.
pub(crate) fn assert_required<T: DeserializeOwned>(literal: &Value, fields: &[&str]) {
    assert!(try_read::<T>(literal).is_some());
    for field in fields {
        assert!(
            try_read::<T>(&without(literal, field)).is_none(),
            "{field} is missing"
        );
        assert!(
            try_read::<T>(&with(literal, field, Value::Null)).is_none(),
            "{field} is null"
        );
    }
}

/// Asserts that each of these fields may come as an integer, as a decimal number, but not as an endless one or as text.
pub(crate) fn assert_amounts<T: DeserializeOwned>(literal: &Value, fields: &[&str]) {
    let accepted = [
        Value::Integer(3.into()),
        Value::Float(3.0),
        Value::Float(0.25),
    ];
    let refused = [
        Value::Float(f64::NAN),
        Value::Float(f64::INFINITY),
        Value::Text("3".into()),
        Value::Bool(true),
    ];
    for field in fields {
        for value in &accepted {
            let read = try_read::<T>(&with(literal, field, value.clone()));
            assert!(read.is_some(), "{field} as {value:?}");
        }
        for value in &refused {
            let read = try_read::<T>(&with(literal, field, value.clone()));
            assert!(read.is_none(), "{field} as {value:?}");
        }
    }
}
