//! The status as log lines. Counts of requests and answers are totals since the start of the process.

use super::Status;
use crate::api::metrics::{ApiMetrics, HeartbeatAnswer, UserAnswer};
use crate::controller::ControllerStatus;

/// Logs a status.
pub(super) fn log_status(metrics: &ApiMetrics, status: &Status) {
    log_controller(&status.controller);
    log_store_requests(&status.controller);
    log_connections(status);
    log_user_requests(metrics, status);
    tracing::info!(
        replied = metrics.heartbeats(HeartbeatAnswer::Replied),
        withheld = metrics.heartbeats(HeartbeatAnswer::Withheld),
        redirected = metrics.heartbeats(HeartbeatAnswer::Redirected),
        no_leader = metrics.heartbeats(HeartbeatAnswer::NoLeader),
        "status: heartbeats"
    );
}

fn log_controller(controller: &ControllerStatus) {
    tracing::info!(
        role = ?controller.role,
        authority = ?controller.authority,
        epoch = %controller.epoch,
        revision = %controller.revision,
        replica_lag_ms = controller.replica_lag.as_millis(),
        healthy = controller.is_healthy,
        store_reachable = controller.is_store_reachable,
        jobs = controller.unfinished_jobs,
        machines = controller.machines,
        withheld_commands = controller.withheld_commands,
        timer_delay_ms = controller.longest_timer_delay.as_millis(),
        "status: controller"
    );
}

fn log_store_requests(controller: &ControllerStatus) {
    let (requests, reads) = (&controller.store_requests, &controller.reads);
    tracing::info!(
        answered = requests.answered,
        rate_limited = requests.rate_limited,
        unavailable = requests.unavailable,
        failed = requests.failed,
        refused = requests.refused,
        value_limit_bytes = controller.store_value_bytes,
        change_limit = controller.store_txn_changes,
        loads_completed = requests.loads_completed,
        loads_failed = requests.loads_failed,
        reads_completed = reads.completed,
        reads_failed = reads.failed,
        user_reads_admitted = reads.user_admitted,
        user_reads_refused = reads.user_refused,
        "status: requests to the store"
    );
}

fn log_connections(status: &Status) {
    let activity = &status.activity;
    tracing::info!(
        open = status.open_connections,
        unknown = activity.unknown,
        users = activity.users,
        workers = activity.workers,
        peers = activity.peers,
        monitors = activity.monitors,
        idle = activity.idle,
        longest_wait_ms = status.longest_connection_wait.as_millis(),
        "status: connections"
    );
}

fn log_user_requests(metrics: &ApiMetrics, status: &Status) {
    tracing::info!(
        in_progress = status.requests_in_progress,
        waiting = metrics.waiting_users(),
        limit = status.concurrency_limit,
        abandoned = metrics.abandoned_requests(),
        accepted = metrics.user_answers(UserAnswer::Accepted),
        known = metrics.user_answers(UserAnswer::Known),
        not_found = metrics.user_answers(UserAnswer::NotFound),
        rejected = metrics.user_answers(UserAnswer::Rejected),
        retry_later = metrics.user_answers(UserAnswer::RetryLater),
        over_limit = metrics.user_answers(UserAnswer::OverLimit),
        "status: requests of users"
    );
}
