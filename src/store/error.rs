//! Errors of calls to the state service.

use super::TxnSize;
use crate::clients::http::HttpResponse;
use awc::http::StatusCode;

/// Error of a call to the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum StoreError {
    /// The request rate was exceeded (429). The call was not executed.
    #[error("request rate exceeded")]
    RateLimited,
    /// The service refused the call (503). The call was not executed.
    #[error("service unavailable")]
    Unavailable,
    /// The key or lease does not exist (404, or 400 for a transaction with an unknown lease), or the service no longer has the
    /// requested changes (410).
    #[error("not found")]
    NotFound,
    /// The service refused the transaction as too large or malformed (400) and did not execute it. The same transaction would
    /// be refused again.
    #[error("transaction refused: {0:?}")]
    TransactionRefused(TxnSize),
    /// The response exceeds the size limit. Only reads return this error.
    #[error("response too large")]
    ResponseTooLarge,
    /// No valid response arrived. The call was executed, will be executed later, or will never be executed.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(#[source] UnknownOutcome),
}

/// Reason why the outcome of a call is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum UnknownOutcome {
    /// No complete response arrived within the timeout.
    #[error("no response")]
    NoResponse,
    /// The status is not defined for the call.
    #[error("unexpected status {0}")]
    UnexpectedStatus(u16),
    /// The body, or a record in it, cannot be decoded.
    #[error("malformed response")]
    Malformed,
}

impl UnknownOutcome {
    /// Returns the error for a response with an unexpected status or a body that cannot be decoded.
    pub(super) fn error_for(response: &HttpResponse) -> StoreError {
        StoreError::OutcomeUnknown(match response.status {
            StatusCode::OK | StatusCode::CONFLICT => UnknownOutcome::Malformed,
            status => UnknownOutcome::UnexpectedStatus(status.as_u16()),
        })
    }
}
