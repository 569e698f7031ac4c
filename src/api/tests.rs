//! The HTTP responses that outcomes are mapped to.

use super::*;
use std::time::Duration;

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
        let outcome = HeartbeatOutcome::Reply(wire::ReportReply {
            token: wire::FencingToken::new(5),
            orders: Vec::new(),
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
