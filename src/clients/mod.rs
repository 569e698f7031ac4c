//! Clients of the services around a controller: the cloud and the workers, and the HTTP exchange that all clients share.

pub mod cloud;
pub mod permit;
#[allow(
    clippy::missing_errors_doc,
    reason = "this module has yet to be cleaned"
)]
pub mod worker;
