//! The server at which a worker accepts direct commands.

use super::tasks::WorkerState;
use crate::http;
use hollowswitch::protocol::{decode, DirectCommandRequest};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Status of the response to commands that were executed.
const OK: u16 = 200;
/// Status of the response to commands that were rejected.
const CONFLICT: u16 = 409;

/// Serves direct commands, with one connection per request. Returns only if the listener fails.
pub(super) async fn serve(
    worker: Rc<RefCell<WorkerState>>,
    changed: Rc<Notify>,
    listener: TcpListener,
) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (worker, changed) = (worker.clone(), changed.clone());
        actix_web::rt::spawn(async move {
            // A failed connection is ignored, since the controller sends its commands again.
            let _ = handle_request(&worker, &changed, &mut stream).await;
        });
    }
}

/// Executes the commands of a request and responds with a heartbeat.
async fn handle_request(
    worker: &RefCell<WorkerState>,
    changed: &Notify,
    stream: &mut TcpStream,
) -> Option<()> {
    let (_, body) = http::read_message(stream).await?;
    let request = decode::<DirectCommandRequest>(&body).ok()?;
    let (status, heartbeat) = {
        let mut worker = worker.borrow_mut();
        let executed = worker.handle_direct_commands(&request);
        let status = if executed { OK } else { CONFLICT };
        (status, worker.next_heartbeat())
    };
    changed.notify_one();
    http::write_response(stream, status, &heartbeat).await
}
