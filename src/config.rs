//! Settings: the platform's file (unknown fields ignored) and the operators' own (unknown keys refused).

#[cfg(test)]
pub(crate) mod tests;

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use thiserror::Error;

/// What can be wrong with the settings; the message names the field.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Read {
        /// File.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not valid TOML of the expected form.
    #[error("{file}: {message}")]
    Parse {
        /// File.
        file: String,
        /// The parser's words.
        message: String,
    },
    /// A value makes no sense.
    #[error("{file}: `{field}` {problem}")]
    Value {
        /// File.
        file: String,
        /// Field.
        field: String,
        /// What is wrong.
        problem: &'static str,
    },
}

/// The platform's settings.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// This node's name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Address for users, workers and health checks.
    pub api_addr: SocketAddr,
    /// Address for the other controllers.
    pub internal_addr: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Outside services.
    pub external: External,
    /// The deployment.
    pub deployment: Deployment,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Name.
    pub node: String,
    /// Address for controllers.
    pub peer_addr: SocketAddr,
}

/// Addresses of outside services.
#[derive(Debug, Clone, Deserialize)]
pub struct External {
    /// Cloud.
    pub cloud: SocketAddr,
    /// State service.
    pub state: SocketAddr,
}

/// The deployment's parameters.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Aims repeated for the service.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers.
    pub workers: Workers,
    /// State service limits.
    pub state: StateLimits,
    /// Cloud limits.
    pub cloud: CloudLimits,
    /// This machine's limits.
    pub machine_limits: MachineLimits,
}

/// A team; 0 means none, for guarantees as for limits.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Most accelerators.
    #[serde(default)]
    pub gpus_max: f64,
}

/// What is expected of a class when starting and finishing.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// `wait`, `deadline`, `finished` or `guarantee`.
    pub kind: String,
    /// Class, where the kind has one.
    pub class: Option<String>,
    /// Time allowed.
    pub within_s: Option<f64>,
}

/// Worker timing.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Between reports.
    pub report_s: f64,
    /// Lease.
    pub lease_s: f64,
    /// Until a cancelled job's tasks must be gone.
    pub cancel_s: f64,
}

/// State service limits.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// KiB a value.
    pub value_kb: f64,
    /// Changes a transaction.
    pub txn_ops: usize,
}

/// Cloud limits.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Calls a second.
    pub rps: f64,
    /// How far the list lags.
    pub list_lag_s: f64,
}

/// Limits of the controller's machine.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// Memory in MiB, where it is told.
    #[serde(default)]
    pub ram_mb: Option<f64>,
    /// Sockets.
    pub max_connections: usize,
}

/// Memory that a connection takes: its buffers, and what its requests hold. As measured (docs/results.md).
const CONNECTION_KIB: f64 = 26.0;
/// The part of the memory that connections may take.
const CONNECTION_MEMORY: f64 = 0.6;

impl MachineLimits {
    /// How many connections the server keeps at a time. The other sockets are for calls to the store, the cloud, peers and
    /// workers, and for what is being closed; a process that runs out of memory is killed.
    #[must_use]
    pub fn server_connections(&self) -> usize {
        let by_sockets = self.max_connections * 17 / 20;
        let by_memory = self
            .ram_mb
            .map(|mb| (mb * 1024.0 * CONNECTION_MEMORY / CONNECTION_KIB) as usize);
        by_sockets.min(by_memory.unwrap_or(usize::MAX)).max(8)
    }
}

/// The operators' own settings; each has a default.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Machines whose capability lies within this factor form a group.
    pub group_factor: f64,
    /// Fetch rate assumed until one is measured, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Whether the image transfer test decides between holders and others.
    pub transfer_test: bool,
    /// Whether starts are also sent straight to the workers.
    pub direct_starts: bool,
    /// An idle machine is returned after this time, in seconds.
    pub idle_return_s: f64,
    /// Life of the leader lease, in seconds.
    pub hold_s: f64,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            group_factor: 1.25,
            fetch_gb_per_s: 0.1,
            transfer_test: true,
            direct_starts: true,
            idle_return_s: 45.0,
            hold_s: 2.5,
        }
    }
}

