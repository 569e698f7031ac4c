//! The client of the state service. Each method makes one call, or one per page, and does not retry.

use super::metrics::{RequestKind, StoreMetrics};
use super::records::decode_record;
use super::size::largest_value;
use super::{Revision, StoreError, TxnSize, UnknownOutcome, Versioned, ROOT};
use crate::clients::http::{exchange, ConnectionReuse, ExchangeError, HttpRequest, HttpResponse};
use crate::protocol::{
    decode, encode, Change, ErrorReply, KeyValue, LeaseReply, LeaseRequest, Txn, TxnReply,
    WatchReply,
};
use crate::time::whole_millis;
use awc::http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of calls, except for pages of keys and renewals of leases. A watch gets this time in addition to its waiting time.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum size of a response in bytes. A page of keys takes at most 512 KiB. Only the response to a watch has no bound: if it
/// exceeds this limit, the keys are read page by page instead, which takes less memory.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

const MALFORMED: StoreError = StoreError::OutcomeUnknown(UnknownOutcome::Malformed);

/// The outcome of a transaction, as the service has reported it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnOutcome {
    /// The transaction was applied at this revision, which is now the version of every key that it wrote.
    Applied(Revision),
    /// The transaction was not applied, because these keys did not have the expected versions.
    Failed(Vec<String>),
}

/// Client of the state service.
#[derive(Clone)]
pub struct StoreClient {
    http: awc::Client,
    base: String,
    pub(super) metrics: StoreMetrics,
}

impl StoreClient {
    /// Creates a client of the service at `address`.
    #[must_use]
    pub fn new(http: awc::Client, address: SocketAddr) -> Self {
        StoreClient {
            http,
            base: format!("http://{address}"),
            metrics: StoreMetrics::default(),
        }
    }

    /// Returns the metrics of this client and its clones.
    #[must_use]
    pub fn metrics(&self) -> &StoreMetrics {
        &self.metrics
    }

    /// Reads the record of a key, with its version.
    ///
    /// # Errors
    /// [`StoreError::NotFound`] if the key does not exist, another error if the service does not answer with a record of type
    /// `T`.
    pub async fn get<T: DeserializeOwned>(&self, key: &str) -> Result<Versioned<T>, StoreError> {
        let item: KeyValue = self
            .read(RequestKind::Get, &format!("/keys/{key}"), CALL_TIMEOUT)
            .await?;
        let record = decode_record(&item.value).ok_or(MALFORMED)?;
        Ok(Versioned {
            record,
            version: item.version,
        })
    }

