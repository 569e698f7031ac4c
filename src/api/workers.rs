//! Heartbeats of workers.

use super::{responses, ApiState};
use crate::controller::{Heartbeat, HeartbeatOutcome, HeartbeatResponse};
use crate::protocol::{decode, Redirect, WorkerStatus};
use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use std::time::Instant;

/// `POST /hello`: a heartbeat. The response carries commands and renews the lease of the worker.
pub(super) async fn heartbeat(state: web::Data<ApiState>, body: web::Bytes) -> HttpResponse {
    let status = match decode::<WorkerStatus>(&body) {
        Ok(status) => status,
        Err(error) => {
            tracing::info!(bytes = body.len(), %error, "heartbeat not understood");
            return responses::malformed();
        }
    };
    let mut response = match state.controller.send(Heartbeat(status)).await {
        Ok(decided) => heartbeat_response(decided, Instant::now()),
        Err(_) => responses::stopping(),
    };
    // A worker that is not served here goes on to another controller.
    let is_served = response.status() == StatusCode::OK;
    if !is_served || !state.connections.may_keep_alive() {
        responses::close_connection(&mut response);
    }
    response
}

/// Maps the outcome of a heartbeat to a response. Commands that were decided under an authority that has ended since, while
/// the process was paused, are not sent: they might start a task that has been cancelled meanwhile, and the response would
/// renew the lease.
pub(super) fn heartbeat_response(decided: HeartbeatResponse, now: Instant) -> HttpResponse {
    let is_valid = decided.valid_until.is_some_and(|until| now < until);
    match decided.outcome {
        HeartbeatOutcome::Reply(reply) if is_valid => responses::message(StatusCode::OK, &reply),
        HeartbeatOutcome::Redirect(leader) => {
            responses::message(StatusCode::MISDIRECTED_REQUEST, &Redirect { leader })
        }
        HeartbeatOutcome::Reply(_) | HeartbeatOutcome::NoLeader => {
            responses::error(StatusCode::SERVICE_UNAVAILABLE, "no authority to act")
        }
    }
}
