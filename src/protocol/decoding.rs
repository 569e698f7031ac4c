//! Deserialization of amounts. A peer may send any amount as an integer or as a floating-point number.

use serde::de::{Deserializer, Error, Visitor};
use serde::Deserialize;
use std::fmt;

/// Deserializes an integer or a finite floating-point number.
pub(super) fn finite_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    deserializer.deserialize_any(FiniteNumber)
}

/// Deserializes null, or what [`finite_number`] accepts.
pub(super) fn optional_finite_number<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<f64>, D::Error> {
    #[derive(Deserialize)]
    struct Amount(#[serde(deserialize_with = "finite_number")] f64);
    Ok(Option::<Amount>::deserialize(deserializer)?.map(|amount| amount.0))
}

/// Visitor of [`finite_number`].
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
