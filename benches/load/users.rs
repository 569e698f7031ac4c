//! Simulated users, who submit services at the start and job arrays at a constant rate, and poll each job until it is done.

use crate::http;
use hollowswitch::protocol::{decode, encode, JobKind, JobSpec, JobState, JobView, Priority};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Interval between two polls of a job.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before a failed request is repeated.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of tasks of a service.
const REPLICAS: u32 = 4;
/// Number of images. Jobs use them in turn.
const IMAGES: usize = 12;

/// The jobs that users submit.
pub(crate) struct Workload {
    /// Addresses of the controllers.
    pub controllers: Vec<SocketAddr>,
    /// Number of services submitted at the start.
    pub services: usize,
    /// Number of job arrays submitted per second.
    pub arrays_per_s: f64,
    /// Number of tasks of a job array.
    pub tasks_per_array: u32,
    /// Number of CPUs per task.
    pub cpus_per_task: f64,
}

/// Counts of the outcomes of requests.
#[derive(Default)]
pub(crate) struct RequestCounts {
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Jobs whose completion was observed by a poll.
    pub done: u64,
    /// Requests without a response, or with an unexpected status.
    pub failed: u64,
}

impl Workload {
    /// Returns the specification of a service, whose replicas run until the driver ends.
    fn service(&self, number: usize) -> JobSpec {
        JobSpec {
            class: "service".into(),
            kind: JobKind::Service,
            priority: Priority::Production,
            tasks: REPLICAS,
            run_time_estimate_s: 0.0,
            ..self.array(number)
        }
    }

    /// Returns the specification of a job array, whose tasks run to completion.
    fn array(&self, number: usize) -> JobSpec {
        JobSpec {
            id: format!("wk-{number:06}"),
            class: "array".into(),
            team: "team".into(),
            kind: JobKind::Array,
            priority: Priority::Normal,
            tasks: self.tasks_per_array,
            cpus: self.cpus_per_task,
            gpus: 0.0,
            memory_gb: 1.0,
            image: format!("image-{}", number % IMAGES),
            image_gb: 0.5,
            machine_types: None,
            zone: None,
            single_zone: false,
            spread_zones: false,
            spot: false,
            run_time_estimate_s: 60.0,
            checkpoint_interval_s: 0.0,
            checkpoint_save_s: 0.0,
            deadline_s: None,
        }
    }

    /// Returns the address of the controller that a user sends its requests to.
    fn controller_address(&self, number: usize) -> SocketAddr {
        self.controllers[number % self.controllers.len()]
    }
}

/// Sends a request over a new connection. Returns the status and the body of the response.
async fn send_request(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Option<(u16, Vec<u8>)> {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await.ok()?;
        http::write_request(&mut stream, method, path, to, body).await?;
        http::read_message(&mut stream).await
    };
    let (head, body) = tokio::time::timeout(REQUEST_TIMEOUT, exchange)
        .await
        .ok()??;
    Some((http::status_code(&head)?, body))
}

/// Simulates a user, who submits a job and polls it until it is done.
async fn submit_and_poll(to: SocketAddr, job: JobSpec, counts: Rc<RefCell<RequestCounts>>) {
    submit(to, &job, &counts).await;
    counts.borrow_mut().accepted += 1;
    poll_until_done(to, &job.id, &counts).await;
    counts.borrow_mut().done += 1;
}

/// Submits a job, repeatedly until it is accepted.
async fn submit(to: SocketAddr, job: &JobSpec, counts: &RefCell<RequestCounts>) {
    loop {
        let response = send_request(to, "POST", "/v1/jobs", &encode(job)).await;
        if matches!(response, Some((200 | 201, _))) {
            return;
        }
        counts.borrow_mut().failed += 1;
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Polls a job until it is done.
async fn poll_until_done(to: SocketAddr, id: &str, counts: &RefCell<RequestCounts>) {
    let path = format!("/v1/jobs/{id}");
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        match send_request(to, "GET", &path, &[]).await {
            Some((200, body)) if is_done(&body) => return,
            Some((200, _)) => {}
            _ => counts.borrow_mut().failed += 1,
        }
    }
}

fn is_done(body: &[u8]) -> bool {
    decode::<JobView>(body).is_ok_and(|view| view.state == JobState::Done)
}

/// Runs the users: submits all services first, then job arrays at a constant rate. Does not return.
pub(crate) async fn run(workload: Workload, counts: Rc<RefCell<RequestCounts>>) {
    let start_user = |number, job| {
        let to = workload.controller_address(number);
        actix_web::rt::spawn(submit_and_poll(to, job, counts.clone()));
    };
    for number in 0..workload.services {
        start_user(number, workload.service(number));
    }
    for number in workload.services.. {
        tokio::time::sleep(Duration::from_secs_f64(1.0 / workload.arrays_per_s)).await;
        start_user(number, workload.array(number));
    }
}
