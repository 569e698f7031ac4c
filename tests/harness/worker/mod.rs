//! A simulated worker: it sends heartbeats over one persistent connection, accepts direct commands at its own address, and runs
//! tasks while it has a lease.

mod condition;
mod direct;
mod heartbeats;
mod state;
mod tasks;

pub(crate) use condition::WorkerCondition;

use super::history::{lock, Recorder};
use super::jobs::JobRegistry;
use heartbeats::{HeartbeatConnection, Outcome};
use hollowswitch::protocol::ListedMachine;
use state::WorkerState;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, sleep_until, Instant};

/// Minimum interval between two heartbeats.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed heartbeat before the next one is sent, to another controller.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a machine that died is still listed as running.
const DEATH_NOTICE_DELAY: Duration = Duration::from_secs(30);

/// Settings that all workers share.
#[derive(Clone)]
pub(crate) struct WorkerSettings {
    /// The controllers' addresses for workers.
    pub(crate) controllers: Vec<SocketAddr>,
    /// Mean interval between two heartbeats.
    pub(crate) heartbeat_interval: Duration,
    /// Duration of a lease.
    pub(crate) lease: Duration,
    /// Time that the fetch of an image takes.
    pub(crate) fetch_time: Duration,
    /// Descriptions of the jobs.
    pub(crate) registry: JobRegistry,
    /// Records what the worker does.
    pub(crate) recorder: Recorder,
}

/// Whether a machine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Power {
    /// It has not booted yet.
    Booting,
    /// Its worker runs.
    On,
    /// It was released.
    Released,
    /// It died at this time.
    Died(Instant),
}

struct Shared {
    settings: Arc<WorkerSettings>,
    zone: String,
    state: Mutex<WorkerState>,
    condition: Mutex<WorkerCondition>,
    power: watch::Sender<Power>,
    /// Wakes the heartbeats: there is a change to report.
    changed: Notify,
    /// Wakes the tasks: the next step may be earlier.
    tasks_changed: Notify,
}

/// A worker. Clones share the state.
#[derive(Clone)]
pub(crate) struct Worker(Arc<Shared>);

impl Worker {
    /// Creates the worker of a machine that has not booted yet.
    pub(crate) fn new(machine: &ListedMachine, cpus: f64, settings: Arc<WorkerSettings>) -> Worker {
        Worker(Arc::new(Shared {
            state: Mutex::new(WorkerState::new(machine, cpus, &settings)),
            condition: Mutex::new(WorkerCondition::undisturbed()),
            zone: machine.zone.clone(),
            settings,
            power: watch::channel(Power::Booting).0,
            changed: Notify::new(),
            tasks_changed: Notify::new(),
        }))
    }

    /// Returns the zone of the machine.
    pub(crate) fn zone(&self) -> &str {
        &self.0.zone
    }

    /// Returns the state in which the cloud lists the machine.
    pub(crate) fn listed_state(&self) -> &'static str {
        match *self.0.power.borrow() {
            Power::Booting => "starting",
            Power::Died(at) if at.elapsed() > DEATH_NOTICE_DELAY => "failed",
            Power::On | Power::Released | Power::Died(_) => "running",
        }
    }

    /// Changes the troubles of the worker.
    pub(crate) fn disturb(&self, change: impl FnOnce(&mut WorkerCondition)) {
        change(&mut lock(&self.0.condition));
        self.0.tasks_changed.notify_one();
    }

    /// Lets the machine hang for some time.
    pub(crate) fn hang(&self, duration: Duration) {
        self.disturb(|condition| condition.hung_until = Instant::now() + duration);
        self.lock().tasks().postpone(duration);
    }

    /// Ends the machine, as the cloud does when it is released.
    pub(crate) fn shut_down(&self) {
        self.turn_off(Power::Released);
    }

    /// Ends the machine without notice.
    pub(crate) fn die(&self) {
        self.turn_off(Power::Died(Instant::now()));
    }

    fn turn_off(&self, power: Power) {
        if !self.is_off() {
            self.0.power.send_replace(power);
        }
        self.lock().tasks().kill_all(Instant::now());
    }

    /// Reports whether the machine has ended.
    fn is_off(&self) -> bool {
        matches!(*self.0.power.borrow(), Power::Released | Power::Died(_))
    }

    fn settings(&self) -> &WorkerSettings {
        &self.0.settings
    }

    fn condition(&self) -> WorkerCondition {
        *lock(&self.0.condition)
    }

    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        lock(&self.0.state)
    }

    fn notify_change(&self) {
        self.0.changed.notify_one();
        self.0.tasks_changed.notify_one();
    }

    async fn wait_until_off(&self) {
        let mut power = self.0.power.subscribe();
        let is_off = |power: &Power| matches!(power, Power::Released | Power::Died(_));
        // The sender lives as long as this worker.
        let _ = power.wait_for(is_off).await;
    }
}

