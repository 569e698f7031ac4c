//! Decoding of numbers: the wire allows any amount to come as an integer or as a decimal number.

use serde::de::{Deserializer, Error, Visitor};
use serde::Deserialize;
use std::fmt;

/// Accepts any number, whole or not, as a finite decimal.
pub(super) fn num<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    struct V;
    impl Visitor<'_> for V {
        type Value = f64;
        fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
            f.write_str("a finite number")
        }
        fn visit_f64<E: Error>(self, v: f64) -> Result<f64, E> {
            if v.is_finite() {
                Ok(v)
            } else {
                Err(E::custom("not finite"))
            }
        }
        fn visit_u64<E: Error>(self, v: u64) -> Result<f64, E> {
            Ok(v as f64)
        }
        fn visit_i64<E: Error>(self, v: i64) -> Result<f64, E> {
            Ok(v as f64)
        }
        fn visit_u128<E: Error>(self, v: u128) -> Result<f64, E> {
            Ok(v as f64)
        }
        fn visit_i128<E: Error>(self, v: i128) -> Result<f64, E> {
            Ok(v as f64)
        }
    }
    d.deserialize_any(V)
}

pub(super) fn opt_num<'de, D: Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
    #[derive(Deserialize)]
    struct N(#[serde(deserialize_with = "num")] f64);
    Ok(Option::<N>::deserialize(d)?.map(|n| n.0))
}
