//! Users' requests: submissions, polls and cancellations of jobs.

use super::connection_activity::{record_request, Client};
use super::metrics::UserAnswer;
use super::{responses, ApiState};
use crate::admission::concurrency_limit::{Completion, Permit, RequestKind};
use crate::controller::{Cancel, JobOutcome, Poll, Submit};
use crate::protocol::{decode, is_job_id, JobSpec};
use actix_web::http::StatusCode;
use actix_web::{web, HttpRequest, HttpResponse};
use std::future::Future;
use std::time::{Duration, Instant};

/// Time after which a user may repeat a request that the concurrency limit refused.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Bound on the duration of a user's request, above the sum of its timeouts for every leader lease that the settings allow.
const MAX_REQUEST_DURATION: Duration = Duration::from_mins(2);

/// `POST /v1/jobs`: submits a job.
pub(super) async fn submit(
    state: web::Data<ApiState>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    record_request(&request, Client::User);
    let Ok(spec) = decode::<JobSpec>(&body) else {
        return responses::malformed();
    };
    if let Err(invalid) = spec.validate() {
        return responses::error(StatusCode::BAD_REQUEST, &invalid.to_string());
    }
    let controller = state.controller.clone();
    let outcome = async move { controller.send(Submit(spec)).await.ok() };
    respond_within_limit(&state, RequestKind::Change, outcome).await
}

/// `GET /v1/jobs/{id}`: returns the state of a job.
pub(super) async fn poll(
    state: web::Data<ApiState>,
    request: HttpRequest,
    id: web::Path<String>,
) -> HttpResponse {
    record_request(&request, Client::User);
    if !is_job_id(&id) {
        return no_such_job();
    }
    let controller = state.controller.clone();
    let outcome = async move { controller.send(Poll(id.into_inner())).await.ok() };
    respond_within_limit(&state, RequestKind::Query, outcome).await
}

/// `POST /v1/jobs/{id}/abort`: cancels a job.
pub(super) async fn cancel(
    state: web::Data<ApiState>,
    request: HttpRequest,
    id: web::Path<String>,
) -> HttpResponse {
    record_request(&request, Client::User);
    if !is_job_id(&id) {
        return no_such_job();
    }
    let controller = state.controller.clone();
    let outcome = async move { controller.send(Cancel(id.into_inner())).await.ok() };
    respond_within_limit(&state, RequestKind::Change, outcome).await
}

/// Runs a request to the controller if the concurrency limit admits it, and maps its outcome to a response. The request returns
/// `None` if the controller has stopped.
///
/// The request goes on if its client disconnects, which drops the future that this function returns. Its permit ends with it.
async fn respond_within_limit(
    state: &ApiState,
    kind: RequestKind,
    request: impl Future<Output = Option<JobOutcome>> + 'static,
) -> HttpResponse {
    let Some(permit) = state.concurrency_limit.try_acquire(kind) else {
        state.metrics.record_user_answer(UserAnswer::OverLimit);
        let overloaded = StatusCode::TOO_MANY_REQUESTS;
        let reason = "too many requests in progress";
        return responses::retry_later(overloaded, reason, OVERLOAD_RETRY_AFTER);
    };
    let waiting = state.metrics.track_waiting_user();
    let running = actix::spawn(run_with_permit(permit, kind, request));
    let outcome = running.await.unwrap_or(JobOutcome::RETRY_SOON);
    state.metrics.record_user_answer(UserAnswer::from(&outcome));
    waiting.answered();
    job_response(outcome)
}

/// Runs an admitted request to its end, within [`MAX_REQUEST_DURATION`], and returns its permit.
async fn run_with_permit(
    permit: Permit,
    kind: RequestKind,
    request: impl Future<Output = Option<JobOutcome>>,
) -> JobOutcome {
    let started = Instant::now();
    let ended = tokio::time::timeout(MAX_REQUEST_DURATION, request).await;
    if ended.is_err() {
        let bound_s = MAX_REQUEST_DURATION.as_secs();
        tracing::error!(
            ?kind,
            bound_s,
            "request of a user exceeded its bound, given up"
        );
    }
    let outcome = ended.ok().flatten().unwrap_or(JobOutcome::RETRY_SOON);
    permit.complete(match outcome {
        JobOutcome::RetryAfter(_) => Completion::NotServed,
        _ => Completion::Served(started.elapsed()),
    });
    outcome
}

/// Maps the outcome of a request about a job to a response.
pub(super) fn job_response(outcome: JobOutcome) -> HttpResponse {
    match outcome {
        JobOutcome::Accepted(view) => responses::message(StatusCode::CREATED, &view),
        JobOutcome::Known(view) => responses::message(StatusCode::OK, &view),
        JobOutcome::NotFound => no_such_job(),
        JobOutcome::Rejected(reason) => {
            responses::error(StatusCode::UNPROCESSABLE_ENTITY, &reason.to_string())
        }
        JobOutcome::RetryAfter(after) => {
            let unavailable = StatusCode::SERVICE_UNAVAILABLE;
            let mut response = responses::retry_later(unavailable, "try again", after);
            // On a new connection the user may reach another controller. Without this, the users of a controller that had
            // lost its connection to the store once stayed with it.
            responses::close_connection(&mut response);
            response
        }
    }
}

fn no_such_job() -> HttpResponse {
    responses::error(StatusCode::NOT_FOUND, "no such job")
}