    /// Runs a transaction.
    ///
    /// # Errors
    /// [`StoreError::OutcomeUnknown`] if the transaction may have been executed or may yet be, another error if it was not
    /// executed: [`StoreError::TransactionRefused`] if it never will be, [`StoreError::NotFound`] if its lease has ended.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnOutcome, StoreError> {
        let response = self
            .post(
                RequestKind::Transaction,
                "/multi",
                encode(txn),
                CALL_TIMEOUT,
            )
            .await?;
        let reply = decode::<TxnReply>(&response.body).ok();
        match (response.status, reply) {
            (StatusCode::OK, Some(reply)) => Ok(TxnOutcome::Applied(reply.revision)),
            (StatusCode::CONFLICT, Some(reply)) => Ok(TxnOutcome::Failed(reply.failed)),
            (StatusCode::BAD_REQUEST, _) => Err(self.transaction_error(txn, &response)),
            _ => Err(UnknownOutcome::error_for(&response)),
        }
    }

    /// Returns the error for a transaction that was answered with status 400, and logs and counts a refusal.
    fn transaction_error(&self, txn: &Txn, response: &HttpResponse) -> StoreError {
        let reply = decode::<ErrorReply>(&response.body).ok();
        let reason = reply.as_ref().map(|reply| reply.error.as_str());
        if is_lease_error(txn, reason) {
            return StoreError::NotFound;
        }
        self.metrics.record_refused_transaction();
        let size = TxnSize::of(txn);
        tracing::error!(
            reason = reason.unwrap_or_default(),
            largest_key = largest_value(txn).map_or("", |(key, _)| key),
            largest_value_bytes = size.largest_value,
            changes = size.changes,
            guards = size.guards,
            total_bytes = size.total,
            "transaction refused by the state service"
        );
        StoreError::TransactionRefused(size)
    }

    /// Runs a transaction without changes as a read barrier. Returns the current revision of the service, whether or not the
    /// guards hold.
    ///
    /// # Errors
    /// Returns an error if the service does not answer.
    pub async fn barrier(&self, txn: &Txn) -> Result<Revision, StoreError> {
        let response = self
            .post(RequestKind::Barrier, "/multi", encode(txn), CALL_TIMEOUT)
            .await?;
        match (response.status, decode::<TxnReply>(&response.body).ok()) {
            (StatusCode::OK | StatusCode::CONFLICT, Some(reply)) => Ok(reply.revision),
            _ => Err(UnknownOutcome::error_for(&response)),
        }
    }

    /// Opens a lease and returns its id. The lease ends when it is not renewed for `ttl`, which is sent in whole milliseconds.
    ///
    /// # Errors
    /// Returns an error if the service does not answer. The lease may have been opened all the same, in which case it expires.
    pub async fn open_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        let ttl_ms = whole_millis(ttl);
        let body = encode(&LeaseRequest { ttl_ms });
        let response = self
            .post(RequestKind::Lease, "/holds", body, CALL_TIMEOUT)
            .await?;
        match (response.status, decode::<LeaseReply>(&response.body).ok()) {
            (StatusCode::OK, Some(reply)) => Ok(reply.lease),
            _ => Err(UnknownOutcome::error_for(&response)),
        }
    }

    /// Renews a lease.
    ///
    /// # Errors
    /// [`StoreError::NotFound`] if the lease has ended, another error if the service does not answer within the timeout.
    pub async fn renew(&self, lease_id: u64, timeout: Duration) -> Result<(), StoreError> {
        let path = format!("/holds/{lease_id}/extend");
        let response = self
            .post(RequestKind::Lease, &path, Vec::new(), timeout)
            .await?;
        match response.status {
            StatusCode::OK => Ok(()),
            _ => Err(UnknownOutcome::error_for(&response)),
        }
    }

    /// Ends a lease, which deletes the keys attached to it. If the call fails, the lease expires later.
    pub async fn close_lease(&self, lease_id: u64) {
        let path = format!("/holds/{lease_id}");
        let request = self.request(Method::DELETE, &path, None, CALL_TIMEOUT);
        let _ = self.call(RequestKind::Lease, request).await;
    }

    /// Waits for changes after a revision, for at most `max_wait`, which is sent in whole milliseconds.
    ///
    /// # Errors
    /// [`StoreError::NotFound`] if the service no longer has all changes since that revision, [`StoreError::ResponseTooLarge`]
    /// if there are too many of them, another error if the service does not answer.
    pub async fn watch(
        &self,
        after: Revision,
        max_wait: Duration,
    ) -> Result<WatchReply, StoreError> {
        let max_wait_ms = whole_millis(max_wait);
        let path = format!("/watch?starts={ROOT}&after={after}&holdMs={max_wait_ms}");
        self.read(RequestKind::Watch, &path, max_wait + CALL_TIMEOUT)
            .await
    }

    /// Reads a message with a GET request.
    pub(super) async fn read<T: DeserializeOwned>(
        &self,
        kind: RequestKind,
        path: &str,
        timeout: Duration,
    ) -> Result<T, StoreError> {
        let request = self.request(Method::GET, path, None, timeout);
        let response = self.call(kind, request).await?;
        if response.status != StatusCode::OK {
            return Err(UnknownOutcome::error_for(&response));
        }
        decode(&response.body).map_err(|_| MALFORMED)
    }

    async fn post(
        &self,
        kind: RequestKind,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<HttpResponse, StoreError> {
        let request = self.request(Method::POST, path, Some(body), timeout);
        let result = self.call(kind, request).await;
        result.map_err(|error| match error {
            // The request may have been executed, whatever the response contains.
            StoreError::ResponseTooLarge => MALFORMED,
            error => error,
        })
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> HttpRequest {
        HttpRequest {
            method,
            url: format!("{}{path}", self.base),
            body,
            timeout,
            max_response_bytes: MAX_RESPONSE_BYTES,
            connection: ConnectionReuse::Keep,
        }
    }

    /// Makes a call and counts it.
    async fn call(
        &self,
        kind: RequestKind,
        request: HttpRequest,
    ) -> Result<HttpResponse, StoreError> {
        let result = exchange(&self.http, request)
            .await
            .map_err(|error| match error {
                ExchangeError::TooLarge => StoreError::ResponseTooLarge,
                _ => StoreError::OutcomeUnknown(UnknownOutcome::NoResponse),
            })
            .and_then(accept_status);
        self.metrics.record_request(kind, &result);
        result
    }
}

/// Reports whether a transaction was answered with status 400 because its lease has ended. `reason` is the reason that the
/// response gives, if it can be decoded.
fn is_lease_error(txn: &Txn, reason: Option<&str>) -> bool {
    let has_lease = |change: &Change| matches!(change, Change::Put { lease: Some(_), .. });
    match reason {
        Some(reason) => reason == ErrorReply::NO_SUCH_LEASE,
        None => txn.apply.iter().any(has_lease),
    }
}

/// Maps the statuses that mean the same for all calls to their errors.
fn accept_status(response: HttpResponse) -> Result<HttpResponse, StoreError> {
    match response.status {
        StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited),
        StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable),
        StatusCode::NOT_FOUND | StatusCode::GONE => Err(StoreError::NotFound),
        _ => Ok(response),
    }
}
