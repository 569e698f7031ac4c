//! HTTP responses with CBOR bodies, with the error bodies and headers of the protocol.

use crate::protocol::encode;
use actix_web::http::header::{HeaderValue, RETRY_AFTER};
use actix_web::http::{ConnectionType, StatusCode};
use actix_web::HttpResponse;
use serde::Serialize;
use std::time::Duration;

/// The body of an error response.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Creates a response with a message as its CBOR body.
pub(super) fn message<T: Serialize>(status: StatusCode, message: &T) -> HttpResponse {
    HttpResponse::build(status)
        .content_type("application/cbor")
        .body(encode(message))
}

/// Creates an error response.
pub(super) fn error(status: StatusCode, error: &str) -> HttpResponse {
    message(status, &ErrorBody { error })
}

/// Creates the response to a request whose body is not a message of the protocol.
pub(super) fn malformed() -> HttpResponse {
    error(StatusCode::BAD_REQUEST, "malformed")
}

/// Creates the response to a request that the controller does not answer any more, since its process is shutting down.
pub(super) fn stopping() -> HttpResponse {
    error(StatusCode::SERVICE_UNAVAILABLE, "stopping")
}

/// Creates an error response that tells the user after how many seconds to repeat the request. The time is rounded up to whole
/// seconds.
pub(super) fn retry_later(status: StatusCode, reason: &str, after: Duration) -> HttpResponse {
    let whole_seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
    let mut response = error(status, reason);
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(whole_seconds));
    response
}

/// Makes the server close the connection after the response.
pub(super) fn close_connection(response: &mut HttpResponse) {
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
}
