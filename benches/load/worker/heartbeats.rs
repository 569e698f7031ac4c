//! The kept connection over which a worker sends its heartbeats, to the controller that it takes for the leader.

use crate::http;
use crate::topology::ControllerId;
use hollowswitch::protocol::{decode, HeartbeatReply, Redirect};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time allowed for an answer.
const TIMEOUT: Duration = Duration::from_secs(4);

/// Status of an answer.
const OK: u16 = 200;
/// Status of an answer that names another controller.
const MISDIRECTED_REQUEST: u16 = 421;

/// What became of a heartbeat.
pub(super) enum Outcome {
    /// The leader answered; nothing if its answer cannot be read.
    Answered(Option<HeartbeatReply>),
    /// The next heartbeat goes to the controller that was named.
    Redirected,
    /// No answer, or none of use; the next heartbeat goes to another controller.
    Failed,
}

/// The connection.
pub(super) struct HeartbeatConnection {
    controllers: Vec<ControllerId>,
    target: usize,
    stream: Option<TcpStream>,
}

impl HeartbeatConnection {
    /// A connection to the first controller, not open yet.
    pub(super) fn new(controllers: Vec<ControllerId>) -> Self {
        HeartbeatConnection {
            controllers,
            target: 0,
            stream: None,
        }
    }

    /// Sends a heartbeat and waits for its answer.
    pub(super) async fn exchange(&mut self, heartbeat: &[u8]) -> Outcome {
        let to = self.controllers[self.target].api_address();
        match exchange(&mut self.stream, to, heartbeat).await {
            Some((OK, body)) => Outcome::Answered(decode(&body).ok()),
            Some((MISDIRECTED_REQUEST, body)) => {
                self.follow(decode(&body).ok());
                Outcome::Redirected
            }
            _ => {
                self.turn_to(self.next_target());
                Outcome::Failed
            }
        }
    }

    /// Turns to the leader that was named, or else to the next controller.
    fn follow(&mut self, redirect: Option<Redirect>) {
        let leader = redirect.and_then(|redirect| redirect.leader);
        let known = self
            .controllers
            .iter()
            .position(|controller| Some(controller.name()) == leader);
        self.turn_to(known.unwrap_or(self.next_target()));
    }

    fn next_target(&self) -> usize {
        (self.target + 1) % self.controllers.len()
    }

    fn turn_to(&mut self, target: usize) {
        self.stream = None;
        self.target = target;
    }
}

/// One request and its response over a kept connection.
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
    let (head, body) = tokio::time::timeout(TIMEOUT, answer).await.ok()??;
    let status = http::status(&head)?;
    if http::closes(&head) {
        *stream = None;
    }
    Some((status, body))
}
