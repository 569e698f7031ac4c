//! Clients of the cloud and of the workers, and the HTTP exchange that all clients share.
//!
//! A client encodes a request, makes one call within a timeout, and maps the response to a typed outcome. Retries and rate limits
//! are the caller's responsibility.

pub mod authority_check;
pub mod cloud;
pub mod http;

pub mod worker;
