//! The HTTP handlers of the simulated state service.

use super::content::{Committed, PageQuery};
use super::limits::Refusal;
use super::SimulatedStore;
use crate::harness::history::lock;
use crate::harness::topology::ControllerId;
use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use hollowswitch::protocol::{
    decode, encode, ErrorReply, LeaseReply, LeaseRequest, Revision, Txn, TxnReply, WatchReply,
};
use serde::Deserialize;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time after which a request whose answer is lost ends. Callers have given up by then.
const LOST_ANSWER_TIME: Duration = Duration::from_secs(8);

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
fn cbor_response<T: serde::Serialize>(status: StatusCode, body: &T) -> HttpResponse {
    HttpResponse::build(status)
        .content_type("application/cbor")
        .body(encode(body))
}

fn transaction_reply(status: StatusCode, failed: Vec<String>, revision: Revision) -> HttpResponse {
    cbor_response(status, &TxnReply { failed, revision })
}

fn bad_request(reason: &str) -> HttpResponse {
    let error = reason.to_string();
    cbor_response(StatusCode::BAD_REQUEST, &ErrorReply { error })
}

/// Waits for the latency of the service and admits a request, or returns the response that refuses it.
async fn admit(
    store: &SimulatedStore,
    controller: ControllerId,
    changes: usize,
) -> Result<(), HttpResponse> {
    sleep(store.latency()).await;
    store
        .admit(controller, changes)
        .map_err(|refusal| match refusal {
            Refusal::RateLimited => HttpResponse::TooManyRequests().finish(),
            Refusal::Unavailable => HttpResponse::ServiceUnavailable().finish(),
        })
}

/// Handles `POST /multi`: executes a transaction.
async fn commit(
    store: web::Data<SimulatedStore>,
    controller: web::Data<ControllerId>,
    body: web::Bytes,
) -> HttpResponse {
    let Ok(txn) = decode::<Txn>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if let Err(refused) = admit(&store, **controller, txn.apply.len()).await {
        return refused;
    }
    if let Err(limit) = store.check_size(&txn) {
        return bad_request(&format!("too large: {limit:?}"));
    }
    match store.commit(txn) {
        Some(Committed::Applied(revision)) => {
            transaction_reply(StatusCode::OK, Vec::new(), revision)
        }
        Some(Committed::Failed { keys, revision }) => {
            transaction_reply(StatusCode::CONFLICT, keys, revision)
        }
        Some(Committed::NoSuchLease) => bad_request(ErrorReply::NO_SUCH_LEASE),
        None => {
            sleep(LOST_ANSWER_TIME).await;
            HttpResponse::GatewayTimeout().finish()
        }
    }
}

/// Handles `GET /keys/{key}`: returns a key.
async fn get(
    store: web::Data<SimulatedStore>,
    controller: web::Data<ControllerId>,
    key: web::Path<String>,
) -> HttpResponse {
    if let Err(refused) = admit(&store, **controller, 0).await {
        return refused;
    }
    let content = lock(&store.content);
    match content.get(&key) {
        Some(item) => cbor_response(StatusCode::OK, &item),
        None => transaction_reply(StatusCode::NOT_FOUND, Vec::new(), content.revision()),
    }
}

/// Handles `GET /keys`: returns a page of keys.
async fn list(
    store: web::Data<SimulatedStore>,
    controller: web::Data<ControllerId>,
    query: web::Query<QueryParameters>,
) -> HttpResponse {
    if let Err(refused) = admit(&store, **controller, 0).await {
        return refused;
    }
    let page = lock(&store.content).page(&PageQuery {
        prefix: &query.starts,
        after: &query.after,
        limit: query.limit,
    });
    cbor_response(StatusCode::OK, &page)
}

/// Handles `GET /watch`: responds as soon as there are events, or without events after the requested time.
///
/// A watch that was open while the controller was refused or the service was down stays silent until its time is over.
async fn watch_prefix(
    store: web::Data<SimulatedStore>,
    controller: web::Data<ControllerId>,
    query: web::Query<QueryParameters>,
) -> HttpResponse {
    if let Err(refused) = admit(&store, **controller, 0).await {
        return refused;
    }
    let after = Revision::new(query.after.parse().unwrap_or(0));
    let deadline = Instant::now() + Duration::from_millis(query.hold_ms);
    let mut changed = store.changed.subscribe();
    let mut is_silent = false;
    loop {
        let (events, revision) = {
            let content = lock(&store.content);
            (
                content.events_after(after, &query.starts),
                content.revision(),
            )
        };
        let Some(events) = events else {
            return HttpResponse::Gone().finish();
        };
        let now = Instant::now();
        is_silent |= now < store.unavailable_until(**controller);
        let time_left = deadline.saturating_duration_since(now);
        if time_left.is_zero() || (!events.is_empty() && !is_silent) {
            return cbor_response(StatusCode::OK, &WatchReply { revision, events });
        }
        if is_silent {
            sleep(time_left).await;
        } else {
            let _ = tokio::time::timeout(time_left, changed.changed()).await;
        }
    }
}

/// Handles `POST /holds`: opens a lease.
async fn open_lease(
    store: web::Data<SimulatedStore>,
    controller: web::Data<ControllerId>,
    body: web::Bytes,
) -> HttpResponse {
    let Ok(request) = decode::<LeaseRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if let Err(refused) = admit(&store, **controller, 0).await {
        return refused;
    }
    let ttl = Duration::from_millis(request.ttl_ms);
    let lease = lock(&store.content).open_lease(ttl);
    cbor_response(StatusCode::OK, &LeaseReply { lease })
}

/// Handles `POST /holds/{id}/extend`: renews a lease.
async fn renew_lease(
    store: web::Data<SimulatedStore>,
    controller: web::Data<ControllerId>,
    id: web::Path<u64>,
) -> HttpResponse {
    if let Err(refused) = admit(&store, **controller, 0).await {
        return refused;
    }
    if lock(&store.content).renew_lease(*id) {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::NotFound().finish()
    }
}

/// Handles `DELETE /holds/{id}`: ends a lease.
async fn end_lease(
    store: web::Data<SimulatedStore>,
    controller: web::Data<ControllerId>,
    id: web::Path<u64>,
) -> HttpResponse {
    if let Err(refused) = admit(&store, **controller, 0).await {
        return refused;
    }
    store.change_content(|content| content.end_lease(*id));
    HttpResponse::Ok().finish()
}

/// Registers the routes of the store.
pub(super) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/multi", web::post().to(commit))
        .route("/keys", web::get().to(list))
        .route("/keys/{key:.*}", web::get().to(get))
        .route("/watch", web::get().to(watch_prefix))
        .route("/holds", web::post().to(open_lease))
        .route("/holds/{id}/extend", web::post().to(renew_lease))
        .route("/holds/{id}", web::delete().to(end_lease));
}
