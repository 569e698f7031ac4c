//! The doors: users, workers, health checks and the other controllers.

#[allow(
    clippy::missing_errors_doc,
    reason = "this module has yet to be cleaned"
)]
pub mod server;
#[cfg(test)]
mod tests;

use crate::admission::concurrency_limit::{Limiter, Request};
use crate::controller::{
    Cancel, Controller, Health, Heartbeat, HeartbeatOutcome, HeartbeatResponse, JobOutcome,
    PeerCancelled, PeerView, Poll, Submit,
};
use crate::coordination::peers;
use crate::protocol::{self as wire, decode, encode, JobSpec, Report, BODY_LIMIT};
use actix::Addr;
use actix_web::http::ConnectionType;
use actix_web::{web, App, HttpResponse};
use server::Connections;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What the handlers share.
struct Door {
    node: Addr<Controller>,
    limiter: RefCell<Limiter>,
    connections: Connections,
}

fn reply(status: u16, body: Vec<u8>) -> HttpResponse {
    let status =
        actix_web::http::StatusCode::from_u16(status).unwrap_or(actix_web::http::StatusCode::OK);
    HttpResponse::build(status)
        .content_type("application/cbor")
        .body(body)
}

fn plain(status: u16, error: &str) -> HttpResponse {
    reply(
        status,
        encode(&std::collections::BTreeMap::from([("error", error)])),
    )
}

/// A response that asks the user to repeat the request, after a time in whole seconds, rounded up.
fn retry_later(status: u16, error: &str, after: Duration) -> HttpResponse {
    let whole_seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
    let mut response = plain(status, error);
    response.headers_mut().insert(
        actix_web::http::header::RETRY_AFTER,
        actix_web::http::header::HeaderValue::from(whole_seconds),
    );
    response
}

/// The response to a user's request about a job.
fn job_response(outcome: JobOutcome) -> HttpResponse {
    match outcome {
        JobOutcome::Accepted(view) => reply(201, encode(&view)),
        JobOutcome::Known(view) => reply(200, encode(&view)),
        JobOutcome::NotFound => plain(404, "no such job"),
        JobOutcome::Rejected(reason) => plain(422, &reason.to_string()),
        JobOutcome::RetryAfter(after) => {
            // The connection is closed, so that the user may reach another controller with the next one. A controller that
            // had lost the store once kept its users.
            let mut response = retry_later(503, "try again", after);
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
            response
        }
    }
}

impl Door {
    /// Runs a user's request under the limit on requests in progress.
    async fn limited<F: std::future::Future<Output = Option<JobOutcome>>>(
        &self,
        kind: Request,
        request: F,
    ) -> HttpResponse {
        if !self.limiter.borrow_mut().enter(kind) {
            return retry_later(429, "too many requests in progress", Duration::from_secs(1));
        }
        let from = Instant::now();
        let outcome = request.await.unwrap_or(JobOutcome::RETRY_SOON);
        let served = !matches!(outcome, JobOutcome::RetryAfter(_));
        self.limiter
            .borrow_mut()
            .leave(from.elapsed().as_millis() as u64, served);
        job_response(outcome)
    }
}

async fn submit(door: web::Data<Door>, body: web::Bytes) -> HttpResponse {
    let Ok(spec) = decode::<JobSpec>(&body) else {
        return plain(400, "malformed");
    };
    if let Err(field) = spec.validate() {
        return plain(400, &field.to_string());
    }
    door.limited(Request::Change, async {
        door.node.send(Submit(spec)).await.ok()
    })
    .await
}

async fn poll(door: web::Data<Door>, id: web::Path<String>) -> HttpResponse {
    if !wire::is_job_id(&id) {
        return plain(404, "no such job");
    }
    door.limited(Request::Question, async {
        door.node.send(Poll(id.into_inner())).await.ok()
    })
    .await
}

async fn abort(door: web::Data<Door>, id: web::Path<String>) -> HttpResponse {
    if !wire::is_job_id(&id) {
        return plain(404, "no such job");
    }
    door.limited(Request::Change, async {
        door.node.send(Cancel(id.into_inner())).await.ok()
    })
    .await
}

