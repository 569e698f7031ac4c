//! A simulated worker, which sends heartbeats over one persistent connection and accepts direct commands at its own address.

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

/// Minimum interval between two heartbeats.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed heartbeat before the next one is sent, to another controller.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Settings that all workers share.
#[derive(Clone)]
pub(crate) struct Settings {
    /// The controllers.
    pub controllers: Vec<ControllerId>,
    /// Port for direct commands.
    pub port: u16,
    /// Mean interval between two heartbeats.
    pub heartbeat_interval: Duration,
    /// Run time of a task.
    pub task_run_time: Duration,
}

/// Runs a worker. Does not return.
pub(crate) async fn run(machine: ListedMachine, address: Ipv4Addr, settings: Settings) {
    let state = WorkerState::new(machine, settings.task_run_time);
    let worker = Rc::new(RefCell::new(state));
    let changed = Rc::new(Notify::new());
    let listener = TcpListener::bind((address, settings.port))
        .await
        .expect("the address of the worker is free");
    actix_web::rt::spawn(direct::serve(worker.clone(), changed.clone(), listener));
    let mut connection = HeartbeatConnection::new(settings.controllers);
    loop {
        let heartbeat = worker.borrow_mut().next_heartbeat();
        match connection.exchange(&heartbeat).await {
            Outcome::Answered(reply) => {
                if reply.is_some_and(|reply| worker.borrow_mut().handle_reply(&reply)) {
                    changed.notify_one();
                }
                wait_for_next_heartbeat(&worker, &changed, settings.heartbeat_interval).await;
            }
            Outcome::Redirected => tokio::time::sleep(MIN_HEARTBEAT_INTERVAL).await,
            Outcome::Failed => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Waits until the next heartbeat is due, or until the worker has a change to report.
async fn wait_for_next_heartbeat(
    worker: &RefCell<WorkerState>,
    changed: &Notify,
    interval: Duration,
) {
    tokio::time::sleep(MIN_HEARTBEAT_INTERVAL).await;
    let jittered_interval = interval.mul_f64(rand::random::<f64>() / 2.0 + 0.75);
    let due_at = Instant::now() + jittered_interval.saturating_sub(MIN_HEARTBEAT_INTERVAL);
    loop {
        if worker.borrow_mut().finish_due_tasks() {
            return;
        }
        let next_end = worker.borrow().next_task_end();
        let wake_at = next_end.map_or(due_at, |end| end.min(due_at));
        tokio::select! {
            () = changed.notified() => return,
            () = tokio::time::sleep_until(wake_at) => {}
        }
        if Instant::now() >= due_at {
            worker.borrow_mut().finish_due_tasks();
            return;
        }
    }
}