/// Runs the worker of a machine that has booted, until the machine ends.
///
/// # Panics
///
/// Panics if the address of the worker is in use.
pub(crate) async fn run(worker: Worker, address: SocketAddr) {
    if worker.is_off() {
        return;
    }
    worker.0.power.send_replace(Power::On);
    worker.lock().boot();
    let listener = TcpListener::bind(address)
        .await
        .expect("the address of the worker is free");
    let serving = actix_web::rt::spawn(direct::serve(worker.clone(), listener));
    tokio::select! {
        () = worker.wait_until_off() => {}
        () = run_tasks(&worker) => {}
        () = send_heartbeats(&worker) => {}
    }
    serving.abort();
}

/// Takes the steps of tasks, and ends sessions whose lease has expired. Does not return.
async fn run_tasks(worker: &Worker) {
    loop {
        let lease_ends_at = worker.lock().lease_ends_at(worker.settings());
        // A machine that hangs takes no steps, but its lease ends in time: it kills its tasks before it does anything else.
        let next_step = worker.lock().tasks().next_step();
        let next_step = next_step.map(|at| at.max(worker.condition().hung_until));
        let wake_at = next_step.map_or(lease_ends_at, |at| at.min(lease_ends_at));
        tokio::select! {
            () = sleep_until(wake_at) => {}
            () = worker.0.tasks_changed.notified() => {}
        }
        let has_expired = worker.lock().end_expired_session(worker.settings());
        let now = Instant::now();
        let is_hung = now < worker.condition().hung_until;
        let has_changed = !is_hung && worker.lock().tasks().advance(now);
        if has_expired || has_changed {
            worker.0.changed.notify_one();
        }
    }
}

/// Sends heartbeats at an interval, and whenever something has changed. Does not return.
async fn send_heartbeats(worker: &Worker) {
    let mut connection = HeartbeatConnection::new();
    loop {
        sleep_until(worker.condition().hung_until).await;
        let asked_at = worker.settings().recorder.now();
        let heartbeat = worker.lock().next_heartbeat(asked_at);
        match connection.exchange(worker, &heartbeat).await {
            Outcome::Answered(reply) => {
                sleep_until(worker.condition().hung_until).await;
                if let Some(reply) = reply {
                    let settings = worker.settings();
                    if worker.lock().handle_reply(&heartbeat, &reply, settings) {
                        worker.0.changed.notify_one();
                    }
                    worker.0.tasks_changed.notify_one();
                }
                wait_for_next_heartbeat(worker).await;
            }
            Outcome::Redirected => sleep(MIN_HEARTBEAT_INTERVAL).await,
            Outcome::Failed => sleep(RETRY_DELAY).await,
        }
    }
}

/// Waits until the next heartbeat is due, or until the worker has a change to report.
async fn wait_for_next_heartbeat(worker: &Worker) {
    let interval = worker.settings().heartbeat_interval;
    let jittered = interval.mul_f64(rand::random::<f64>() / 2.0 + 0.75);
    let due_at = Instant::now() + jittered;
    sleep(MIN_HEARTBEAT_INTERVAL).await;
    tokio::select! {
        () = sleep_until(due_at) => {}
        () = worker.0.changed.notified() => {}
    }
}
