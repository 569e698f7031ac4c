//! The status of this controller for its operators: `GET /metrics` at the address for peers, and a log line at an interval.

mod gauges;
mod log;

pub(super) use gauges::StatusGauges;

use super::connection_activity::{record_request, ActivityCounts, Client};
use super::{responses, ApiState};
use crate::controller::{ControllerStatus, GetStatus};
use actix_web::{web, HttpRequest, HttpResponse};
use prometheus_client::encoding::text::encode;
use std::time::{Duration, Instant};

/// Interval of the log line.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Content type of the metrics.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The status of the controller and of its API at a moment.
struct Status {
    controller: ControllerStatus,
    activity: ActivityCounts,
    open_connections: usize,
    longest_connection_wait: Duration,
    requests_in_progress: usize,
    concurrency_limit: usize,
}

/// Returns the status, or `None` if the controller has stopped.
async fn read_status(state: &ApiState) -> Option<Status> {
    let controller = state.controller.send(GetStatus).await.ok()?;
    Some(Status {
        controller,
        activity: state.connections.activity().counts(Instant::now()),
        open_connections: state.connections.open_count(),
        longest_connection_wait: state.connections.take_longest_wait(),
        requests_in_progress: state.concurrency_limit.in_progress(),
        concurrency_limit: state.concurrency_limit.limit(),
    })
}

/// `GET /metrics`: returns the metrics as `OpenMetrics` text.
pub(super) async fn metrics(state: web::Data<ApiState>, request: HttpRequest) -> HttpResponse {
    record_request(&request, Client::Monitor);
    let Some(status) = read_status(&state).await else {
        return responses::stopping();
    };
    state.status_gauges.set(&status);
    let mut text = String::new();
    match encode(&mut text, &state.registry) {
        Ok(()) => HttpResponse::Ok().content_type(OPENMETRICS).body(text),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

/// Logs the status at an interval, as long as the process runs.
pub(super) async fn run_status_log(state: web::Data<ApiState>) {
    while tracing::enabled!(tracing::Level::INFO) {
        tokio::time::sleep(LOG_INTERVAL).await;
        if let Some(status) = read_status(&state).await {
            log::log_status(&state.metrics, &status);
        }
    }
}
