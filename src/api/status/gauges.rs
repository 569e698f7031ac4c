//! Gauges that are set when the metrics are read.

use super::Status;
use crate::controller::ControllerStatus;
use crate::coordination::leadership::Role;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

type SecondsGauge = Gauge<f64, AtomicU64>;

/// The gauges of a controller and of its API.
pub(in crate::api) struct StatusGauges {
    controller: ControllerGauges,
    api: ApiGauges,
}

impl StatusGauges {
    /// Creates the gauges and registers them.
    pub(in crate::api) fn new(registry: &mut Registry) -> StatusGauges {
        StatusGauges {
            controller: ControllerGauges::new(registry),
            api: ApiGauges::new(registry),
        }
    }

    /// Sets all gauges.
    pub(super) fn set(&self, status: &Status) {
        self.controller.set(&status.controller);
        self.api.set(status);
    }
}

struct ControllerGauges {
    leader: Gauge,
    epoch: Gauge,
    replica_revision: Gauge,
    replica_lag: SecondsGauge,
    healthy: Gauge,
    unfinished_jobs: Gauge,
    machines: Gauge,
    store_value_limit: Gauge,
    store_change_limit: Gauge,
    timer_delay: SecondsGauge,
}

impl ControllerGauges {
    fn new(registry: &mut Registry) -> ControllerGauges {
        let mut count = |name, help| register_count(registry, name, help);
        ControllerGauges {
            leader: count("leader", "Whether this controller leads"),
            epoch: count("epoch", "Newest epoch observed"),
            replica_revision: count("replica_revision", "Revision of the replica"),
            healthy: count("healthy", "Whether users should be sent here"),
            unfinished_jobs: count("unfinished_jobs", "Unfinished jobs in the replica"),
            machines: count("machines", "Machines that the leader knows"),
            store_value_limit: count(
                "store_value_limit_bytes",
                "Maximum size of a value that is written to the state service",
            ),
            store_change_limit: count(
                "store_change_limit",
                "Maximum number of changes in a transaction",
            ),
            replica_lag: register_seconds(
                registry,
                "replica_lag_seconds",
                "Age of the oldest read that the replica has not caught up with",
            ),
            timer_delay: register_seconds(
                registry,
                "timer_delay_seconds",
                "Longest delay of a timer since the last status",
            ),
        }
    }

    fn set(&self, status: &ControllerStatus) {
        let is_leader = matches!(status.role, Role::Leading(_));
        self.leader.set(i64::from(is_leader));
        self.epoch.set(saturating(status.epoch.as_u64()));
        self.replica_revision
            .set(saturating(status.revision.as_u64()));
        self.healthy.set(i64::from(status.is_healthy));
        self.unfinished_jobs
            .set(saturating(status.unfinished_jobs as u64));
        self.machines.set(saturating(status.machines as u64));
        self.store_value_limit
            .set(saturating(status.store_value_bytes as u64));
        self.store_change_limit
            .set(saturating(status.store_txn_changes as u64));
        self.replica_lag.set(status.replica_lag.as_secs_f64());
        self.timer_delay
            .set(status.longest_timer_delay.as_secs_f64());
    }
}

struct ApiGauges {
    connections: Gauge,
    idle_connections: Gauge,
    requests_in_progress: Gauge,
    concurrency_limit: Gauge,
    connection_wait: SecondsGauge,
}

impl ApiGauges {
    fn new(registry: &mut Registry) -> ApiGauges {
        let mut count = |name, help| register_count(registry, name, help);
        ApiGauges {
            connections: count("connections", "Open connections"),
            idle_connections: count("idle_connections", "Connections without a recent request"),
            requests_in_progress: count(
                "user_requests_in_progress",
                "Users' requests that count towards the concurrency limit",
            ),
            concurrency_limit: count("concurrency_limit", "Limit on users' requests in progress"),
            connection_wait: register_seconds(
                registry,
                "connection_wait_seconds",
                "Longest wait for the connection limit since the last status",
            ),
        }
    }

    fn set(&self, status: &Status) {
        self.connections
            .set(saturating(status.open_connections as u64));
        self.idle_connections
            .set(saturating(status.activity.idle as u64));
        self.requests_in_progress
            .set(saturating(status.requests_in_progress as u64));
        self.concurrency_limit
            .set(saturating(status.concurrency_limit as u64));
        self.connection_wait
            .set(status.longest_connection_wait.as_secs_f64());
    }
}

fn register_count(registry: &mut Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::default();
    registry.register(name, help, gauge.clone());
    gauge
}

fn register_seconds(registry: &mut Registry, name: &str, help: &str) -> SecondsGauge {
    let gauge = SecondsGauge::default();
    registry.register(name, help, gauge.clone());
    gauge
}

/// Converts a count to the type of a gauge.
fn saturating(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
