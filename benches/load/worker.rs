//! A stand-in for a worker: reports over one kept connection, and takes direct commands on an address of its own.

use crate::http;
use hollowswitch::protocol::{
    decode, encode, Command, DirectOrders, ExitReason, FencingToken, ListedMachine, Redirect,
    Report, ReportReply, TaskReport, TaskState,
};
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Least time between two reports.
const REPORT_GAP: Duration = Duration::from_millis(500);
/// Time until a report is sent to another controller.
const RETRY: Duration = Duration::from_secs(1);

/// What all workers share.
#[derive(Clone)]
pub(crate) struct Settings {
    /// The controllers' names and addresses.
    pub controllers: Vec<(String, SocketAddr)>,
    /// Port of direct commands.
    pub port: u16,
    /// Time between reports.
    pub report: Duration,
    /// Run time of a task that ends.
    pub task: Duration,
    /// CPUs of a machine.
    pub cpus: f64,
}

/// A worker's tasks and counters.
struct Worker {
    report: Report,
    ends: Vec<Option<Instant>>,
    task: Duration,
}

impl Worker {
    fn execute(&mut self, commands: &[Command]) -> bool {
        let before = self.report.tasks.len();
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start(task, *attempt),
                Command::Stop { task, attempt, .. } => self.stop(task, *attempt),
                Command::Forget { task, attempt } => self.forget(task, *attempt),
            }
        }
        before != self.report.tasks.len()
    }

    fn position(&self, task: &str, attempt: u64) -> Option<usize> {
        self.report
            .tasks
            .iter()
            .position(|t| t.task == task && t.attempt == attempt)
    }

    fn start(&mut self, task: &str, attempt: u64) {
        if self.position(task, attempt).is_none() {
            let state = TaskState::Running;
            self.report.tasks.push(TaskReport {
                task: task.into(),
                attempt,
                state,
                reason: None,
                saved: None,
            });
            self.ends.push(Some(Instant::now() + self.task));
        }
    }

    fn stop(&mut self, task: &str, attempt: u64) {
        if let Some(i) = self.position(task, attempt) {
            self.exit(i, ExitReason::Stopped);
        }
    }

    fn exit(&mut self, i: usize, reason: ExitReason) {
        self.report.tasks[i].state = TaskState::Exited;
        self.report.tasks[i].reason = Some(reason);
        self.ends[i] = None;
    }

    fn forget(&mut self, task: &str, attempt: u64) {
        if let Some(i) = self.position(task, attempt) {
            self.report.tasks.swap_remove(i);
            self.ends.swap_remove(i);
        }
    }

    /// Ends what is due; true if anything was.
    fn end_due(&mut self) -> bool {
        let now = Instant::now();
        let due: Vec<usize> = (0..self.ends.len())
            .filter(|i| self.ends[*i].is_some_and(|at| at <= now))
            .collect();
        due.iter().for_each(|i| self.exit(*i, ExitReason::Done));
        !due.is_empty()
    }

    fn next_report(&mut self) -> Vec<u8> {
        self.report.seq += 1;
        encode(&self.report)
    }
}

async fn serve(worker: Rc<RefCell<Worker>>, changed: Rc<Notify>, listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (worker, changed) = (worker.clone(), changed.clone());
        actix_web::rt::spawn(async move {
            let Some((_, body)) = http::read(&mut stream).await else {
                return;
            };
            let Ok(orders) = decode::<DirectOrders>(&body) else {
                return;
            };
            let (status, report) = {
                let mut worker = worker.borrow_mut();
                let current =
                    orders.token >= worker.report.token && orders.session == worker.report.session;
                if current {
                    worker.report.token = orders.token;
                    worker.execute(&orders.orders);
                }
                (if current { 200 } else { 409 }, worker.next_report())
            };
            changed.notify_one();
            let _ = http::respond(&mut stream, status, &report).await;
        });
    }
}

/// One report and its answer over a kept connection.
async fn exchange(
    stream: &mut Option<TcpStream>,
    to: SocketAddr,
    body: &[u8],
) -> Option<(u16, Vec<u8>)> {
    if stream.is_none() {
        *stream = TcpStream::connect(to).await.ok();
    }
    let connection = stream.as_mut()?;
    let answer = async {
        http::request(connection, "POST", "/hello", to, body).await?;
        http::read(connection).await
    };
    let (head, body) = tokio::time::timeout(Duration::from_secs(4), answer)
        .await
        .ok()??;
    let status = http::status(&head)?;
    if http::closes(&head) {
        *stream = None;
    }
    Some((status, body))
}

/// Runs a worker for ever.
pub(crate) async fn run(machine: ListedMachine, address: Ipv4Addr, settings: Settings) {
    let report = Report {
        machine: machine.id,
        address: machine.address,
        machine_type: machine.machine_type,
        zone: machine.zone,
        spot: machine.spot,
        session: 1,
        seq: 0,
        token: FencingToken::ZERO,
        notice_s: None,
        tasks: Vec::new(),
    };
    let worker = Rc::new(RefCell::new(Worker {
        report,
        ends: Vec::new(),
        task: settings.task,
    }));
    let changed = Rc::new(Notify::new());
    let listener = TcpListener::bind((address, settings.port))
        .await
        .expect("a free address");
    actix_web::rt::spawn(serve(worker.clone(), changed.clone(), listener));
    let (mut target, mut stream) = (0, None);
    loop {
        let (_, to) = settings.controllers[target];
        let body = worker.borrow_mut().next_report();
        match exchange(&mut stream, to, &body).await {
            Some((200, body)) => {
                if let Ok(reply) = decode::<ReportReply>(&body) {
                    let mut worker = worker.borrow_mut();
                    let newer = reply.token > worker.report.token;
                    worker.report.token = worker.report.token.max(reply.token);
                    if worker.execute(&reply.orders) || newer {
                        changed.notify_one();
                    }
                }
            }
            Some((421, body)) => {
                stream = None;
                let leader = decode::<Redirect>(&body)
                    .ok()
                    .and_then(|redirect| redirect.report_to);
                let known = settings
                    .controllers
                    .iter()
                    .position(|(name, _)| Some(name) == leader.as_ref());
                target = known.unwrap_or((target + 1) % settings.controllers.len());
                tokio::time::sleep(REPORT_GAP).await;
                continue;
            }
            _ => {
                stream = None;
                target = (target + 1) % settings.controllers.len();
                tokio::time::sleep(RETRY).await;
                continue;
            }
        }
        wait_for_report(&worker, &changed, settings.report).await;
    }
}

/// Waits until the next report is due.
async fn wait_for_report(worker: &RefCell<Worker>, changed: &Notify, interval: Duration) {
    tokio::time::sleep(REPORT_GAP).await;
    let spread = interval.mul_f64(rand::random::<f64>() / 2.0 + 0.75);
    let until = Instant::now() + spread.saturating_sub(REPORT_GAP);
    loop {
        if worker.borrow_mut().end_due() {
            return;
        }
        let next_end = worker.borrow().ends.iter().flatten().min().copied();
        let wake = next_end.map_or(until, |end| end.min(until));
        tokio::select! {
            () = changed.notified() => return,
            () = tokio::time::sleep_until(wake) => {}
        }
        if Instant::now() >= until {
            worker.borrow_mut().end_due();
            return;
        }
    }
}
