//! The server at which a worker accepts direct commands.

use super::Worker;
use crate::harness::http;
use hollowswitch::protocol::{decode, encode, DirectCommandRequest};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, sleep_until, Instant};

/// Status of the response to commands that were executed.
const OK: u16 = 200;
/// Status of the response to commands without a token or session.
const BAD_REQUEST: u16 = 400;
/// Status of the response to commands that were rejected.
const CONFLICT: u16 = 409;
/// Time for which a connection stays open whose messages are lost.
const LOST_MESSAGE_TIME: Duration = Duration::from_secs(5);

/// Serves direct commands, with one connection per request. Returns only if the listener fails.
pub(super) async fn serve(worker: Worker, listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let worker = worker.clone();
        actix_web::rt::spawn(async move {
            // A failed connection is ignored, since the controller sends its commands again.
            let _ = handle_request(&worker, &mut stream).await;
        });
    }
}

/// Executes the commands of a request and responds with a status.
async fn handle_request(worker: &Worker, stream: &mut TcpStream) -> Option<()> {
    let asked_at = worker.settings().recorder.now();
    if Instant::now() < worker.condition().answers_lost_until {
        sleep(LOST_MESSAGE_TIME).await;
        return None;
    }
    let (head, body) = http::read_message(stream).await?;
    if head.starts_with("get ") {
        let status = encode(&worker.lock().next_status());
        return http::write_response(stream, OK, &status).await;
    }
    let Ok(request) = decode::<DirectCommandRequest>(&body) else {
        return http::write_response(stream, BAD_REQUEST, &[]).await;
    };
    let condition = worker.condition();
    let is_late = Instant::now() < condition.late_commands_until;
    if is_late {
        sleep(condition.command_delay).await;
    }
    sleep_until(worker.condition().hung_until).await;
    if worker.is_off() {
        return None;
    }
    let (status, body) = {
        let mut state = worker.lock();
        let is_executed = state.handle_direct_commands(&request, asked_at, worker.settings());
        let status = if is_executed { OK } else { CONFLICT };
        (status, encode(&state.next_status()))
    };
    worker.notify_change();
    if is_late {
        return None;
    }
    http::write_response(stream, status, &body).await
}
