//! Messages from peers, which are the other controllers.

use super::connection_activity::{record_request, Client};
use super::{responses, ApiState};
use crate::controller::{PeerCancelled, PeerView};
use crate::coordination::peers::{decode, encode, Cancelled, View};
use actix_web::{web, HttpRequest, HttpResponse};

/// `POST /peer/view`: receives the view of a peer and responds with the view of this controller.
pub(super) async fn view(
    state: web::Data<ApiState>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    record_request(&request, Client::Peer);
    let Some(view) = decode::<View>(&body) else {
        return responses::malformed();
    };
    match state.controller.send(PeerView(view)).await {
        Ok(own_view) => HttpResponse::Ok().body(encode(&own_view)),
        Err(_) => responses::stopping(),
    }
}

/// `POST /peer/cancelled`: receives durable cancellations from a peer and responds with the revision that this controller's
/// replica has reached.
pub(super) async fn cancelled(
    state: web::Data<ApiState>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    record_request(&request, Client::Peer);
    let Some(cancelled) = decode::<Cancelled>(&body) else {
        return responses::malformed();
    };
    match state.controller.send(PeerCancelled(cancelled)).await {
        Ok(revision) => HttpResponse::Ok().body(encode(&revision)),
        Err(_) => responses::stopping(),
    }
}
