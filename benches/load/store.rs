//! A stand-in for the consensus-backed key-value store: one map in memory behind the wire protocol.
//!
//! Its leases do not end, since no controller ends in these runs.

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

/// By how many changes a watch can lag behind.
const HISTORY: usize = 10_000;

/// A key's value and version.
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

/// The stand-in.
pub(crate) struct Store {
    content: Mutex<Content>,
    changed: watch::Sender<Revision>,
}

impl Default for Store {
    fn default() -> Self {
        Store {
            content: Mutex::default(),
            changed: watch::channel(Revision::ZERO).0,
        }
    }
}

/// What a listing or a watch asks for.
#[derive(Deserialize)]
struct Query {
    starts: String,
    #[serde(default)]
    after: String,
    #[serde(default)]
    limit: usize,
    #[serde(default, rename = "holdMs")]
    hold_ms: u64,
}

fn cbor<T: serde::Serialize>(status: u16, body: &T) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(status).expect("a status of the protocol");
    HttpResponse::build(status)
        .content_type("application/cbor")
        .body(encode(body))
}

fn transaction_reply(status: u16, failed: Vec<String>, revision: Revision) -> HttpResponse {
    cbor(status, &TxnReply { failed, revision })
}

impl Content {
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
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }

    /// Commits a transaction whose guards all hold.
    fn commit(&mut self, txn: Txn) -> HttpResponse {
        let version = |key: &str| {
            self.keys
                .get(key)
                .map_or(Revision::ZERO, |stored| stored.version)
        };
        let failed: Vec<String> = txn
            .guards
            .iter()
            .filter(|guard| version(&guard.key) != guard.version)
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

    /// The keys of a listing, up to its limit.
    fn page(&self, query: &Query) -> Page {
        let after = if query.after.is_empty() {
            Bound::Included(query.starts.clone())
        } else {
            Bound::Excluded(query.after.clone())
        };
        let mut rows = self
            .keys
            .range((after, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(&query.starts));
        let item = |(key, stored): (&String, &StoredValue)| KeyValue {
            key: key.clone(),
            value: stored.value.clone(),
            version: stored.version,
        };
        Page {
            items: rows.by_ref().take(query.limit).map(item).collect(),
            has_more: rows.next().is_some(),
            revision: self.revision,
        }
    }

    /// The changes that a watch has yet to see.
    fn events_after(&self, revision: Revision, prefix: &str) -> Vec<Event> {
        let newer = |event: &&Event| match event {
            Event::Put { put, version, .. } => *version > revision && put.starts_with(prefix),
            Event::Delete { key, version } => *version > revision && key.starts_with(prefix),
        };
        self.history.iter().filter(newer).cloned().collect()
    }
}

impl Store {
    fn content(&self) -> std::sync::MutexGuard<'_, Content> {
        self.content.lock().expect("no handler panics")
    }
}

async fn commit(store: web::Data<Store>, body: web::Bytes) -> HttpResponse {
    let Ok(txn) = decode::<Txn>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let mut content = store.content();
    let response = content.commit(txn);
    store.changed.send_replace(content.revision);
    response
}

async fn get(store: web::Data<Store>, key: web::Path<String>) -> HttpResponse {
    let content = store.content();
    let Some(stored) = content.keys.get(key.as_str()) else {
        return transaction_reply(404, Vec::new(), content.revision);
    };
    let item = KeyValue {
        key: key.into_inner(),
        value: stored.value.clone(),
        version: stored.version,
    };
    cbor(200, &item)
}

async fn list(store: web::Data<Store>, query: web::Query<Query>) -> HttpResponse {
    cbor(200, &store.content().page(&query))
}

/// Answers a watch when something has changed, or when its time is over.
async fn watch_prefix(store: web::Data<Store>, query: web::Query<Query>) -> HttpResponse {
    let after = query.after.parse().unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(query.hold_ms);
    let mut changed = store.changed.subscribe();
    loop {
        let (events, revision) = {
            let content = store.content();
            (
                content.events_after(Revision::new(after), &query.starts),
                content.revision,
            )
        };
        let left = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            return cbor(200, &WatchReply { revision, events });
        }
        let _ = tokio::time::timeout(left, changed.changed()).await;
    }
}

async fn open_lease(store: web::Data<Store>) -> HttpResponse {
    let mut content = store.content();
    content.last_lease += 1;
    let lease = content.last_lease;
    cbor(200, &LeaseReply { lease })
}

async fn renew_lease() -> HttpResponse {
    HttpResponse::Ok().finish()
}

/// The routes of the store.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/multi", web::post().to(commit))
        .route("/keys", web::get().to(list))
        .route("/keys/{key:.*}", web::get().to(get))
        .route("/watch", web::get().to(watch_prefix))
        .route("/holds", web::post().to(open_lease))
        .route("/holds/{id}/extend", web::post().to(renew_lease))
        .route("/holds/{id}", web::delete().to(renew_lease));
}
