//! Names and loopback addresses of the controllers and of the simulated services and workers.

use std::net::{Ipv4Addr, SocketAddr};

/// API port of the first controller. The other ports of controllers follow it.
const FIRST_CONTROLLER_PORT: u16 = 18_080;
/// Port of the key-value store.
const STORE_PORT: u16 = 18_070;
/// Port of the cloud.
const CLOUD_PORT: u16 = 18_071;
/// Port of the workers. Each worker has its own IP address.
pub(crate) const WORKER_PORT: u16 = 18_072;

/// Number of controllers.
const CONTROLLER_COUNT: u16 = 3;
/// Name of the only zone.
pub(crate) const ZONE: &str = "a";

/// Number of workers in each /24 network.
const WORKERS_PER_NETWORK: usize = 250;

/// Identifies a controller by its index.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct ControllerId(u16);

impl ControllerId {
    /// Returns all controllers.
    pub(crate) fn all() -> impl Iterator<Item = ControllerId> {
        (0..CONTROLLER_COUNT).map(ControllerId)
    }

    /// Returns the peers of this controller.
    pub(crate) fn peers(self) -> impl Iterator<Item = ControllerId> {
        ControllerId::all().filter(move |peer| *peer != self)
    }

    /// Returns the name of this controller in the settings.
    pub(crate) fn name(self) -> String {
        format!("node-{}", self.0)
    }

    /// Returns the address that serves users and workers.
    pub(crate) fn api_address(self) -> SocketAddr {
        loopback(FIRST_CONTROLLER_PORT + 2 * self.0)
    }

    /// Returns the address that serves the other controllers.
    pub(crate) fn internal_address(self) -> SocketAddr {
        loopback(FIRST_CONTROLLER_PORT + 2 * self.0 + 1)
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns the address of the key-value store.
pub(crate) fn store_address() -> SocketAddr {
    loopback(STORE_PORT)
}

/// Returns the address of the cloud.
pub(crate) fn cloud_address() -> SocketAddr {
    loopback(CLOUD_PORT)
}

/// Returns the IP address of the worker on the machine with an index.
///
/// # Panics
///
/// Panics if the index is not below 64,000, since the addresses of a /16 loopback network do not suffice then.
pub(crate) fn worker_address(index: usize) -> Ipv4Addr {
    let octet = |number: usize| u8::try_from(number).expect("at most 64,000 machines");
    Ipv4Addr::new(
        127,
        1,
        octet(index / WORKERS_PER_NETWORK),
        octet(index % WORKERS_PER_NETWORK + 1),
    )
}
