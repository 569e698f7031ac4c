//! Golden tests: what other programs see of this one stays as it is.
//!
//! Every expectation is a literal written from the protocol's description, never made by the code under test.

mod cloud;
mod literal;
mod settings;
mod state_service;
mod users;
mod workers;
