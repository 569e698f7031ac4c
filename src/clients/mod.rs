//! Clients of the services around a controller: the cloud and the workers, and the HTTP exchange that all clients share.
//!
//! A client encodes one request, makes one call within a time limit, and maps the response to a typed outcome. Retries and
//! rate limits are a matter of the caller.

pub mod authority_check;
pub mod cloud;
pub mod http;

pub mod worker;
