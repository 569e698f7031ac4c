//! Settings in the platform's file.

use crate::time::duration_from_secs;
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
    /// Address that serves users, workers and health checks.
    pub api_addr: SocketAddr,
    /// Address that serves the other controllers.
    pub internal_addr: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Addresses of services outside the deployment.
    pub external: ExternalServices,
    /// Parameters of the deployment, which are the same for all of its controllers.
    pub deployment: Deployment,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Name of the controller.
    pub node: String,
    /// Address that serves the other controllers.
    pub peer_addr: SocketAddr,
}

/// Addresses of services outside the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct ExternalServices {
    /// Address of the cloud that rents out machines.
    pub cloud: SocketAddr,
    /// Address of the state service.
    pub state: SocketAddr,
}

/// Parameters of a deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Teams and their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timings of workers.
    pub workers: WorkerTimings,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of the machine that this controller runs on.
    pub machine_limits: MachineLimits,
}

/// The quota of a team. A guarantee of 0 means no guarantee, and a limit of 0 means no limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Limit on CPUs in use.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Limit on GPUs in use.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective, usually for a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind of the objective: `wait`, `deadline`, `finished` or `guarantee`.
    pub kind: String,
    /// Class of jobs, for kinds that apply to one class.
    pub class: Option<String>,
    /// Time allowed in seconds, for kinds with a time limit.
    pub within_s: Option<f64>,
}

impl Objective {
    /// Returns the time allowed, for kinds with a time limit.
    #[must_use]
    pub fn time_allowed(&self) -> Option<Duration> {
        self.within_s.map(duration_from_secs)
    }
}

/// Timings of workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTimings {
    /// Interval between two heartbeats of a worker.
    pub report_s: f64,
    /// Lease of a worker: the time after which a worker kills its tasks if none of its heartbeats is answered.
    pub lease_s: f64,
    /// Time within which all tasks of a job must be gone after its cancellation.
    pub cancel_s: f64,
}

impl WorkerTimings {
    /// Returns the interval between two heartbeats of a worker.
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        duration_from_secs(self.report_s)
    }

    /// Returns the duration of a worker's lease, which starts when the worker sends a heartbeat that is answered.
    #[must_use]
    pub fn lease(&self) -> Duration {
        duration_from_secs(self.lease_s)
    }
}

/// Limits of the state service, shared by all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum number of changes, which are puts and deletes, per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
    /// Limits that the state service will have from some later moment, without notice.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

impl StateLimits {
    /// Returns the limits that hold both now and after the announced change: the lower of each pair.
    #[must_use]
    pub fn lowest(&self) -> StateLimits {
        let next = self.next.unwrap_or_default();
        let lower = |now: f64, next: Option<f64>| next.map_or(now, |next| now.min(next));
        StateLimits {
            rps: lower(self.rps, next.rps),
            write_rps: lower(self.write_rps, next.write_rps),
            value_kb: lower(self.value_kb, next.value_kb),
            txn_ops: self.txn_ops.min(next.txn_ops.unwrap_or(self.txn_ops)),
            next: None,
        }
    }
}

/// Announced limits of the state service. One that is not given stays as it is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
pub struct NextStateLimits {
    /// Maximum number of requests per second.
    pub rps: Option<f64>,
    /// Maximum number of changes per second.
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KiB.
    pub value_kb: Option<f64>,
    /// Maximum number of changes in a transaction.
    pub txn_ops: Option<usize>,
}

/// Limits of the cloud, shared by all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Usual lag of the list of machines, in seconds. Occasionally the list lags behind twice as long.
    pub list_lag_s: f64,
}

impl CloudLimits {
    /// Returns the usual lag of the list of machines.
    #[must_use]
    pub fn list_lag(&self) -> Duration {
        duration_from_secs(self.list_lag_s)
    }
}

/// Limits of the machine that this controller runs on.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// Memory in MiB, if the platform specifies it.
    #[serde(default)]
    pub ram_mb: Option<f64>,
    /// Maximum number of open sockets.
    pub max_connections: usize,
}

/// Memory per connection in KiB, for its buffers and the state of its requests (docs/results.md).
const MEMORY_PER_CONNECTION_KIB: f64 = 26.0;
/// Share of the memory that connections may use.
const CONNECTION_MEMORY_SHARE: f64 = 0.6;
/// Share of the sockets that the server may use, in percent.
const SERVER_SOCKETS_PERCENT: usize = 85;
/// Number of connections that the server accepts even if the limits are lower.
const MIN_SERVER_CONNECTIONS: usize = 8;

impl MachineLimits {
    /// Returns the maximum number of concurrent connections of the server. The remaining sockets are reserved for calls to the
    /// state service, the cloud, peers and workers, and for connections that are being closed. The number is also limited by
    /// memory, since a process that runs out of memory is killed.
    #[must_use]
    pub fn max_server_connections(&self) -> usize {
        let socket_limit = self.max_connections * SERVER_SOCKETS_PERCENT / 100;
        let memory_limit = self.ram_mb.map_or(usize::MAX, connections_within_memory);
        socket_limit.min(memory_limit).max(MIN_SERVER_CONNECTIONS)
    }
}

/// Returns the number of connections that fit into their share of the memory.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float to integer casts saturate, as intended"
)]
fn connections_within_memory(ram_mb: f64) -> usize {
    (ram_mb * 1024.0 * CONNECTION_MEMORY_SHARE / MEMORY_PER_CONNECTION_KIB) as usize
}
