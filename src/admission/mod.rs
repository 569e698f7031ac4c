//! Admission control: which requests are accepted when there are more than can be served.
//!
//! - [`concurrency_limit`] bounds the user requests in progress;
//! - [`write_admission`] bounds the changes that users cause in the state service;
//! - [`rate`] has the token bucket and the rate meter for calls to the state service and to the cloud.
//!
//! All of them work on times that are handed in, and none waits: whoever is not admitted is told when to try again.

pub mod concurrency_limit;
pub mod rate;
pub mod write_admission;
