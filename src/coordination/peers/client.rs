//! The requests to peers.

use super::messages::{decode, encode, Cancelled, View, MESSAGE_SIZE_LIMIT};
use crate::clients::worker::exchange;
use awc::http::Method;
use serde::{de::DeserializeOwned, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Time for a request and its response.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Sends this controller's view to a peer. Returns the peer's view, or nothing if it did not answer.
pub async fn exchange_views(http: &awc::Client, address: SocketAddr, own: &View) -> Option<View> {
    post(http, format!("http://{address}/peer/view"), own).await
}

/// Sends notices of cancellations to a peer. Returns the revision that the peer's replica has reached, which acknowledges
/// them, or nothing if it did not answer.
pub async fn send_cancellations(
    http: &awc::Client,
    address: SocketAddr,
    message: &Cancelled,
) -> Option<u64> {
    post(http, format!("http://{address}/peer/cancelled"), message).await
}

async fn post<T: Serialize, R: DeserializeOwned>(
    http: &awc::Client,
    url: String,
    message: &T,
) -> Option<R> {
    let (status, body) = exchange(
        http,
        Method::POST,
        &url,
        Some(encode(message)),
        TIMEOUT,
        MESSAGE_SIZE_LIMIT,
        false,
    )
    .await
    .ok()?;
    if status != 200 {
        return None;
    }
    decode(&body)
}
