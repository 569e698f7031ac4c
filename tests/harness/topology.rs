//! Names and loopback addresses of the controllers, of the simulated services and of the workers.
//!
//! Each run has a loopback network of its own, so that several can run at the same time. Addresses outside 127.0.0.1 are never
//! taken by outgoing connections.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Number of controllers.
pub(crate) const CONTROLLER_COUNT: usize = 3;

/// Port that serves users and workers, on the address of each controller.
const API_PORT: u16 = 18_080;
/// Port that serves the other controllers.
const INTERNAL_PORT: u16 = 18_081;
/// Port of the state service.
const STORE_PORT: u16 = 18_070;
/// Port of the cloud.
const CLOUD_PORT: u16 = 18_071;
/// Port of the workers.
const WORKER_PORT: u16 = 18_072;
/// Port that a run keeps bound, to reserve its network.
const RESERVATION_PORT: u16 = 18_079;

/// The second octets of the networks.
const NETWORKS: std::ops::RangeInclusive<u8> = 16..=250;
/// Third octet of the addresses of controllers and services.
const SERVICES: u8 = 0;
/// Third octet of the addresses at which a controller reaches a service or another controller.
const LINKS: u8 = 1;
/// Third octet of the addresses of the first workers.
const FIRST_WORKERS: usize = 2;
/// Number of workers in each /24 network.
const WORKERS_PER_NETWORK: usize = 250;

/// Identifies a controller by its index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ControllerId(pub usize);

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
}

/// A connection path from a controller to a service or to another controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Link {
    /// From a controller to the state service.
    Store(ControllerId),
    /// From a controller to the cloud.
    Cloud(ControllerId),
    /// From a controller to another one.
    Peer {
        /// The controller that opens the connections.
        from: ControllerId,
        /// The controller that accepts them.
        to: ControllerId,
    },
}

impl Link {
    /// Returns all links.
    pub(crate) fn all() -> Vec<Link> {
        let peers = |from: ControllerId| from.peers().map(move |to| Link::Peer { from, to });
        ControllerId::all()
            .flat_map(|from| [Link::Store(from), Link::Cloud(from)])
            .chain(ControllerId::all().flat_map(peers))
            .collect()
    }
}

/// The addresses of a run.
#[derive(Debug, Clone)]
pub(crate) struct Topology {
    network: u8,
}

/// A network that no other run uses. It is free again when this value is dropped.
pub(crate) struct ReservedNetwork {
    /// The addresses in the network.
    pub(crate) topology: Topology,
    _reservation: TcpListener,
}

impl ReservedNetwork {
    /// Reserves a network. The search begins at a place that depends on `hint`.
    ///
    /// # Panics
    ///
    /// Panics if all networks are in use.
    pub(crate) fn reserve(hint: usize) -> ReservedNetwork {
        let networks: Vec<u8> = NETWORKS.collect();
        let candidates = networks.iter().cycle().skip(hint % networks.len());
        for network in candidates.take(networks.len()) {
            let topology = Topology { network: *network };
            let address = topology.address(SERVICES, 0, RESERVATION_PORT);
            if let Ok(reservation) = TcpListener::bind(address) {
                return ReservedNetwork {
                    topology,
                    _reservation: reservation,
                };
            }
        }
        panic!("every loopback network is in use");
    }
}

impl Topology {
    /// Returns the address that serves users and workers.
    pub(crate) fn api_address(&self, controller: ControllerId) -> SocketAddr {
        self.address(SERVICES, 10 + controller.0, API_PORT)
    }

    /// Returns the address on which a controller serves the others.
    pub(crate) fn internal_address(&self, controller: ControllerId) -> SocketAddr {
        self.address(SERVICES, 10 + controller.0, INTERNAL_PORT)
    }

    /// Returns the address of the state service for a controller.
    pub(crate) fn store_address(&self, controller: ControllerId) -> SocketAddr {
        self.address(SERVICES, 20 + controller.0, STORE_PORT)
    }

    /// Returns the address of the cloud for a controller.
    pub(crate) fn cloud_address(&self, controller: ControllerId) -> SocketAddr {
        self.address(SERVICES, 30 + controller.0, CLOUD_PORT)
    }

    /// Returns the address to which a link leads.
    pub(crate) fn link_target(&self, link: Link) -> SocketAddr {
        match link {
            Link::Store(controller) => self.store_address(controller),
            Link::Cloud(controller) => self.cloud_address(controller),
            Link::Peer { to, .. } => self.internal_address(to),
        }
    }

    /// Returns the address at which a link can be entered, if it leads through a proxy.
    pub(crate) fn link_entry(&self, link: Link) -> SocketAddr {
        match link {
            Link::Store(controller) => self.address(LINKS, 10 + controller.0, STORE_PORT),
            Link::Cloud(controller) => self.address(LINKS, 20 + controller.0, CLOUD_PORT),
            Link::Peer { from, to } => {
                let host = 30 + from.0 * CONTROLLER_COUNT + to.0;
                self.address(LINKS, host, INTERNAL_PORT)
            }
        }
    }

    /// Returns the address of the worker on the machine with an index.
    ///
    /// # Panics
    ///
    /// Panics beyond the 63,500 workers that fit into the network.
    pub(crate) fn worker_address(&self, index: usize) -> SocketAddr {
        let network = u8::try_from(FIRST_WORKERS + index / WORKERS_PER_NETWORK);
        let network = network.expect("at most 63,500 machines");
        self.address(network, index % WORKERS_PER_NETWORK + 1, WORKER_PORT)
    }

    fn address(&self, network: u8, host: usize, port: u16) -> SocketAddr {
        let host = u8::try_from(host).expect("a host number below 256");
        SocketAddr::from((Ipv4Addr::new(127, self.network, network, host), port))
    }
}
