//! The HTTP responses that outcomes are mapped to.

use super::connections::Connections;
use super::users::{self, job_response};
use super::workers::heartbeat_response;
use super::ApiState;
use crate::admission::concurrency_limit::{ConcurrencyLimit, RequestKind};
use crate::config::tests::settings;
use crate::controller::{
    Controller, HeartbeatOutcome, HeartbeatResponse, JobOutcome, JobRejection,
};
use crate::protocol::{FencingToken, HeartbeatReply, JobState, JobView};
use actix::Actor;
use actix_web::body::MessageBody;
use actix_web::http::ConnectionType;
use actix_web::web;
use std::cell::RefCell;
use std::time::{Duration, Instant};

#[test]
fn a_busy_response_says_when_to_retry_and_closes_the_connection() {
    let r = job_response(JobOutcome::RetryAfter(Duration::from_secs(7)));
    assert_eq!(
        (
            r.status().as_u16(),
            r.headers().get("retry-after").unwrap().to_str().unwrap()
        ),
        (503, "7")
    );
    assert_eq!(r.head().connection_type(), ConnectionType::Close);
    assert_ne!(
        job_response(JobOutcome::NotFound).head().connection_type(),
        ConnectionType::Close
    );
}

#[test]
fn an_answer_to_a_worker_is_withheld_once_its_authority_has_expired() {
    let now = Instant::now();
    let decided = |valid_until| {
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
    assert_eq!(decided(Some(now + Duration::from_millis(1))), 200);
    assert_eq!(decided(Some(now)), 503);
    assert_eq!(decided(None), 503);
    let elsewhere = HeartbeatResponse {
        outcome: HeartbeatOutcome::Redirect(None),
        valid_until: Some(now),
    };
    assert_eq!(heartbeat_response(elsewhere, now).status().as_u16(), 421);
}

#[test]
fn each_outcome_of_a_request_about_a_job_has_its_status_and_body() {
    let view = || JobView {
        id: "wk-1".into(),
        state: JobState::Queued,
        done: Some(0),
        running: Some(0),
    };
    let answered = |outcome| {
        let response = job_response(outcome);
        let status = response.status().as_u16();
        (status, response.into_body().try_into_bytes().unwrap())
    };
    assert_eq!(answered(JobOutcome::Accepted(view())).0, 201);
    assert_eq!(answered(JobOutcome::Known(view())).0, 200);
    let (status, body) = answered(JobOutcome::NotFound);
    assert_eq!((status, &body[..]), (404, &b"\xa1eerrorkno such job"[..]));
    let rejected = |reason| {
        let (status, body) = answered(JobOutcome::Rejected(reason));
        assert_eq!(status, 422);
        // A map of one entry whose key is "error"; the length of the text takes one or two bytes.
        assert_eq!(&body[..7], b"\xa1eerror");
        let text_at = if body[7] == 0x78 { 9 } else { 8 };
        String::from_utf8(body[text_at..].to_vec()).unwrap()
    };
    assert_eq!(rejected(JobRejection::UnknownTeam), "unknown team");
    assert_eq!(
        rejected(JobRejection::NoMachineTypeFits),
        "no allowed machine type is large enough"
    );
    assert_eq!(
        rejected(JobRejection::ExceedsTeamLimit),
        "more than the team's limit"
    );
    let (status, body) = answered(JobOutcome::RETRY_SOON);
    assert_eq!((status, &body[..]), (503, &b"\xa1eerroritry again"[..]));
}

#[test]
fn the_time_to_retry_is_in_whole_seconds_rounded_up() {
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
    let state = web::Data::new(ApiState {
        controller: Controller::new(settings()).start(),
        concurrency_limit: RefCell::new(ConcurrencyLimit::new(8)),
        connections: Connections::new(8),
    });
    while state.with_concurrency_limit(|limit| limit.try_acquire(RequestKind::Change)) {}
    let response = users::poll(state, web::Path::from("wk-000412".to_string())).await;
    let retry_after = response.headers().get("retry-after").unwrap();
    assert_eq!(
        (response.status().as_u16(), retry_after.to_str().unwrap()),
        (429, "1")
    );
    let body = response.into_body().try_into_bytes().unwrap();
    assert_eq!(&body[..], b"\xa1eerrorx\x1dtoo many requests in progress");
}
