//! HTTP/1.1 calls out of this process: one client, and one exchange of a request and its response that the clients of all
//! services share.

use awc::error::{PayloadError, SendRequestError};
use awc::http::{Method, StatusCode};
use std::time::Duration;

/// How long an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(20);
/// Time allowed for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// The client that all calls go through. It has no time limit of its own: every exchange sets one.
#[must_use]
pub fn http_client(max_connections: usize) -> awc::Client {
    let connector = awc::Connector::new()
        .limit(max_connections)
        .conn_keep_alive(KEEP_ALIVE)
        .timeout(CONNECT_TIMEOUT);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .finish()
}

/// What happens to the connection after an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// It is kept for the next request to the same host.
    Keep,
    /// It is closed. For hosts of which there are many: the client closes an idle connection only when it calls the same
    /// host again. Kept connections to workers once used up all sockets, so that a leader could not renew its lease.
    Close,
}

/// A request, and the limits of its exchange.
#[derive(Debug)]
pub struct HttpRequest {
    /// Method.
    pub method: Method,
    /// Absolute URL.
    pub url: String,
    /// CBOR body, if there is one.
    pub body: Option<Vec<u8>>,
    /// Time for the whole exchange, from the connection to the last byte of the response.
    pub timeout: Duration,
    /// Largest response body accepted, in bytes.
    pub response_limit: usize,
    /// Whether the connection is kept.
    pub connection: ConnectionReuse,
}

/// A response whose body was received completely.
#[derive(Debug)]
pub struct HttpResponse {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Vec<u8>,
}

/// Why an exchange has brought no response. The request may have been executed all the same.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ExchangeError {
    /// No connection, or the request could not be sent, or no response followed.
    #[error("request failed: {0}")]
    Send(#[source] SendRequestError),
    /// The response breaks off.
    #[error("response incomplete: {0}")]
    Receive(#[source] PayloadError),
    /// The response is larger than the limit of the request.
    #[error("response too large")]
    TooLarge,
    /// The exchange has taken longer than its time limit.
    #[error("no response within the time limit")]
    Timeout,
}

/// Sends a request and receives its response.
///
/// # Errors
/// If no complete response arrives within the limits of the request. A response of any status is no error.
pub async fn exchange(
    client: &awc::Client,
    request: HttpRequest,
) -> Result<HttpResponse, ExchangeError> {
    let timeout = request.timeout;
    tokio::time::timeout(timeout, send(client, request))
        .await
        .unwrap_or(Err(ExchangeError::Timeout))
}

async fn send(client: &awc::Client, request: HttpRequest) -> Result<HttpResponse, ExchangeError> {
    let mut builder = client
        .request(request.method, request.url)
        .insert_header(("content-type", "application/cbor"));
    if request.connection == ConnectionReuse::Close {
        builder = builder.force_close();
    }
    let sent = match request.body {
        Some(body) => builder.send_body(body),
        None => builder.send(),
    };
    let mut response = sent.await.map_err(ExchangeError::Send)?;
    let body = response.body().limit(request.response_limit).await;
    Ok(HttpResponse {
        status: response.status(),
        body: body.map_err(receive_error)?.to_vec(),
    })
}

fn receive_error(error: PayloadError) -> ExchangeError {
    match error {
        PayloadError::Overflow => ExchangeError::TooLarge,
        error => ExchangeError::Receive(error),
    }
}
