//! Decoding of amounts: the protocol allows any amount to be sent as an integer or as a decimal number.

use serde::de::{Deserializer, Error, Visitor};
use serde::Deserialize;
use std::fmt;

/// Accepts an integer or a decimal number that is finite.
pub(super) fn finite_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    deserializer.deserialize_any(FiniteNumber)
}

/// Accepts what [`finite_number`] accepts, and null.
pub(super) fn optional_finite_number<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<f64>, D::Error> {
    #[derive(Deserialize)]
    struct Amount(#[serde(deserialize_with = "finite_number")] f64);
    Ok(Option::<Amount>::deserialize(deserializer)?.map(|amount| amount.0))
}

struct FiniteNumber;

impl Visitor<'_> for FiniteNumber {
    type Value = f64;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a finite number")
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<f64, E> {
        if value.is_finite() {
            Ok(value)
        } else {
            Err(E::custom("not finite"))
        }
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<f64, E> {
        Ok(value as f64)
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<f64, E> {
        Ok(value as f64)
    }

    fn visit_u128<E: Error>(self, value: u128) -> Result<f64, E> {
        Ok(value as f64)
    }

    fn visit_i128<E: Error>(self, value: i128) -> Result<f64, E> {
        Ok(value as f64)
    }
}
