//! The address on which a worker takes direct commands.

use super::tasks::WorkerState;
use crate::http;
use hollowswitch::protocol::{decode, DirectCommandRequest};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Status of an answer to commands that were executed.
const OK: u16 = 200;
/// Status of an answer to commands that are void.
const CONFLICT: u16 = 409;

/// Serves direct commands for ever, a connection for each.
pub(super) async fn serve(
    worker: Rc<RefCell<WorkerState>>,
    changed: Rc<Notify>,
    listener: TcpListener,
) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (worker, changed) = (worker.clone(), changed.clone());
        actix_web::rt::spawn(async move {
            // The peer of a connection that fails asks again.
            let _ = answer(&worker, &changed, &mut stream).await;
        });
    }
}

/// Executes the commands of a connection, and answers with a heartbeat.
async fn answer(
    worker: &RefCell<WorkerState>,
    changed: &Notify,
    stream: &mut TcpStream,
) -> Option<()> {
    let (_, body) = http::read(stream).await?;
    let commands = decode::<DirectCommandRequest>(&body).ok()?;
    let (status, heartbeat) = {
        let mut worker = worker.borrow_mut();
        let executed = worker.take_direct_commands(&commands);
        let status = if executed { OK } else { CONFLICT };
        (status, worker.next_heartbeat())
    };
    changed.notify_one();
    http::respond(stream, status, &heartbeat).await
}
