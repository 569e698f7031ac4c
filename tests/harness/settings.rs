//! Generation of the platform's settings file for a controller.

use super::store::Limits;
use super::topology::{ControllerId, Link, Topology};
use serde::Serialize;
use std::net::SocketAddr;

/// Parameters of a deployment. The names of the fields are those of the settings file.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Deployment {
    /// Teams.
    pub(crate) teams: Vec<Team>,
    /// Timings of workers.
    pub(crate) workers: WorkerTimings,
    /// Limits of the state service.
    pub(crate) state: StoreLimits,
    /// Limits of the cloud.
    pub(crate) cloud: CloudLimits,
    /// Limits of the machine of a controller.
    pub(crate) machine_limits: MachineLimits,
}

/// A team with its quota.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Team {
    /// Name.
    pub(crate) name: String,
    /// Guaranteed CPUs.
    pub(crate) cpus: f64,
    /// Limit on CPUs.
    pub(crate) cpus_max: f64,
}

/// Timings of workers, in seconds.
#[expect(clippy::struct_field_names, reason = "the names of the settings file")]
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct WorkerTimings {
    /// Interval of heartbeats.
    pub(crate) report_s: f64,
    /// Duration of a worker's lease.
    pub(crate) lease_s: f64,
    /// Time within which the tasks of a cancelled job must be gone.
    pub(crate) cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct StoreLimits {
    /// Requests per second.
    pub(crate) rps: f64,
    /// Changes per second.
    pub(crate) write_rps: f64,
    /// Maximum size of a value in KiB.
    pub(crate) value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub(crate) txn_ops: usize,
    /// Limits that the service will have from some later moment, if the settings announce them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) next: Option<Limits>,
}

impl StoreLimits {
    /// Returns the limits that are in force at first.
    pub(crate) fn present(&self) -> Limits {
        Limits {
            rps: self.rps,
            write_rps: self.write_rps,
            value_kb: self.value_kb,
            txn_ops: self.txn_ops,
        }
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct CloudLimits {
    /// Requests per second.
    pub(crate) rps: f64,
    /// Time by which the list of machines lags, in seconds.
    pub(crate) list_lag_s: f64,
}

/// Limits of the machine of a controller.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct MachineLimits {
    /// Maximum number of connections.
    pub(crate) max_connections: usize,
}

#[derive(Serialize)]
struct SettingsFile<'a> {
    node: String,
    zone: &'a str,
    api_addr: SocketAddr,
    internal_addr: SocketAddr,
    peers: Vec<PeerEntry>,
    external: External,
    deployment: &'a Deployment,
}

#[derive(Serialize)]
struct PeerEntry {
    node: String,
    peer_addr: SocketAddr,
}

#[derive(Serialize)]
struct External {
    cloud: SocketAddr,
    state: SocketAddr,
}

/// How controllers reach the services and each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Routing {
    /// Directly.
    Direct,
    /// Through the proxies of the links.
    ThroughLinks,
}

/// Returns the content of the settings file of a controller.
pub(crate) fn settings_file(
    controller: ControllerId,
    zone: &str,
    topology: &Topology,
    routing: Routing,
    deployment: &Deployment,
) -> String {
    let address = |link| match routing {
        Routing::Direct => topology.link_target(link),
        Routing::ThroughLinks => topology.link_entry(link),
    };
    let peer = |to: ControllerId| PeerEntry {
        node: to.name(),
        peer_addr: address(Link::Peer {
            from: controller,
            to,
        }),
    };
    let file = SettingsFile {
        node: controller.name(),
        zone,
        api_addr: topology.api_address(controller),
        internal_addr: topology.internal_address(controller),
        peers: controller.peers().map(peer).collect(),
        external: External {
            cloud: address(Link::Cloud(controller)),
            state: address(Link::Store(controller)),
        },
        deployment,
    };
    toml::to_string(&file).expect("the settings can be written as TOML")
}
