//! Outgoing HTTP/1.1 calls: the HTTP client, and the exchange of a request and its response that the clients of all services
//! share.

use awc::error::{PayloadError, SendRequestError};
use awc::http::{Method, StatusCode};
use std::time::Duration;

/// Time for which an idle connection is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(20);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Creates the HTTP client that all calls share. It has no timeout of its own, since every exchange sets one.
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

/// Whether a connection is reused after an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// Keeps the connection open for the next request to the same host.
    Keep,
    /// Closes the connection. For hosts of which there are many, since the client closes an idle connection only when it calls
    /// the same host again. Idle connections to workers once used up all sockets, so that a leader could not renew its lease.
    Close,
}

/// An HTTP request with the limits of its exchange.
#[derive(Debug)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Absolute URL.
    pub url: String,
    /// CBOR body, if the request has one.
    pub body: Option<Vec<u8>>,
    /// Timeout of the whole exchange, from opening the connection to the last byte of the response.
    pub timeout: Duration,
    /// Maximum size of the response body, in bytes.
    pub max_response_bytes: usize,
    /// Whether the connection is reused after the exchange.
    pub connection: ConnectionReuse,
}

/// An HTTP response with its complete body.
#[derive(Debug)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Body of the response.
    pub body: Vec<u8>,
}

/// The reason why an exchange returned no response. The request may have been executed nevertheless.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ExchangeError {
    /// The connection could not be opened, the request could not be sent, or no response arrived.
    #[error("request failed: {0}")]
    Send(#[source] SendRequestError),
    /// The response body was not received completely.
    #[error("response body incomplete: {0}")]
    Receive(#[source] PayloadError),
    /// The response body exceeds the size limit of the request.
    #[error("response body exceeds the size limit")]
    TooLarge,
    /// The exchange did not complete within its timeout.
    #[error("no complete response within the timeout")]
    Timeout,
}

/// Sends a request and receives its response.
///
/// # Errors
/// Returns an error if no complete response arrives within the limits of the request. A response is not an error, whatever its
/// status.
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
    let body = response.body().limit(request.max_response_bytes).await;
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
