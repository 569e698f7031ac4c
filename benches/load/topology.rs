//! Names and addresses of all processes and stand-ins, all on loopback.

use std::net::{Ipv4Addr, SocketAddr};

/// Port of the first controller's users' address; the others follow.
const FIRST_CONTROLLER_PORT: u16 = 18_080;
/// Port of the key-value store.
const STORE_PORT: u16 = 18_070;
/// Port of the cloud.
const CLOUD_PORT: u16 = 18_071;
/// Port of the workers, each on an address of its own.
pub(crate) const WORKER_PORT: u16 = 18_072;

/// Number of controllers.
const CONTROLLERS: u16 = 3;
/// Name of the only zone.
pub(crate) const ZONE: &str = "a";

/// Workers on each /24 network.
const WORKERS_PER_NETWORK: usize = 250;

/// A controller by its place among the others.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct ControllerId(u16);

impl ControllerId {
    /// All controllers.
    pub(crate) fn all() -> impl Iterator<Item = ControllerId> {
        (0..CONTROLLERS).map(ControllerId)
    }

    /// The controllers that this one has as peers.
    pub(crate) fn peers(self) -> impl Iterator<Item = ControllerId> {
        ControllerId::all().filter(move |peer| *peer != self)
    }

    /// Its name in the settings.
    pub(crate) fn name(self) -> String {
        format!("node-{}", self.0)
    }

    /// Its address for users and workers.
    pub(crate) fn api_address(self) -> SocketAddr {
        local(FIRST_CONTROLLER_PORT + 2 * self.0)
    }

    /// Its address for the other controllers.
    pub(crate) fn internal_address(self) -> SocketAddr {
        local(FIRST_CONTROLLER_PORT + 2 * self.0 + 1)
    }
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Address of the key-value store.
pub(crate) fn store_address() -> SocketAddr {
    local(STORE_PORT)
}

/// Address of the cloud.
pub(crate) fn cloud_address() -> SocketAddr {
    local(CLOUD_PORT)
}

/// Address of a worker, by the place of its machine among all.
///
/// # Panics
///
/// Beyond 64,000 machines, for which the loopback networks do not suffice.
pub(crate) fn worker_address(machine: usize) -> Ipv4Addr {
    let octet = |number: usize| u8::try_from(number).expect("at most 64,000 machines");
    Ipv4Addr::new(
        127,
        1,
        octet(machine / WORKERS_PER_NETWORK),
        octet(machine % WORKERS_PER_NETWORK + 1),
    )
}