/// All settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The platform's.
    pub platform: Platform,
    /// The operators'.
    pub operator: Operator,
}

fn read<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
        file: file.clone(),
        source,
    })?;
    toml::from_str(&text).map_err(|e| ConfigError::Parse {
        file,
        message: e.to_string().trim().to_string(),
    })
}

impl Settings {
    /// Reads and checks both files.
    pub fn load(platform: &Path, operator: Option<&Path>) -> Result<Settings, ConfigError> {
        let settings = Settings {
            platform: read(platform)?,
            operator: match operator {
                Some(path) => read(path)?,
                None => Operator::default(),
            },
        };
        settings.check(platform, operator.unwrap_or(platform))?;
        Ok(settings)
    }

    fn check(&self, platform: &Path, operator: &Path) -> Result<(), ConfigError> {
        let fail = |file: &Path, field: &str, problem| {
            Err(ConfigError::Value {
                file: file.display().to_string(),
                field: field.into(),
                problem,
            })
        };
        let d = &self.platform.deployment;
        for (field, value) in [
            ("deployment.workers.report_s", d.workers.report_s),
            ("deployment.workers.lease_s", d.workers.lease_s),
            ("deployment.workers.cancel_s", d.workers.cancel_s),
            ("deployment.state.rps", d.state.rps),
            ("deployment.state.write_rps", d.state.write_rps),
            ("deployment.state.value_kb", d.state.value_kb),
            ("deployment.cloud.rps", d.cloud.rps),
        ] {
            if !(value.is_finite() && value > 0.0) {
                return fail(platform, field, "must be a number above 0");
            }
        }
        if d.state.txn_ops < 4 {
            return fail(platform, "deployment.state.txn_ops", "must be at least 4");
        }
        if d.workers.lease_s <= d.workers.report_s {
            return fail(
                platform,
                "deployment.workers.lease_s",
                "must exceed report_s",
            );
        }
        if d.workers.cancel_s <= d.workers.lease_s {
            return fail(
                platform,
                "deployment.workers.cancel_s",
                "must exceed lease_s",
            );
        }
        for t in &d.teams {
            for (amount, most) in [(t.cpus, t.cpus_max), (t.gpus, t.gpus_max)] {
                if !(amount.is_finite() && most.is_finite() && amount >= 0.0 && most >= 0.0) {
                    return fail(
                        platform,
                        "deployment.teams",
                        "has a negative or non-finite amount",
                    );
                }
                if most > 0.0 && amount > most {
                    return fail(
                        platform,
                        "deployment.teams",
                        "guarantees more than its limit",
                    );
                }
            }
        }
        if self
            .platform
            .peers
            .iter()
            .any(|p| p.node == self.platform.node)
        {
            return fail(platform, "peers", "contains this node");
        }
        let o = &self.operator;
        if !(o.group_factor.is_finite() && o.group_factor >= 1.0) {
            return fail(operator, "group_factor", "must be at least 1");
        }
        if !(o.fetch_gb_per_s.is_finite() && o.fetch_gb_per_s > 0.0) {
            return fail(operator, "fetch_gb_per_s", "must be above 0");
        }
        if !(o.idle_return_s.is_finite() && o.idle_return_s >= 0.0) {
            return fail(operator, "idle_return_s", "must be 0 or more");
        }
        if !(0.5..=60.0).contains(&o.hold_s) {
            return fail(operator, "hold_s", "must be from 0.5 to 60");
        }
        Ok(())
    }

    /// The grace period: how long after its authority to start has ended a leader may go on renewing leases, in milliseconds.
    /// Short enough that a task of a job cancelled elsewhere meanwhile is gone in time. The authority to start ends within a
    /// leader lease of the sending of the last read that the mirror has reached, so that a cancellation the leader does not know
    /// of was confirmed after that; from then on a leader lease, this period and a worker's lease pass at most.
    #[must_use]
    pub fn grace_ms(&self) -> u64 {
        let w = &self.platform.deployment.workers;
        // The leader lease itself, and for stops that come late after all what two reports and their answers take.
        let margin = self.operator.hold_s + 1.5 + 2.0 * w.report_s;
        ((w.cancel_s - w.lease_s * 1.001 - margin) * 1000.0).max(0.0) as u64
    }
}