async fn up(door: web::Data<Door>) -> HttpResponse {
    match door.node.send(Health).await {
        Ok(true) => HttpResponse::Ok().finish(),
        _ => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// The response to a report. One that was decided under an authority that has ended since, while the process stood still, is not
/// sent: it might start what has been cancelled meanwhile, or renew a lease.
fn heartbeat_response(timed: HeartbeatResponse, now: Instant) -> HttpResponse {
    let valid = timed.valid_until.is_some_and(|until| now < until);
    match timed.outcome {
        HeartbeatOutcome::Reply(orders) if valid => reply(200, encode(&orders)),
        HeartbeatOutcome::Redirect(report_to) => reply(421, encode(&wire::Redirect { report_to })),
        HeartbeatOutcome::Reply(_) | HeartbeatOutcome::NoLeader => {
            plain(503, "no authority to act")
        }
    }
}

async fn hello(door: web::Data<Door>, body: web::Bytes) -> HttpResponse {
    let Ok(report) = decode::<Report>(&body) else {
        tracing::info!(bytes = body.len(), "report not understood");
        return plain(400, "malformed");
    };
    let mut r = match door.node.send(Heartbeat(report)).await {
        Ok(timed) => heartbeat_response(timed, Instant::now()),
        Err(_) => plain(503, "stopping"),
    };
    // A worker that is not served here goes on to another node.
    if r.status() != 200 || !door.connections.keep() {
        r.head_mut().set_connection_type(ConnectionType::Close);
    }
    r
}

async fn view(door: web::Data<Door>, body: web::Bytes) -> HttpResponse {
    let Some(view) = peers::decode::<peers::View>(&body) else {
        return plain(400, "malformed");
    };
    match door.node.send(PeerView(view)).await {
        Ok(own) => HttpResponse::Ok().body(peers::encode(&own)),
        Err(_) => plain(503, "stopping"),
    }
}

async fn cancelled(door: web::Data<Door>, body: web::Bytes) -> HttpResponse {
    let Some(told) = peers::decode::<peers::Cancelled>(&body) else {
        return plain(400, "malformed");
    };
    match door.node.send(PeerCancelled(told)).await {
        Ok(revision) => HttpResponse::Ok().body(peers::encode(&revision)),
        Err(_) => plain(503, "stopping"),
    }
}

/// Where a controller is reached.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For users, workers and health checks.
    pub api: SocketAddr,
    /// For the other controllers.
    pub internal: SocketAddr,
}

/// The routes of users, workers and health checks. What is asked most comes first: they are compared in this order, those
/// with a variable part by a slow matcher.
fn public_routes(config: &mut web::ServiceConfig) {
    // A report lists everything on its machine; workers are not limited as users are.
    let report_limit = web::PayloadConfig::new(16 * BODY_LIMIT);
    config
        .service(
            web::resource("/hello")
                .app_data(report_limit)
                .route(web::post().to(hello)),
        )
        .service(web::resource("/up").route(web::get().to(up)))
        .service(web::resource("/v1/jobs").route(web::post().to(submit)))
        .service(web::resource("/v1/jobs/{id}").route(web::get().to(poll)))
        .service(web::resource("/v1/jobs/{id}/abort").route(web::post().to(abort)));
}

/// The routes of the other controllers.
fn peer_routes(config: &mut web::ServiceConfig) {
    let limit = || web::PayloadConfig::new(peers::MESSAGE_SIZE_LIMIT);
    config
        .service(
            web::resource("/peer/view")
                .app_data(limit())
                .route(web::post().to(view)),
        )
        .service(
            web::resource("/peer/cancelled")
                .app_data(limit())
                .route(web::post().to(cancelled)),
        );
}

/// Serves both addresses until the process ends, over a number of connections at most.
pub async fn serve(
    node: Addr<Controller>,
    addresses: Addresses,
    connections: usize,
) -> std::io::Result<()> {
    let open = Connections::new(connections);
    let limiter = RefCell::new(Limiter::new(connections / 4));
    let door = web::Data::new(Door {
        node,
        limiter,
        connections: open.clone(),
    });
    let shared = addresses.api == addresses.internal;
    let app = |public: bool, peers: bool| {
        let app = App::new()
            .app_data(door.clone())
            .app_data(web::PayloadConfig::new(BODY_LIMIT));
        let app = if public {
            app.configure(public_routes)
        } else {
            app
        };
        let app = if peers {
            app.configure(peer_routes)
        } else {
            app
        };
        app.default_service(web::to(|| async { plain(404, "no such path") }))
    };
    let public = server::serve(addresses.api, app(true, shared), open.clone());
    if shared {
        return public.await;
    }
    let internal = server::serve(addresses.internal, app(false, true), open);
    futures_util::future::try_join(public, internal)
        .await
        .map(|_| ())
}
