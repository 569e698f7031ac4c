//! Workers' heartbeats.

use super::connection_activity::{record_request, Client};
use super::metrics::HeartbeatAnswer;
use super::{responses, ApiState};
use crate::controller::{Heartbeat, HeartbeatOutcome, HeartbeatResponse};
use crate::protocol::{decode, Redirect, WorkerStatus};
use actix_web::http::StatusCode;
use actix_web::{web, HttpRequest, HttpResponse};
use std::time::Instant;

/// `POST /hello`: handles a heartbeat. The reply carries commands and renews the worker's lease.
pub(super) async fn heartbeat(
    state: web::Data<ApiState>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    record_request(&request, Client::Worker);
    let status = match decode::<WorkerStatus>(&body) {
        Ok(status) => status,
        Err(error) => {
            tracing::info!(bytes = body.len(), %error, "heartbeat rejected: body cannot be decoded");
            return responses::malformed();
        }
    };
    let mut response = match state.controller.send(Heartbeat(status)).await {
        Ok(decision) => {
            let now = Instant::now();
            let answer = HeartbeatAnswer::to(&decision.outcome, decision.is_valid(now));
            state.metrics.record_heartbeat(answer);
            heartbeat_response(decision, now)
        }
        Err(_) => responses::stopping(),
    };
    // A worker that was not served here turns to another controller.
    let is_served = response.status() == StatusCode::OK;
    if !is_served || !state.connections.may_keep_alive() {
        responses::close_connection(&mut response);
    }
    response
}

/// Maps the outcome of a heartbeat to a response.
///
/// A reply is not sent if the authority under which it was decided has ended since, for example during a pause of the process.
/// Its commands might start a task that has been cancelled in the meantime, and it would renew the worker's lease.
pub(super) fn heartbeat_response(decision: HeartbeatResponse, now: Instant) -> HttpResponse {
    let is_valid = decision.is_valid(now);
    match decision.outcome {
        HeartbeatOutcome::Reply(reply) if is_valid => responses::message(StatusCode::OK, &reply),
        HeartbeatOutcome::Redirect(leader) => {
            responses::message(StatusCode::MISDIRECTED_REQUEST, &Redirect { leader })
        }
        HeartbeatOutcome::Reply(_) | HeartbeatOutcome::NoLeader => {
            responses::error(StatusCode::SERVICE_UNAVAILABLE, "no authority to act")
        }
    }
}
