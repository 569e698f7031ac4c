//! Responses as CBOR, with the error bodies and headers of the protocol.

use crate::protocol::encode;
use actix_web::http::header::{HeaderValue, RETRY_AFTER};
use actix_web::http::{ConnectionType, StatusCode};
use actix_web::HttpResponse;
use serde::Serialize;
use std::time::Duration;

/// The body of a response without a result.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// A message with a status.
pub(super) fn message<T: Serialize>(status: StatusCode, message: &T) -> HttpResponse {
    HttpResponse::build(status)
        .content_type("application/cbor")
        .body(encode(message))
}

/// An error with a status.
pub(super) fn error(status: StatusCode, error: &str) -> HttpResponse {
    message(status, &ErrorBody { error })
}

/// The request is not a message of the protocol.
pub(super) fn malformed() -> HttpResponse {
    error(StatusCode::BAD_REQUEST, "malformed")
}

/// The controller does not answer any more, as its process is ending.
pub(super) fn stopping() -> HttpResponse {
    error(StatusCode::SERVICE_UNAVAILABLE, "stopping")
}

/// A response that asks the user to repeat the request, after a time in whole seconds, rounded up.
pub(super) fn retry_later(status: StatusCode, reason: &str, after: Duration) -> HttpResponse {
    let whole_seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
    let mut response = error(status, reason);
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(whole_seconds));
    response
}

/// Closes the connection after a response.
pub(super) fn close_connection(response: &mut HttpResponse) {
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
}
