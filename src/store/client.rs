//! The state service's client.

use super::records::record;
use super::{Mirror, Revision, Versioned, ROOT};
use crate::clients::http::{exchange, ConnectionReuse, ExchangeError, HttpRequest};
use crate::protocol::{self as wire, Item, Txn};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// How a call to the state service can end without an answer to rely on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Over the rate; surely not executed (429).
    #[error("busy")]
    Busy,
    /// Refused and surely not executed (503).
    #[error("refused")]
    Refused,
    /// No answer: executed, or to be executed later, or not at all.
    #[error("no answer")]
    Unknown,
    /// The thing asked for does not exist or no longer does (404, 410, no such lease).
    #[error("gone")]
    Gone,
    /// The answer is larger than this process is ready to hold.
    #[error("answer too large")]
    TooLarge,
}

/// The outcome of a transaction that was decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decided {
    /// Applied at this revision.
    Applied(Revision),
    /// Conditions failed, for these keys.
    Failed(Vec<String>),
}

/// The state service's client.
#[derive(Clone)]
pub struct StoreClient {
    http: awc::Client,
    base: String,
}

/// Time allowed for an ordinary call.
const CALL: Duration = Duration::from_millis(1500);
/// Largest answer taken. A page of keys has 512 KiB at most; only a watch has no limit, and one that brings more than this is
/// replaced by reading the keys page by page, which costs less memory.
const ANSWER_LIMIT: usize = 4 << 20;

impl StoreClient {
    /// A client of the service at `addr`.
    #[must_use]
    pub fn new(http: awc::Client, addr: SocketAddr) -> Self {
        StoreClient {
            http,
            base: format!("http://{addr}"),
        }
    }

    async fn call(
        &self,
        method: awc::http::Method,
        path: &str,
        body: Option<Vec<u8>>,
        within: Duration,
    ) -> Result<(u16, Vec<u8>), StoreError> {
        let request = HttpRequest {
            method,
            url: format!("{}{path}", self.base),
            body,
            timeout: within,
            response_limit: ANSWER_LIMIT,
            connection: ConnectionReuse::Keep,
        };
        let response = exchange(&self.http, request)
            .await
            .map_err(|error| match error {
                ExchangeError::TooLarge => StoreError::TooLarge,
                _ => StoreError::Unknown,
            })?;
        match response.status.as_u16() {
            429 => Err(StoreError::Busy),
            503 => Err(StoreError::Refused),
            404 | 410 => Err(StoreError::Gone),
            status => Ok((status, response.body)),
        }
    }

    async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        within: Duration,
    ) -> Result<T, StoreError> {
        let (status, body) = self
            .call(awc::http::Method::GET, path, None, within)
            .await?;
        if status != 200 {
            return Err(StoreError::Unknown);
        }
        wire::decode(&body).map_err(|_| StoreError::Unknown)
    }

    async fn post(
        &self,
        path: &str,
        body: Vec<u8>,
        within: Duration,
    ) -> Result<(u16, Vec<u8>), StoreError> {
        let answer = self
            .call(awc::http::Method::POST, path, Some(body), within)
            .await;
        // Whatever it was that came back, what was asked for may have been done.
        answer.map_err(|error| {
            if error == StoreError::TooLarge {
                StoreError::Unknown
            } else {
                error
            }
        })
    }

    /// Reads a key; `Gone` if it does not exist.
    pub async fn get<T: DeserializeOwned>(&self, key: &str) -> Result<Versioned<T>, StoreError> {
        let item: Item = self.read(&format!("/keys/{key}"), CALL).await?;
        let record = record(&item.value).ok_or(StoreError::Unknown)?;
        Ok(Versioned {
            record,
            version: item.version,
        })
    }

    /// Runs a transaction.
    pub async fn txn(&self, txn: &Txn) -> Result<Decided, StoreError> {
        let (status, body) = self.post("/multi", wire::encode(txn), CALL).await?;
        let reply = wire::decode::<wire::TxnReply>(&body);
        match (status, reply) {
            (200, Ok(r)) => Ok(Decided::Applied(r.revision)),
            (409, Ok(r)) => Ok(Decided::Failed(r.failed)),
            (400, _) => Err(StoreError::Gone),
            _ => Err(StoreError::Unknown),
        }
    }

    /// Runs a compare-only transaction for the revision it tells, whatever it finds.
    pub async fn barrier(&self, txn: &Txn) -> Result<Revision, StoreError> {
        let (status, body) = self.post("/multi", wire::encode(txn), CALL).await?;
        match (status, wire::decode::<wire::TxnReply>(&body)) {
            (200 | 409, Ok(r)) => Ok(r.revision),
            _ => Err(StoreError::Unknown),
        }
    }

    /// Opens a lease.
    pub async fn open_lease(&self, ttl_ms: u64) -> Result<u64, StoreError> {
        let (status, body) = self
            .post("/holds", wire::encode(&wire::LeaseRequest { ttl_ms }), CALL)
            .await?;
        match (status, wire::decode::<wire::LeaseReply>(&body)) {
            (200, Ok(r)) => Ok(r.lease),
            _ => Err(StoreError::Unknown),
        }
    }

    /// Renews a lease.
    pub async fn renew(&self, lease: u64, within: Duration) -> Result<(), StoreError> {
        match self
            .post(&format!("/holds/{lease}/extend"), Vec::new(), within)
            .await?
            .0
        {
            200 => Ok(()),
            _ => Err(StoreError::Unknown),
        }
    }

    /// Gives a lease up.
    pub async fn close_lease(&self, lease: u64) {
        let _ = self
            .call(
                awc::http::Method::DELETE,
                &format!("/holds/{lease}"),
                None,
                CALL,
            )
            .await;
    }

    /// Waits for changes after a revision.
    pub async fn watch(&self, after: Revision, hold_ms: u64) -> Result<wire::Watched, StoreError> {
        let path = format!("/watch?starts={ROOT}&after={after}&holdMs={hold_ms}");
        self.read(&path, Duration::from_millis(hold_ms) + CALL)
            .await
    }

    /// Reads everything that a mirror holds; final states are read only when asked for.
    pub async fn load(&self) -> Result<Mirror, StoreError> {
        let mut mirror = Mirror::default();
        let mut first = None;
        let mut seen = Vec::new();
        for family in [
            "catalogue",
            "done/",
            "epoch",
            "hire/",
            "leader",
            "live/",
            "starts/",
            "stopping/",
        ] {
            let mut after = String::new();
            loop {
                let path = format!("/keys?starts={ROOT}{family}&after={after}&limit=200");
                let page: wire::Page = self.read(&path, CALL * 2).await?;
                // Changes between the pages are seen by the watch, which begins at the first page's revision.
                first.get_or_insert(page.revision);
                for item in &page.items {
                    mirror.put(&item.key, &item.value, item.version, &mut seen);
                }
                match page.items.last() {
                    Some(last) if page.more => after = last.key.clone(),
                    _ => break,
                }
            }
        }
        mirror.revision = first.unwrap_or_default();
        mirror.loaded = true;
        Ok(mirror)
    }
}
