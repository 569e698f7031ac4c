//! Golden tests of everything that other processes, or an earlier or later version of this one, read or write.
//!
//! Every expectation is a literal written by hand from the description of the protocol, never made by the code under test.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

mod cloud;
mod literal;
mod peers;
mod requests;
mod settings;
mod state_service;
mod stored_records;
mod users;
mod wire_names;
mod workers;
