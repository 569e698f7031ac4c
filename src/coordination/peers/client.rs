//! HTTP client for requests to peers.

use super::messages::{decode, encode, Cancelled, View, MAX_MESSAGE_BYTES};
use crate::clients::http::{exchange, ConnectionReuse, HttpRequest};
use crate::store::Revision;
use awc::http::{Method, StatusCode};
use serde::{de::DeserializeOwned, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a request, including its response.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Sends this controller's view to a peer. Returns the peer's view, or `None` without a valid response.
pub async fn exchange_views(http: &awc::Client, address: SocketAddr, own: &View) -> Option<View> {
    post(http, format!("http://{address}/peer/view"), own).await
}

/// Sends notices of cancellations to a peer. The response acknowledges them; returns the revision of the peer's replica that it
/// carries, or `None` without a valid response.
pub async fn send_cancellations(
    http: &awc::Client,
    address: SocketAddr,
    message: &Cancelled,
) -> Option<Revision> {
    post(http, format!("http://{address}/peer/cancelled"), message).await
}

async fn post<T: Serialize, R: DeserializeOwned>(
    http: &awc::Client,
    url: String,
    message: &T,
) -> Option<R> {
    let request = HttpRequest {
        method: Method::POST,
        url,
        body: Some(encode(message)),
        timeout: TIMEOUT,
        max_response_bytes: MAX_MESSAGE_BYTES,
        connection: ConnectionReuse::Keep,
    };
    let response = exchange(http, request).await.ok()?;
    if response.status != StatusCode::OK {
        return None;
    }
    decode(&response.body)
}
