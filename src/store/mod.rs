//! The state service: keys, records, transactions, a mirror of the keys kept by a watch, and the client.
//!
//! Keys live below one root so that several tenants can have one each later.

mod client;
mod keys;
mod mirror;
mod records;
#[cfg(test)]
mod tests;
mod transactions;

pub use crate::protocol::Revision;
pub use client::*;
pub use keys::*;
pub use mirror::*;
pub use records::*;
pub use transactions::*;
