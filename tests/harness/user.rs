//! Requests of users to controllers, and what becomes of them.

use super::balancer::Balancer;
use super::history::{Answer, Observation, Recorder, Request};
use super::http;
use super::topology::{ControllerId, Topology};
use hollowswitch::protocol::{decode, encode, JobSpec, JobView};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// Time that users allow for the answer to a question.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that users allow for the answer to a submission or cancellation.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// When a user hangs up in the middle of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum HangUp {
    /// After a part of the request was sent, as a share of its bytes.
    WhileSending(f64),
    /// After the request was sent, and some time later.
    WhileWaiting(Duration),
}

/// Sends the requests of users. Clones share the history.
#[derive(Clone)]
pub(crate) struct User {
    topology: Topology,
    recorder: Recorder,
    /// Resets the connections of users, if there is a balancer.
    balancer: Option<Balancer>,
}

/// A request with its path and body.
struct Message {
    method: &'static str,
    path: String,
    body: Vec<u8>,
    timeout: Duration,
}

impl User {
    /// Creates a user whose requests are recorded.
    pub(crate) fn new(topology: &Topology, recorder: &Recorder) -> User {
        User {
            topology: topology.clone(),
            recorder: recorder.clone(),
            balancer: None,
        }
    }

    /// Lets a balancer reset the connections.
    pub(crate) fn behind(self, balancer: &Balancer) -> User {
        User {
            balancer: Some(balancer.clone()),
            ..self
        }
    }

    /// Submits a job.
    pub(crate) async fn submit(&self, controller: ControllerId, job: &JobSpec) -> Answer {
        let message = submission(job);
        self.ask(controller, Request::Submit, &job.id, message)
            .await
    }

    /// Asks for the state of a job.
    pub(crate) async fn poll(&self, controller: ControllerId, job: &str) -> Answer {
        let message = question(job);
        self.ask(controller, Request::Poll, job, message).await
    }

    /// Cancels a job.
    pub(crate) async fn cancel(&self, controller: ControllerId, job: &str) -> Answer {
        let message = Message {
            method: "POST",
            path: format!("/v1/jobs/{job}/abort"),
            body: Vec::new(),
            timeout: CHANGE_TIMEOUT,
        };
        self.ask(controller, Request::Cancel, job, message).await
    }

    /// Submits a job and hangs up.
    pub(crate) async fn submit_and_hang_up(
        &self,
        controller: ControllerId,
        job: &JobSpec,
        hang_up: HangUp,
    ) {
        self.send_and_hang_up(controller, &submission(job), hang_up)
            .await;
    }

    /// Asks for the state of a job and hangs up.
    pub(crate) async fn poll_and_hang_up(
        &self,
        controller: ControllerId,
        job: &str,
        hang_up: HangUp,
    ) {
        self.send_and_hang_up(controller, &question(job), hang_up)
            .await;
    }

    /// Reports whether a controller calls itself healthy within a time.
    pub(crate) async fn is_healthy(&self, controller: ControllerId, within: Duration) -> bool {
        let message = Message {
            method: "GET",
            path: "/up".into(),
            body: Vec::new(),
            timeout: within,
        };
        let to = self.topology.api_address(controller);
        let response = exchange(to, &message, std::future::pending()).await;
        matches!(response, Some((200, _)))
    }

    async fn ask(
        &self,
        controller: ControllerId,
        request: Request,
        job: &str,
        message: Message,
    ) -> Answer {
        let asked_at = self.recorder.now();
        let response = self.exchange(controller, &message).await;
        let answer = answer_of(response);
        self.recorder.record(Observation::Answered {
            job: job.to_string(),
            request,
            controller,
            asked_at,
            answer,
        });
        answer
    }

    /// Sends a message over a new connection, which the balancer may reset.
    async fn exchange(
        &self,
        controller: ControllerId,
        message: &Message,
    ) -> Option<(u16, Vec<u8>)> {
        let mut resets = self.balancer.as_ref().map(|it| it.resets(controller));
        let reset = async {
            match &mut resets {
                // An error means that the run is over.
                Some(resets) => drop(resets.changed().await),
                None => std::future::pending().await,
            }
        };
        exchange(self.topology.api_address(controller), message, reset).await
    }

    async fn send_and_hang_up(&self, controller: ControllerId, message: &Message, hang_up: HangUp) {
        let to = self.topology.api_address(controller);
        let sending = async {
            let mut stream = TcpStream::connect(to).await.ok()?;
            // Without lingering, dropping the connection resets it.
            stream.set_zero_linger().ok()?;
            let bytes = http::request_bytes(message.method, &message.path, to, &message.body);
            let (count, wait) = match hang_up {
                HangUp::WhileSending(share) => (part_of(bytes.len(), share), Duration::ZERO),
                HangUp::WhileWaiting(wait) => (bytes.len(), wait),
            };
            stream.write_all(&bytes[..count]).await.ok()?;
            sleep(wait).await;
            Some(())
        };
        // Whether the controller could be reached does not matter to a user who hangs up.
        let _ = timeout(message.timeout, sending).await;
    }
}

fn submission(job: &JobSpec) -> Message {
    Message {
        method: "POST",
        path: "/v1/jobs".into(),
        body: encode(job),
        timeout: CHANGE_TIMEOUT,
    }
}

fn question(job: &str) -> Message {
    Message {
        method: "GET",
        path: format!("/v1/jobs/{job}"),
        body: Vec::new(),
        timeout: POLL_TIMEOUT,
    }
}

/// Returns a share of a number of bytes.
fn part_of(count: usize, share: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a small message"
    )]
    let part = (count as f64 * share.clamp(0.0, 1.0)) as usize;
    part.min(count)
}

/// Sends a message over a new connection, which is reset when `reset` ends first. Returns the status and the body of the
/// response.
async fn exchange(
    to: SocketAddr,
    message: &Message,
    reset: impl Future<Output = ()>,
) -> Option<(u16, Vec<u8>)> {
    let deadline = Instant::now() + message.timeout;
    let connected = timeout_at(deadline, TcpStream::connect(to)).await;
    let mut stream = connected.ok()?.ok()?;
    let exchanged = async {
        http::write_request(
            &mut stream,
            message.method,
            &message.path,
            to,
            &message.body,
        )
        .await?;
        http::read_message(&mut stream).await
    };
    let response = tokio::select! {
        response = timeout_at(deadline, exchanged) => response.ok()?,
        () = reset => {
            // Without lingering, dropping the connection resets it.
            stream.set_zero_linger().ok()?;
            None
        }
    };
    let (head, body) = response?;
    Some((http::status_code(&head)?, body))
}

fn answer_of(response: Option<(u16, Vec<u8>)>) -> Answer {
    let Some((status, body)) = response else {
        return Answer::Missing;
    };
    match status {
        200 | 201 => decode::<JobView>(&body)
            .map_or(Answer::Unexpected(status), |view| Answer::State(view.state)),
        400 | 422 => Answer::Rejected,
        404 => Answer::Unknown,
        429 | 503 => Answer::ComeBack(status),
        _ => Answer::Unexpected(status),
    }
}
