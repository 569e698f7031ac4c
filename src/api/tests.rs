//! Tests of the HTTP responses to outcomes and to requests beyond the concurrency limit.

use super::connections::Connections;
use super::users::{self, job_response};
use super::workers::heartbeat_response;
use super::{configure_routes, ApiState, Audience, CONNECTIONS_PER_USER_REQUEST};
use crate::admission::concurrency_limit::{Permit, RequestKind};
use crate::config::tests::settings;
use crate::controller::{
    Controller, HeartbeatOutcome, HeartbeatResponse, JobOutcome, JobRejection,
};
use crate::protocol::{FencingToken, HeartbeatReply, JobState, JobView};
use actix::Actor;
use actix_web::body::MessageBody;
use actix_web::http::ConnectionType;
use actix_web::test::{call_service, init_service, read_body, TestRequest};
use actix_web::{web, App};
use futures_util::FutureExt;
use prometheus_client::registry::Registry;
use std::time::{Duration, Instant};

/// Bound on the duration of a poll: a linearizable read of 1.5 s, then a read of the store of 1.5 s, and a margin.
const MAX_POLL_DURATION: Duration = Duration::from_secs(4);

#[test]
fn a_retry_later_response_has_a_retry_after_header_and_closes_the_connection() {
    let response = job_response(JobOutcome::RetryAfter(Duration::from_secs(7)));
    assert_eq!(
        (
            response.status().as_u16(),
            response
                .headers()
                .get("retry-after")
                .unwrap()
                .to_str()
                .unwrap()
        ),
        (503, "7")
    );
    assert_eq!(response.head().connection_type(), ConnectionType::Close);
    assert_ne!(
        job_response(JobOutcome::NotFound).head().connection_type(),
        ConnectionType::Close
    );
}

#[test]
fn a_heartbeat_reply_is_withheld_once_its_authority_has_expired() {
    let now = Instant::now();
    let status_with_expiry = |valid_until| {
        let outcome = HeartbeatOutcome::Reply(HeartbeatReply {
            token: FencingToken::new(5),
            commands: Vec::new(),
        });
        heartbeat_response(
            HeartbeatResponse {
                outcome,
                valid_until,
            },
            now,
        )
        .status()
        .as_u16()
    };
    assert_eq!(
        status_with_expiry(Some(now + Duration::from_millis(1))),
        200
    );
    assert_eq!(status_with_expiry(Some(now)), 503);
    assert_eq!(status_with_expiry(None), 503);
    let redirect = HeartbeatResponse {
        outcome: HeartbeatOutcome::Redirect(None),
        valid_until: Some(now),
    };
    assert_eq!(heartbeat_response(redirect, now).status().as_u16(), 421);
}

#[test]
fn each_outcome_of_a_job_request_is_mapped_to_its_status_and_body() {
    let view = || JobView {
        id: "wk-1".into(),
        state: JobState::Queued,
        done: Some(0),
        running: Some(0),
    };
    let status_and_body = |outcome| {
        let response = job_response(outcome);
        let status = response.status().as_u16();
        (status, response.into_body().try_into_bytes().unwrap())
    };
    assert_eq!(status_and_body(JobOutcome::Accepted(view())).0, 201);
    assert_eq!(status_and_body(JobOutcome::Known(view())).0, 200);
    let (status, body) = status_and_body(JobOutcome::NotFound);
    assert_eq!((status, &body[..]), (404, &b"\xa1eerrorkno such job"[..]));
    let rejection_text = |reason| {
        let (status, body) = status_and_body(JobOutcome::Rejected(reason));
        assert_eq!(status, 422);
        // The CBOR map has one entry with the key "error". The header of its text takes one byte, or two from 24 bytes on.
        assert_eq!(&body[..7], b"\xa1eerror");
        let text_start = if body[7] == 0x78 { 9 } else { 8 };
        String::from_utf8(body[text_start..].to_vec()).unwrap()
    };
    assert_eq!(rejection_text(JobRejection::UnknownTeam), "unknown team");
    assert_eq!(
        rejection_text(JobRejection::NoMachineTypeFits),
        "no allowed machine type is large enough"
    );
    assert_eq!(
        rejection_text(JobRejection::RecordTooLarge { bytes: 2500 }),
        "the job's record of 2500 bytes is larger than can be stored"
    );
    assert_eq!(
        rejection_text(JobRejection::ExceedsTeamLimit),
        "more than the team's limit"
    );
    let (status, body) = status_and_body(JobOutcome::RETRY_SOON);
    assert_eq!((status, &body[..]), (503, &b"\xa1eerroritry again"[..]));
}

