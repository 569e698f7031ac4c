//! Commands that a controller sends directly to a worker, without waiting for its next heartbeat.

use super::http::{exchange, ConnectionReuse, ExchangeError, HttpRequest};
use crate::protocol::{decode, encode, DirectCommandRequest, WorkerStatus};
use awc::http::{Method, StatusCode};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(2);
const RESPONSE_LIMIT: usize = 8 << 20;

/// Why no report has followed direct commands: it is unknown whether they were executed, or will be.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CommandError {
    /// No response.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// A status of which this client makes nothing.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// The response is no report.
    #[error("response not understood")]
    Malformed,
    /// The worker at this address belongs to another machine.
    #[error("the address belongs to machine {0}")]
    OtherMachine(String),
}

/// Where a worker is reached.
#[derive(Debug, Clone, Copy)]
pub struct WorkerAddress<'a> {
    /// The machine whose worker it is.
    pub machine: &'a str,
    /// The worker's address: host and port.
    pub address: &'a str,
}

/// Sends direct commands and returns the worker's report after them. A worker that rejects the commands (409) reports, too.
///
/// # Errors
/// If no report of this machine arrives.
pub async fn send_commands(
    http: &awc::Client,
    worker: WorkerAddress<'_>,
    commands: &DirectCommandRequest,
) -> Result<WorkerStatus, CommandError> {
    let request = HttpRequest {
        method: Method::POST,
        url: format!("http://{}/orders", worker.address),
        body: Some(encode(commands)),
        timeout: TIMEOUT,
        response_limit: RESPONSE_LIMIT,
        connection: ConnectionReuse::Close,
    };
    let response = exchange(http, request).await?;
    if !matches!(response.status, StatusCode::OK | StatusCode::CONFLICT) {
        return Err(CommandError::Status(response.status));
    }
    let report: WorkerStatus = decode(&response.body).map_err(|_| CommandError::Malformed)?;
    if report.machine != worker.machine {
        return Err(CommandError::OtherMachine(report.machine));
    }
    Ok(report)
}
