//! Client of the workers: sends commands directly, without waiting for the worker's next heartbeat.

use super::http::{exchange, ConnectionReuse, ExchangeError, HttpRequest};
use crate::protocol::{decode, encode, DirectCommandRequest, WorkerStatus};
use awc::http::{Method, StatusCode};
use std::time::Duration;

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// The reason why a worker returned no status after direct commands. The commands may have been executed, or may be executed
/// later.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CommandError {
    /// No response was received.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The response has an HTTP status other than 200 and 409.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// The response body cannot be decoded.
    #[error("response body cannot be decoded")]
    Malformed,
    /// The worker at this address belongs to another machine.
    #[error("the address belongs to machine {0}")]
    OtherMachine(String),
}

/// The address of a worker.
#[derive(Debug, Clone, Copy)]
pub struct WorkerAddress<'a> {
    /// Name of the worker's machine.
    pub machine: &'a str,
    /// Host and port of the worker.
    pub address: &'a str,
}

/// Sends direct commands and returns the worker's status after them. A worker that rejects the commands (409) also returns its
/// status.
///
/// # Errors
/// Returns an error if no status of this machine is received.
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
        max_response_bytes: MAX_RESPONSE_BYTES,
        connection: ConnectionReuse::Close,
    };
    let response = exchange(http, request).await?;
    if !matches!(response.status, StatusCode::OK | StatusCode::CONFLICT) {
        return Err(CommandError::Status(response.status));
    }
    let worker_status: WorkerStatus =
        decode(&response.body).map_err(|_| CommandError::Malformed)?;
    if worker_status.machine != worker.machine {
        return Err(CommandError::OtherMachine(worker_status.machine));
    }
    Ok(worker_status)
}
