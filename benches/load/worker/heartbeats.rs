//! The persistent connection over which a worker sends its heartbeats to the controller that it considers the leader.

use crate::http;
use crate::topology::ControllerId;
use hollowswitch::protocol::{decode, HeartbeatReply, Redirect};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Timeout of a heartbeat request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// Status of the response by the leader.
const OK: u16 = 200;
/// Status of a response that redirects the worker to another controller.
const MISDIRECTED_REQUEST: u16 = 421;

/// The outcome of a heartbeat request.
pub(super) enum Outcome {
    /// The leader replied. `None` if its reply could not be decoded.
    Answered(Option<HeartbeatReply>),
    /// The worker was redirected. The next heartbeat goes to another controller.
    Redirected,
    /// There was no response, or one with an unexpected status. The next heartbeat goes to another controller.
    Failed,
}

/// A connection for heartbeats, which is opened when it is needed.
pub(super) struct HeartbeatConnection {
    controllers: Vec<ControllerId>,
    target: usize,
    stream: Option<TcpStream>,
}

impl HeartbeatConnection {
    /// Creates a closed connection to the first controller.
    pub(super) fn new(controllers: Vec<ControllerId>) -> Self {
        HeartbeatConnection {
            controllers,
            target: 0,
            stream: None,
        }
    }

    /// Sends a heartbeat and waits for the response.
    pub(super) async fn exchange(&mut self, heartbeat: &[u8]) -> Outcome {
        let to = self.controllers[self.target].api_address();
        match exchange(&mut self.stream, to, heartbeat).await {
            Some((OK, body)) => Outcome::Answered(decode(&body).ok()),
            Some((MISDIRECTED_REQUEST, body)) => {
                self.follow_redirect(decode(&body).ok());
                Outcome::Redirected
            }
            _ => {
                self.switch_to(self.next_target());
                Outcome::Failed
            }
        }
    }

    /// Switches to the leader named by a redirect. If it names none or an unknown one, switches to the next controller.
    fn follow_redirect(&mut self, redirect: Option<Redirect>) {
        let leader = redirect.and_then(|redirect| redirect.leader);
        let leader_index = self
            .controllers
            .iter()
            .position(|controller| Some(controller.name()) == leader);
        self.switch_to(leader_index.unwrap_or(self.next_target()));
    }

    fn next_target(&self) -> usize {
        (self.target + 1) % self.controllers.len()
    }

    /// Closes the connection and switches to a controller.
    fn switch_to(&mut self, target: usize) {
        self.stream = None;
        self.target = target;
    }
}

/// Sends a heartbeat over the connection, which is opened first if it is closed. Returns the status and the body of the
/// response.
async fn exchange(
    stream: &mut Option<TcpStream>,
    to: SocketAddr,
    body: &[u8],
) -> Option<(u16, Vec<u8>)> {
    if stream.is_none() {
        *stream = TcpStream::connect(to).await.ok();
    }
    let connection = stream.as_mut()?;
    let round_trip = async {
        http::write_request(connection, "POST", "/hello", to, body).await?;
        http::read_message(connection).await
    };
    let (head, body) = tokio::time::timeout(REQUEST_TIMEOUT, round_trip)
        .await
        .ok()??;
    let status = http::status_code(&head)?;
    if http::closes_connection(&head) {
        *stream = None;
    }
    Some((status, body))
}