#[test]
fn retry_after_is_rounded_up_to_whole_seconds() {
    let retry_after = |millis| {
        let response = job_response(JobOutcome::RetryAfter(Duration::from_millis(millis)));
        let header = response.headers().get("retry-after").unwrap();
        header.to_str().unwrap().to_string()
    };
    assert_eq!(retry_after(1), "1");
    assert_eq!(retry_after(2000), "2");
    assert_eq!(retry_after(2001), "3");
}

#[actix_web::test]
async fn a_request_beyond_the_concurrency_limit_gets_429_with_retry_after() {
    let controller = Controller::new(settings()).start();
    let connections = Connections::new(8 * CONNECTIONS_PER_USER_REQUEST);
    let state = web::Data::new(ApiState::new(controller, connections, Registry::default()));
    let acquire = || state.concurrency_limit.try_acquire(RequestKind::Change);
    let _permits: Vec<Permit> = std::iter::from_fn(acquire).collect();
    let request = TestRequest::default().to_http_request();
    let id = web::Path::from("wk-000412".to_string());
    let response = users::poll(state.clone(), request, id).await;
    let retry_after = response.headers().get("retry-after").unwrap();
    assert_eq!(
        (response.status().as_u16(), retry_after.to_str().unwrap()),
        (429, "1")
    );
    let body = response.into_body().try_into_bytes().unwrap();
    assert_eq!(&body[..], b"\xa1eerrorx\x1dtoo many requests in progress");
}

#[actix_web::test]
async fn metrics_are_served_to_peers_and_not_to_users() {
    let controller = Controller::new(settings()).start();
    let registry = Registry::with_prefix("hollowswitch");
    let connections = Connections::new(8 * CONNECTIONS_PER_USER_REQUEST);
    let state = web::Data::new(ApiState::new(controller, connections, registry));
    let status_and_body = async |audience| {
        let app = App::new()
            .app_data(state.clone())
            .configure(|config| configure_routes(config, audience));
        let app = init_service(app).await;
        let request = TestRequest::get().uri("/metrics").to_request();
        let response = call_service(&app, request).await;
        (response.status().as_u16(), read_body(response).await)
    };
    let (status, body) = status_and_body(Audience::Peers).await;
    let body = String::from_utf8(body.to_vec()).unwrap();
    assert_eq!(status, 200);
    assert!(
        body.contains("hollowswitch_concurrency_limit 2\n"),
        "{body}"
    );
    assert_eq!(status_and_body(Audience::Public).await.0, 404);
}

#[actix_web::test]
async fn a_poll_whose_client_disconnects_does_not_occupy_its_slot_for_ever() {
    let controller = Controller::new(settings()).start();
    let connections = Connections::new(8 * CONNECTIONS_PER_USER_REQUEST);
    let state = web::Data::new(ApiState::new(controller, connections, Registry::default()));
    let poll = || {
        let request = TestRequest::default().to_http_request();
        users::poll(
            state.clone(),
            request,
            web::Path::from("wk-000412".to_string()),
        )
    };
    // The server drops the future of a request when its connection is reset.
    assert!(poll().now_or_never().is_none());
    // The request goes on in the controller, and counts until it ends.
    assert_eq!(state.concurrency_limit.in_progress(), 1);
    tokio::time::sleep(MAX_POLL_DURATION).await;
    assert_eq!(state.concurrency_limit.in_progress(), 0);
    assert_ne!(poll().await.status().as_u16(), 429);
}
