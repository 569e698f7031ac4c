//! Health checks by the load balancer.

use super::connection_activity::{record_request, Client};
use super::ApiState;
use crate::controller::Health;
use actix_web::{web, HttpRequest, HttpResponse};

/// `GET /up`: reports whether users' requests should be routed to this controller.
pub(super) async fn check(state: web::Data<ApiState>, request: HttpRequest) -> HttpResponse {
    record_request(&request, Client::Monitor);
    match state.controller.send(Health).await {
        Ok(true) => HttpResponse::Ok().finish(),
        Ok(false) | Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}
