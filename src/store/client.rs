//! The state service's client: one call each, without retries.

use super::keys::KeyFamily;
use super::records::read_record;
use super::{Replica, ReplicaChange, Revision, Versioned, ROOT};
use crate::clients::http::{exchange, ConnectionReuse, ExchangeError, HttpRequest, HttpResponse};
use crate::protocol::{
    decode, encode, KeyValue, LeaseReply, LeaseRequest, Page, Txn, TxnReply, WatchReply,
};
use crate::time::whole_millis;
use awc::http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Time allowed for an ordinary call.
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Time allowed for a page of keys.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Keys on a page.
const PAGE_SIZE: usize = 200;
/// Largest response accepted. A page of keys has 512 KiB at most. Only a watch has no limit: one that brings more than this is
/// replaced by reading the keys page by page, which costs less memory.
const RESPONSE_LIMIT: usize = 4 << 20;

/// Why a call to the state service has brought no result to rely on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum StoreError {
    /// Over the request rate (429): certainly not executed.
    #[error("request rate exceeded")]
    RateLimited,
    /// Refused (503): certainly not executed.
    #[error("refused")]
    Unavailable,
    /// What was asked for does not exist or no longer does (404, 410, no such lease).
    #[error("not found")]
    NotFound,
    /// The response is larger than this process is ready to hold. Only a read ends so.
    #[error("response too large")]
    ResponseTooLarge,
    /// No response to rely on: executed, or to be executed later, or not at all.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(#[source] UnknownOutcome),
}

/// Why the outcome of a call is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum UnknownOutcome {
    /// No complete response within the timeout.
    #[error("no response")]
    NoResponse,
    /// A status that the call does not have.
    #[error("unexpected status {0}")]
    UnexpectedStatus(u16),
    /// A body, or a record in it, that does not decode.
    #[error("response not understood")]
    Malformed,
}

impl UnknownOutcome {
    /// Of a response whose status is not the expected one, or whose body does not decode.
    fn of(response: &HttpResponse) -> StoreError {
        StoreError::OutcomeUnknown(match response.status {
            StatusCode::OK | StatusCode::CONFLICT => UnknownOutcome::Malformed,
            status => UnknownOutcome::UnexpectedStatus(status.as_u16()),
        })
    }
}

const MALFORMED: StoreError = StoreError::OutcomeUnknown(UnknownOutcome::Malformed);

/// The outcome of a transaction that was decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnOutcome {
    /// Applied at this revision, which is now the version of every key that it wrote.
    Applied(Revision),
    /// Not applied: these keys had other versions.
    Failed(Vec<String>),
}

/// The state service's client.
#[derive(Clone)]
pub struct StoreClient {
    http: awc::Client,
    base: String,
}

impl StoreClient {
    /// A client of the service at `address`.
    #[must_use]
    pub fn new(http: awc::Client, address: SocketAddr) -> Self {
        StoreClient {
            http,
            base: format!("http://{address}"),
        }
    }

    /// Reads a key.
    ///
    /// # Errors
    /// [`StoreError::NotFound`] if the key does not exist, any other if the service does not answer with a record of this
    /// type.
    pub async fn get<T: DeserializeOwned>(&self, key: &str) -> Result<Versioned<T>, StoreError> {
        let item: KeyValue = self.read(&format!("/keys/{key}"), TIMEOUT).await?;
        let record = read_record(&item.value).ok_or(MALFORMED)?;
        Ok(Versioned {
            record,
            version: item.version,
        })
    }

    /// Runs a transaction.
    ///
    /// # Errors
    /// If it was certainly not executed, or may have been or may yet be ([`StoreError::OutcomeUnknown`]).
    pub async fn txn(&self, txn: &Txn) -> Result<TxnOutcome, StoreError> {
        let response = self.post("/multi", encode(txn), TIMEOUT).await?;
        let reply = decode::<TxnReply>(&response.body).ok();
        match (response.status, reply) {
            (StatusCode::OK, Some(reply)) => Ok(TxnOutcome::Applied(reply.revision)),
            (StatusCode::CONFLICT, Some(reply)) => Ok(TxnOutcome::Failed(reply.failed)),
            (StatusCode::BAD_REQUEST, _) => Err(StoreError::NotFound),
            _ => Err(UnknownOutcome::of(&response)),
        }
    }

    /// Runs a transaction without changes for the revision that the service is at, whether its guards hold or not.
    ///
    /// # Errors
    /// If the service does not answer.
    pub async fn barrier(&self, txn: &Txn) -> Result<Revision, StoreError> {
        let response = self.post("/multi", encode(txn), TIMEOUT).await?;
        match (response.status, decode::<TxnReply>(&response.body).ok()) {
            (StatusCode::OK | StatusCode::CONFLICT, Some(reply)) => Ok(reply.revision),
            _ => Err(UnknownOutcome::of(&response)),
        }
    }

