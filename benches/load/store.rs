//! A simulated key-value store: an in-memory map that speaks the protocol of the state service.
//!
//! Its leases never end, since all controllers run until the end of the benchmark.

use actix_web::{web, HttpResponse};
use ciborium::Value;
use hollowswitch::protocol::{
    decode, encode, Change, Event, KeyValue, LeaseReply, Page, Revision, Txn, TxnReply, WatchReply,
};
use serde::Deserialize;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Maximum number of events kept for watches. A watch that lags further behind misses events.
const HISTORY_LIMIT: usize = 10_000;

/// The value and version of a key.
struct StoredValue {
    value: Value,
    version: Revision,
}

/// The content of the store.
#[derive(Default)]
struct Content {
    revision: Revision,
    last_lease: u64,
    keys: BTreeMap<String, StoredValue>,
    history: VecDeque<Event>,
}

/// The simulated store.
pub(crate) struct SimulatedStore {
    content: Mutex<Content>,
    changed: watch::Sender<Revision>,
}

impl Default for SimulatedStore {
    fn default() -> Self {
        SimulatedStore {
            content: Mutex::default(),
            changed: watch::channel(Revision::ZERO).0,
        }
    }
}

/// Query parameters of a listing or a watch.
#[derive(Deserialize)]
struct QueryParameters {
    starts: String,
    #[serde(default)]
    after: String,
    #[serde(default)]
    limit: usize,
    #[serde(default, rename = "holdMs")]
    hold_ms: u64,
}

/// Builds a response with a CBOR body.
fn cbor_response<T: serde::Serialize>(status: u16, body: &T) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(status).expect("a valid status code");
    HttpResponse::build(status)
        .content_type("application/cbor")
        .body(encode(body))
}

fn transaction_reply(status: u16, failed: Vec<String>, revision: Revision) -> HttpResponse {
    cbor_response(status, &TxnReply { failed, revision })
}

impl Content {
    /// Applies a change at the current revision and records its event.
    fn apply(&mut self, change: Change) {
        let version = self.revision;
        let event = match change {
            Change::Put { put, value, .. } => {
                let stored = StoredValue {
                    value: value.clone(),
                    version,
                };
                self.keys.insert(put.clone(), stored);
                Event::Put {
                    put,
                    value,
                    version,
                }
            }
            Change::Delete { key } => {
                self.keys.remove(&key);
                Event::Delete { key, version }
            }
        };
        self.history.push_back(event);
        if self.history.len() > HISTORY_LIMIT {
            self.history.pop_front();
        }
    }

    /// Commits a transaction if all of its guards hold.
    fn commit(&mut self, txn: Txn) -> HttpResponse {
        let current_version = |key: &str| {
            self.keys
                .get(key)
                .map_or(Revision::ZERO, |stored| stored.version)
        };
        let failed: Vec<String> = txn
            .guards
            .iter()
            .filter(|guard| current_version(&guard.key) != guard.version)
            .map(|guard| guard.key.clone())
            .collect();
        if !failed.is_empty() {
            return transaction_reply(409, failed, self.revision);
        }
        if !txn.apply.is_empty() {
            self.revision = self.revision.next();
        }
        for change in txn.apply {
            self.apply(change);
        }
        transaction_reply(200, Vec::new(), self.revision)
    }

    /// Returns the requested page of keys.
    fn page(&self, query: &QueryParameters) -> Page {
        let start = if query.after.is_empty() {
            Bound::Included(query.starts.clone())
        } else {
            Bound::Excluded(query.after.clone())
        };
        let mut remaining = self
            .keys
            .range((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(&query.starts));
        let item = |(key, stored): (&String, &StoredValue)| KeyValue {
            key: key.clone(),
            value: stored.value.clone(),
            version: stored.version,
        };
        Page {
            items: remaining.by_ref().take(query.limit).map(item).collect(),
            has_more: remaining.next().is_some(),
            revision: self.revision,
        }
    }

    /// Returns the events after a revision on keys with a prefix.
    fn events_after(&self, revision: Revision, prefix: &str) -> Vec<Event> {
        let is_match = |event: &&Event| match event {
            Event::Put { put, version, .. } => *version > revision && put.starts_with(prefix),
            Event::Delete { key, version } => *version > revision && key.starts_with(prefix),
        };
        self.history.iter().filter(is_match).cloned().collect()
    }
}

impl SimulatedStore {
    /// Locks the content.
    fn lock_content(&self) -> std::sync::MutexGuard<'_, Content> {
        self.content
            .lock()
            .expect("no handler panics while it holds the lock")
    }
}

/// Handles `POST /multi`: executes a transaction and wakes the watches.
async fn commit(store: web::Data<SimulatedStore>, body: web::Bytes) -> HttpResponse {
    let Ok(txn) = decode::<Txn>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let mut content = store.lock_content();
    let response = content.commit(txn);
    store.changed.send_replace(content.revision);
    response
}

/// Handles `GET /keys/{key}`: returns a key.
async fn get(store: web::Data<SimulatedStore>, key: web::Path<String>) -> HttpResponse {
    let content = store.lock_content();
    let Some(stored) = content.keys.get(key.as_str()) else {
        return transaction_reply(404, Vec::new(), content.revision);
    };
    let item = KeyValue {
        key: key.into_inner(),
        value: stored.value.clone(),
        version: stored.version,
    };
    cbor_response(200, &item)
}

/// Handles `GET /keys`: returns a page of keys.
async fn list(
    store: web::Data<SimulatedStore>,
    query: web::Query<QueryParameters>,
) -> HttpResponse {
    cbor_response(200, &store.lock_content().page(&query))
}

/// Handles `GET /watch`: responds as soon as there are events, or without events after the requested time.
async fn watch_prefix(
    store: web::Data<SimulatedStore>,
    query: web::Query<QueryParameters>,
) -> HttpResponse {
    let after = query.after.parse().unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(query.hold_ms);
    let mut changed = store.changed.subscribe();
    loop {
        let (events, revision) = {
            let content = store.lock_content();
            (
                content.events_after(Revision::new(after), &query.starts),
                content.revision,
            )
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        if !events.is_empty() || time_left.is_zero() {
            return cbor_response(200, &WatchReply { revision, events });
        }
        let _ = tokio::time::timeout(time_left, changed.changed()).await;
    }
}

/// Handles `POST /holds`: opens a lease.
async fn open_lease(store: web::Data<SimulatedStore>) -> HttpResponse {
    let mut content = store.lock_content();
    content.last_lease += 1;
    let lease = content.last_lease;
    cbor_response(200, &LeaseReply { lease })
}

/// Handles the renewal and the end of a lease. Both are accepted without effect, since leases never end.
async fn accept_lease_request() -> HttpResponse {
    HttpResponse::Ok().finish()
}

/// Registers the routes of the store.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/multi", web::post().to(commit))
        .route("/keys", web::get().to(list))
        .route("/keys/{key:.*}", web::get().to(get))
        .route("/watch", web::get().to(watch_prefix))
        .route("/holds", web::post().to(open_lease))
        .route("/holds/{id}/extend", web::post().to(accept_lease_request))
        .route("/holds/{id}", web::delete().to(accept_lease_request));
}
