//! The connection over which a worker sends its heartbeats to the controller that it considers the leader.

use super::state::{SentHeartbeat, REPLY_TIMEOUT};
use super::{Worker, WorkerSettings};
use crate::harness::http;
use crate::harness::topology::ControllerId;
use hollowswitch::protocol::{decode, HeartbeatReply, Redirect};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// Status of the response by the leader.
const OK: u16 = 200;
/// Status of a response that redirects the worker to another controller.
const MISDIRECTED_REQUEST: u16 = 421;

/// The outcome of a heartbeat.
pub(super) enum Outcome {
    /// The leader replied. `None` if its reply could not be decoded.
    Answered(Option<HeartbeatReply>),
    /// The worker was told who leads. The next heartbeat goes there.
    Redirected,
    /// There was no response, or one with another status. The next heartbeat goes to another controller.
    Failed,
}

/// A connection for heartbeats, which is opened when it is needed.
pub(super) struct HeartbeatConnection {
    target: usize,
    stream: Option<TcpStream>,
}

impl HeartbeatConnection {
    /// Creates a closed connection to the first controller.
    pub(super) fn new() -> Self {
        HeartbeatConnection {
            target: 0,
            stream: None,
        }
    }

    /// Sends a heartbeat and waits for the response.
    pub(super) async fn exchange(&mut self, worker: &Worker, heartbeat: &SentHeartbeat) -> Outcome {
        let settings = worker.settings();
        let deadline = Instant::now() + REPLY_TIMEOUT;
        let target = self.target;
        if is_report_lost(worker, target) {
            sleep_until(deadline).await;
            self.switch_to(self.next_target(settings));
            return Outcome::Failed;
        }
        send_late_copy(worker, heartbeat, target);
        let to = settings.controllers[target];
        let exchanged = exchange(&mut self.stream, to, &heartbeat.body);
        let response = timeout_at(deadline, exchanged).await.ok().flatten();
        if is_answer_lost(worker, target) {
            sleep_until(deadline).await;
            self.switch_to(self.next_target(settings));
            return Outcome::Failed;
        }
        match response {
            Some((OK, body)) => Outcome::Answered(decode(&body).ok()),
            Some((MISDIRECTED_REQUEST, body)) => self.redirect(decode(&body).ok(), settings),
            _ => {
                self.switch_to(self.next_target(settings));
                Outcome::Failed
            }
        }
    }

    /// Switches to the leader named by a redirect. If it names none, the same or an unknown one, switches to the next
    /// controller.
    fn redirect(&mut self, redirect: Option<Redirect>, settings: &WorkerSettings) -> Outcome {
        let leader = redirect.and_then(|redirect| redirect.leader);
        let leader = ControllerId::all()
            .find(|controller| Some(controller.name()) == leader)
            .map(|controller| controller.0)
            .filter(|controller| *controller != self.target);
        self.switch_to(leader.unwrap_or(self.next_target(settings)));
        match leader {
            Some(_) => Outcome::Redirected,
            None => Outcome::Failed,
        }
    }

    fn next_target(&self, settings: &WorkerSettings) -> usize {
        (self.target + 1) % settings.controllers.len()
    }

    /// Closes the connection and switches to a controller.
    fn switch_to(&mut self, target: usize) {
        self.stream = None;
        self.target = target;
    }
}

fn is_report_lost(worker: &Worker, controller: usize) -> bool {
    let (condition, now) = (worker.condition(), Instant::now());
    now < condition.reports_lost_until || now < condition.cut_until[controller]
}

fn is_answer_lost(worker: &Worker, controller: usize) -> bool {
    let (condition, now) = (worker.condition(), Instant::now());
    now < condition.answers_lost_until || now < condition.cut_until[controller]
}

/// Lets a copy of a heartbeat arrive late at the next controller, if copies are made at present.
fn send_late_copy(worker: &Worker, heartbeat: &SentHeartbeat, target: usize) {
    let condition = worker.condition();
    if Instant::now() >= condition.late_reports_until {
        return;
    }
    let controllers = &worker.settings().controllers;
    let to = controllers[(target + 1) % controllers.len()];
    let body = heartbeat.body.clone();
    actix_web::rt::spawn(async move {
        sleep(condition.report_delay).await;
        // The answer is for a worker that does not wait for it any more.
        let _ = tokio::time::timeout(REPLY_TIMEOUT, exchange(&mut None, to, &body)).await;
    });
}

/// Sends a heartbeat over the connection, which is opened first if it is closed. Returns the status and the body of the
/// response.
async fn exchange(
    stream: &mut Option<TcpStream>,
    to: SocketAddr,
    body: &[u8],
) -> Option<(u16, Vec<u8>)> {
    let mut connection = match stream.take() {
        Some(connection) => connection,
        None => TcpStream::connect(to).await.ok()?,
    };
    http::write_request(&mut connection, "POST", "/hello", to, body).await?;
    let (head, body) = http::read_message(&mut connection).await?;
    let status = http::status_code(&head)?;
    if !http::closes_connection(&head) {
        *stream = Some(connection);
    }
    Some((status, body))
}