    /// Opens a lease that ends when it is not renewed for `ttl`, in whole milliseconds, and tells its id.
    ///
    /// # Errors
    /// If the service does not answer. A lease may have been opened all the same; it ends by itself.
    pub async fn open_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        let ttl_ms = whole_millis(ttl);
        let body = encode(&LeaseRequest { ttl_ms });
        let response = self.post("/holds", body, TIMEOUT).await?;
        match (response.status, decode::<LeaseReply>(&response.body).ok()) {
            (StatusCode::OK, Some(reply)) => Ok(reply.lease),
            _ => Err(UnknownOutcome::of(&response)),
        }
    }

    /// Renews a lease.
    ///
    /// # Errors
    /// [`StoreError::NotFound`] if the lease has ended, any other if the service does not answer within the timeout.
    pub async fn renew(&self, lease: u64, timeout: Duration) -> Result<(), StoreError> {
        let path = format!("/holds/{lease}/extend");
        let response = self.post(&path, Vec::new(), timeout).await?;
        match response.status {
            StatusCode::OK => Ok(()),
            _ => Err(UnknownOutcome::of(&response)),
        }
    }

    /// Ends a lease, and with it the keys that are attached to it. If this fails the lease ends when its time is over.
    pub async fn close_lease(&self, lease: u64) {
        let path = format!("/holds/{lease}");
        let _ = self.call(Method::DELETE, &path, None, TIMEOUT).await;
    }

    /// Waits for changes after a revision, at most for `hold`, in whole milliseconds.
    ///
    /// # Errors
    /// [`StoreError::NotFound`] if the service no longer has all changes since then, [`StoreError::ResponseTooLarge`] if there
    /// are too many, any other if the service does not answer.
    pub async fn watch(&self, after: Revision, hold: Duration) -> Result<WatchReply, StoreError> {
        let hold_ms = whole_millis(hold);
        let path = format!("/watch?starts={ROOT}&after={after}&holdMs={hold_ms}");
        self.read(&path, hold + TIMEOUT).await
    }

    /// Reads everything that a replica holds, family by family and page by page. Final states are not among it.
    ///
    /// # Errors
    /// If one of the pages cannot be read.
    pub async fn load(&self) -> Result<Replica, StoreError> {
        let mut replica = Replica::default();
        let mut first_revision = None;
        for family in KeyFamily::REPLICATED {
            let revision = self.load_family(&mut replica, family).await?;
            first_revision.get_or_insert(revision);
        }
        // The watch begins at the first page's revision, so that it brings the changes between the pages.
        replica.revision = first_revision.unwrap_or_default();
        replica.initialized = true;
        Ok(replica)
    }

    /// Reads the keys of a family into a replica, and tells the revision of the first page.
    async fn load_family(
        &self,
        replica: &mut Replica,
        family: KeyFamily,
    ) -> Result<Revision, StoreError> {
        let prefix = family.prefix();
        let mut after = String::new();
        let mut first_revision = None;
        loop {
            let page = self.page(&prefix, &after).await?;
            let revision = *first_revision.get_or_insert(page.revision);
            put_page(replica, &page);
            match page.items.last() {
                Some(last) if page.has_more => after.clone_from(&last.key),
                _ => return Ok(revision),
            }
        }
    }

    /// One page of the keys with a prefix, in their order, from the one that follows `after`.
    async fn page(&self, prefix: &str, after: &str) -> Result<Page, StoreError> {
        let path = format!("/keys?starts={prefix}&after={after}&limit={PAGE_SIZE}");
        self.read(&path, PAGE_TIMEOUT).await
    }

    async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, StoreError> {
        let response = self.call(Method::GET, path, None, timeout).await?;
        if response.status != StatusCode::OK {
            return Err(UnknownOutcome::of(&response));
        }
        decode(&response.body).map_err(|_| MALFORMED)
    }

    async fn post(
        &self,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<HttpResponse, StoreError> {
        let result = self.call(Method::POST, path, Some(body), timeout).await;
        result.map_err(|error| match error {
            // Whatever came back, what was asked for may have been done.
            StoreError::ResponseTooLarge => MALFORMED,
            error => error,
        })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<HttpResponse, StoreError> {
        let request = HttpRequest {
            method,
            url: format!("{}{path}", self.base),
            body,
            timeout,
            response_limit: RESPONSE_LIMIT,
            connection: ConnectionReuse::Keep,
        };
        let response = exchange(&self.http, request)
            .await
            .map_err(|error| match error {
                ExchangeError::TooLarge => StoreError::ResponseTooLarge,
                _ => StoreError::OutcomeUnknown(UnknownOutcome::NoResponse),
            })?;
        match response.status {
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited),
            StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable),
            StatusCode::NOT_FOUND | StatusCode::GONE => Err(StoreError::NotFound),
            _ => Ok(response),
        }
    }
}

/// Applies a page of a replica that is being read. What has changed is of no interest: the replica is new as a whole.
fn put_page(replica: &mut Replica, page: &Page) {
    let mut changes: Vec<ReplicaChange> = Vec::new();
    for item in &page.items {
        replica.put(&item.key, &item.value, item.version, &mut changes);
    }
}
