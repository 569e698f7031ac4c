//! Admission control: decides which requests to accept under overload.
//!
//! - [`concurrency_limit`] limits the number of user requests in progress;
//! - [`write_admission`] limits the rate at which users change the store;
//! - [`rate`] contains the token bucket and the rate meter for calls to the store and the cloud.
//!
//! None of them reads a clock or waits: the caller passes the time in. The rate limits return the time after which a request
//! that was not admitted may be repeated.

pub mod concurrency_limit;
pub mod rate;
pub mod write_admission;
