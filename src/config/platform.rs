//! The platform's settings file.

use crate::time::duration;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// The platform's settings.
#[derive(Debug, Clone, Deserialize)]
pub struct PlatformSettings {
    /// Name of this controller.
    pub node: String,
    /// Zone of this controller.
    pub zone: String,
    /// Address for users, workers and health checks.
    pub api_addr: SocketAddr,
    /// Address for the other controllers.
    pub internal_addr: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Services outside the deployment.
    pub external: ExternalServices,
    /// Parameters of the deployment, the same for all of its controllers.
    pub deployment: Deployment,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Name.
    pub node: String,
    /// Address for the other controllers.
    pub peer_addr: SocketAddr,
}

/// Addresses of services outside the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct ExternalServices {
    /// The cloud that rents machines.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// Parameters of a deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Teams and their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives of the classes of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of workers.
    pub workers: WorkerTimings,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of the machine that this controller runs on.
    pub machine_limits: MachineLimits,
}

/// The quota of a team. An amount of 0 means none, for guarantees as well as for limits.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Limit of CPUs in use.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Limit of accelerators in use.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective of a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is measured: `wait`, `deadline`, `finished` or `guarantee`.
    pub kind: String,
    /// The class, for kinds that have one.
    pub class: Option<String>,
    /// The time allowed, in seconds.
    pub within_s: Option<f64>,
}

impl Objective {
    /// The time allowed, for kinds that have one.
    #[must_use]
    pub fn time_allowed(&self) -> Option<Duration> {
        self.within_s.map(duration)
    }
}

/// Timing of workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTimings {
    /// Interval between two heartbeats.
    pub report_s: f64,
    /// Time after which a worker that is not answered kills its tasks.
    pub lease_s: f64,
    /// Time after a cancellation at which all tasks of the job must be gone.
    pub cancel_s: f64,
}

impl WorkerTimings {
    /// Interval between two heartbeats of a worker.
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        duration(self.report_s)
    }

    /// Lease of a worker, counted from the sending of its last heartbeat that was answered.
    #[must_use]
    pub fn lease(&self) -> Duration {
        duration(self.lease_s)
    }
}

/// Limits of the state service, shared by all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Puts and deletes per second.
    pub write_rps: f64,
    /// Size of a value, in KiB.
    pub value_kb: f64,
    /// Puts and deletes in a transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud, shared by all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Time by which the list of machines lags behind, in seconds; now and then twice as much.
    pub list_lag_s: f64,
}

impl CloudLimits {
    /// Time by which the list of machines usually lags behind.
    #[must_use]
    pub fn list_lag(&self) -> Duration {
        duration(self.list_lag_s)
    }
}

/// Limits of the machine that this controller runs on.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// Memory in MiB, where the platform states it.
    #[serde(default)]
    pub ram_mb: Option<f64>,
    /// Open sockets.
    pub max_connections: usize,
}

/// Memory of a connection in KiB: its buffers, and what its requests hold. As measured (docs/results.md).
const CONNECTION_KIB: f64 = 26.0;
/// The part of the memory that connections may use.
const CONNECTION_MEMORY_SHARE: f64 = 0.6;
/// The part of the sockets that the server may use.
const SERVER_SOCKETS_PERCENT: usize = 85;
/// Connections that the server accepts however tight the limits are.
const MIN_SERVER_CONNECTIONS: usize = 8;

impl MachineLimits {
    /// How many connections the server keeps at a time. The other sockets are for calls to the state service, the cloud, peers
    /// and workers, and for connections that are being closed. Memory limits it too, as a process that runs out of memory is
    /// killed.
    #[must_use]
    pub fn max_server_connections(&self) -> usize {
        let by_sockets = self.max_connections * SERVER_SOCKETS_PERCENT / 100;
        let by_memory = self.ram_mb.map_or(usize::MAX, connections_within);
        by_sockets.min(by_memory).max(MIN_SERVER_CONNECTIONS)
    }
}

/// How many connections fit into their part of the memory.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float to integer casts saturate, which is what is wanted"
)]
fn connections_within(ram_mb: f64) -> usize {
    (ram_mb * 1024.0 * CONNECTION_MEMORY_SHARE / CONNECTION_KIB) as usize
}
