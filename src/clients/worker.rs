//! HTTP calls out of this process: the one exchange that every client uses, and direct orders to workers.

use crate::protocol::{decode, encode, DirectOrders, Report};
use crate::scheduler::Direct;
use std::time::Duration;

/// The client all calls go through; every call sets its own time limit.
#[must_use]
pub fn http_client(connections: usize) -> awc::Client {
    let connector = awc::Connector::new()
        .limit(connections)
        .conn_keep_alive(Duration::from_secs(20))
        .timeout(Duration::from_millis(1500));
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .finish()
}

/// Why an exchange has brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// No connection, no answer within the time, or one that breaks off.
    #[error("no answer")]
    NoAnswer,
    /// The answer is larger than this process is ready to hold.
    #[error("answer too large")]
    TooLarge,
}

/// One request and its answer within the time. `close`: its connection is not kept. There are many workers, and
/// the client closes an idle connection only when it calls the same host again: kept ones once used up all sockets, so
/// that a leader could not renew its leader lease.
pub async fn exchange(
    http: &awc::Client,
    method: awc::http::Method,
    url: &str,
    body: Option<Vec<u8>>,
    within: Duration,
    limit: usize,
    close: bool,
) -> Result<(u16, Vec<u8>), ExchangeError> {
    let call = async {
        let mut request = http
            .request(method, url)
            .insert_header(("content-type", "application/cbor"));
        if close {
            request = request.force_close();
        }
        let sent = match body {
            Some(body) => request.send_body(body),
            None => request.send(),
        };
        let mut answer = sent.await.map_err(|_| ExchangeError::NoAnswer)?;
        let body = answer
            .body()
            .limit(limit)
            .await
            .map_err(|error| match error {
                awc::error::PayloadError::Overflow => ExchangeError::TooLarge,
                _ => ExchangeError::NoAnswer,
            })?;
        Ok((answer.status().as_u16(), body.to_vec()))
    };
    tokio::time::timeout(within, call)
        .await
        .unwrap_or(Err(ExchangeError::NoAnswer))
}

/// Sends direct orders. The report after them, or none if it is unknown whether they were or will be executed.
pub async fn send_direct(http: &awc::Client, d: &Direct) -> Option<Report> {
    let body = encode(&DirectOrders {
        token: d.token,
        session: d.session,
        orders: d.orders.clone(),
    });
    let url = format!("http://{}/orders", d.address);
    let within = Duration::from_secs(2);
    let (status, body) = exchange(
        http,
        awc::http::Method::POST,
        &url,
        Some(body),
        within,
        8 << 20,
        true,
    )
    .await
    .ok()?;
    let report: Report = if matches!(status, 200 | 409) {
        decode(&body).ok()?
    } else {
        return None;
    };
    (report.machine == d.machine).then_some(report)
}
