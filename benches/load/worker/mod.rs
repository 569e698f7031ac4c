//! A stand-in for a worker: heartbeats over one kept connection, and direct commands on an address of its own.

mod direct;
mod heartbeats;
mod tasks;

use crate::topology::ControllerId;
use heartbeats::{HeartbeatConnection, Outcome};
use hollowswitch::protocol::ListedMachine;
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tasks::WorkerState;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Least time between two heartbeats.
const HEARTBEAT_GAP: Duration = Duration::from_millis(500);
/// Time until a heartbeat that failed is sent to another controller.
const RETRY: Duration = Duration::from_secs(1);

/// What all workers share.
#[derive(Clone)]
pub(crate) struct Settings {
    /// The controllers.
    pub controllers: Vec<ControllerId>,
    /// Port of direct commands.
    pub port: u16,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Run time of a task.
    pub task_run_time: Duration,
}

/// Runs a worker for ever.
pub(crate) async fn run(machine: ListedMachine, address: Ipv4Addr, settings: Settings) {
    let state = WorkerState::new(machine, settings.task_run_time);
    let worker = Rc::new(RefCell::new(state));
    let changed = Rc::new(Notify::new());
    let listener = TcpListener::bind((address, settings.port))
        .await
        .expect("a free address");
    actix_web::rt::spawn(direct::serve(worker.clone(), changed.clone(), listener));
    let mut connection = HeartbeatConnection::new(settings.controllers);
    loop {
        let heartbeat = worker.borrow_mut().next_heartbeat();
        match connection.exchange(&heartbeat).await {
            Outcome::Answered(reply) => {
                if reply.is_some_and(|reply| worker.borrow_mut().take_reply(&reply)) {
                    changed.notify_one();
                }
                wait_for_next_heartbeat(&worker, &changed, settings.heartbeat_interval).await;
            }
            Outcome::Redirected => tokio::time::sleep(HEARTBEAT_GAP).await,
            Outcome::Failed => tokio::time::sleep(RETRY).await,
        }
    }
}

/// Waits until the next heartbeat is due, or something has changed.
async fn wait_for_next_heartbeat(
    worker: &RefCell<WorkerState>,
    changed: &Notify,
    interval: Duration,
) {
    tokio::time::sleep(HEARTBEAT_GAP).await;
    let spread = interval.mul_f64(rand::random::<f64>() / 2.0 + 0.75);
    let until = Instant::now() + spread.saturating_sub(HEARTBEAT_GAP);
    loop {
        if worker.borrow_mut().end_due_tasks() {
            return;
        }
        let next_end = worker.borrow().next_task_end();
        let wake = next_end.map_or(until, |end| end.min(until));
        tokio::select! {
            () = changed.notified() => return,
            () = tokio::time::sleep_until(wake) => {}
        }
        if Instant::now() >= until {
            worker.borrow_mut().end_due_tasks();
            return;
        }
    }
}
