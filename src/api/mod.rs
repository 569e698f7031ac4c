//! The HTTP API of a controller. One address serves users, workers and health checks, another one serves the peers, which are the
//! other controllers.
//!
//! A handler decodes the request, passes it to the [controller](crate::controller) and maps the typed outcome to a status and a
//! body. The handlers themselves reject only malformed requests and user requests beyond the
//! [concurrency limit](crate::admission::concurrency_limit).

mod connection_activity;
mod connections;
mod health;
mod metrics;
mod peers;
mod responses;
mod server;
mod status;
#[cfg(test)]
mod tests;
mod users;
mod workers;

use crate::admission::concurrency_limit::ConcurrencyLimit;
use crate::controller::Controller;
use crate::protocol::MAX_BODY_BYTES;
use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::{web, App};
use connections::Connections;
use metrics::ApiMetrics;
use prometheus_client::registry::Registry;
use status::StatusGauges;
use std::net::SocketAddr;

/// Number of connections per user request in progress. The connection limit divided by this is the maximum of the concurrency
/// limit.
const CONNECTIONS_PER_USER_REQUEST: usize = 4;
/// Maximum size of a heartbeat, in bytes. It is larger than that of users' requests, since a heartbeat lists all tasks of its
/// machine.
const MAX_HEARTBEAT_BYTES: usize = 16 * MAX_BODY_BYTES;

/// The addresses on which a controller listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Address for users, workers and health checks.
    pub api: SocketAddr,
    /// Address for peers.
    pub internal: SocketAddr,
}

/// State shared by all handlers.
struct ApiState {
    controller: Addr<Controller>,
    concurrency_limit: ConcurrencyLimit,
    connections: Connections,
    metrics: ApiMetrics,
    status_gauges: StatusGauges,
    registry: Registry,
}

impl ApiState {
    /// Creates the state and registers the metrics of the API, next to those that the registry has already.
    fn new(controller: Addr<Controller>, connections: Connections, mut registry: Registry) -> Self {
        let metrics = ApiMetrics::default();
        metrics.register(&mut registry);
        let status_gauges = StatusGauges::new(&mut registry);
        let max_user_requests = connections.limit() / CONNECTIONS_PER_USER_REQUEST;
        ApiState {
            controller,
            concurrency_limit: ConcurrencyLimit::new(max_user_requests),
            connections,
            metrics,
            status_gauges,
            registry,
        }
    }
}

/// The clients that an application serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Audience {
    /// Users, workers and health checks.
    Public,
    /// The other controllers.
    Peers,
    /// All clients, if both addresses are the same.
    Everyone,
}

/// Serves both addresses until the process ends, with at most `max_connections` open at a time. The metrics in `registry` and
/// those of the API are served to operators.
///
/// # Errors
///
/// Returns an error if a server cannot listen on its address, or if an application cannot be initialized or has stopped.
pub async fn serve(
    controller: Addr<Controller>,
    registry: Registry,
    addresses: Addresses,
    max_connections: usize,
) -> std::io::Result<()> {
    let connections = Connections::new(max_connections);
    let state = web::Data::new(ApiState::new(controller, connections.clone(), registry));
    actix::spawn(status::run_status_log(state.clone()));
    // A closure rather than a function, since the type of an application cannot be named.
    let app = |audience: Audience| {
        App::new()
            .app_data(state.clone())
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .configure(|config| configure_routes(config, audience))
            .default_service(web::to(|| async {
                responses::error(StatusCode::NOT_FOUND, "no such path")
            }))
    };
    if addresses.api == addresses.internal {
        return server::serve(addresses.api, app(Audience::Everyone), connections).await;
    }
    let public = server::serve(addresses.api, app(Audience::Public), connections.clone());
    let internal = server::serve(addresses.internal, app(Audience::Peers), connections);
    futures_util::future::try_join(public, internal)
        .await
        .map(|_| ())
}

/// Configures the routes for the clients that an application serves.
fn configure_routes(config: &mut web::ServiceConfig, audience: Audience) {
    if audience != Audience::Peers {
        configure_public_routes(config);
    }
    if audience != Audience::Public {
        configure_peer_routes(config);
    }
}

/// Configures the routes for users, workers and health checks. The most frequent requests come first, since routes are compared
/// in this order, and matching those with a variable part is slow.
fn configure_public_routes(config: &mut web::ServiceConfig) {
    config
        .service(
            web::resource("/hello")
                .app_data(web::PayloadConfig::new(MAX_HEARTBEAT_BYTES))
                .route(web::post().to(workers::heartbeat)),
        )
        .service(web::resource("/up").route(web::get().to(health::check)))
        .service(web::resource("/v1/jobs").route(web::post().to(users::submit)))
        .service(web::resource("/v1/jobs/{id}").route(web::get().to(users::poll)))
        .service(web::resource("/v1/jobs/{id}/abort").route(web::post().to(users::cancel)));
}

/// Configures the routes for peers, and for operators, who have access to the same address.
fn configure_peer_routes(config: &mut web::ServiceConfig) {
    let limit = || web::PayloadConfig::new(crate::coordination::peers::MAX_MESSAGE_BYTES);
    config
        .service(
            web::resource("/peer/view")
                .app_data(limit())
                .route(web::post().to(peers::view)),
        )
        .service(web::resource("/metrics").route(web::get().to(status::metrics)))
        .service(
            web::resource("/peer/cancelled")
                .app_data(limit())
                .route(web::post().to(peers::cancelled)),
        );
}
