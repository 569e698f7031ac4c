//! A stand-in for users: services at the start, arrays at a steady rate, and polls of unfinished jobs.

use crate::http;
use hollowswitch::protocol::{decode, encode, JobKind, JobSpec, JobState, JobView, Priority};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time between two polls of a job.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Time until a request that failed is repeated.
const RETRY: Duration = Duration::from_secs(1);
/// Time allowed for an answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Tasks of a service.
const REPLICAS: u32 = 4;
/// Number of images among which the jobs take turns.
const IMAGES: usize = 12;

/// What the users submit.
pub(crate) struct Workload {
    /// The controllers' addresses.
    pub controllers: Vec<SocketAddr>,
    /// Services at the start.
    pub services: usize,
    /// Arrays a second.
    pub arrays_per_s: f64,
    /// Tasks of an array.
    pub tasks_per_array: u32,
    /// CPUs of a task.
    pub cpus_per_task: f64,
}

/// What became of the requests.
#[derive(Default)]
pub(crate) struct RequestCounts {
    /// Jobs accepted.
    pub accepted: u64,
    /// Jobs that a poll showed to be done.
    pub done: u64,
    /// Requests without a good answer.
    pub failed: u64,
}

impl Workload {
    /// A service: four replicas that run for ever.
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

    /// An array: tasks that end.
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

    /// The controller that a user asks.
    fn controller(&self, number: usize) -> SocketAddr {
        self.controllers[number % self.controllers.len()]
    }
}

/// One request on a connection of its own.
async fn call(to: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await.ok()?;
        http::request(&mut stream, method, path, to, body).await?;
        http::read(&mut stream).await
    };
    let (head, body) = tokio::time::timeout(TIMEOUT, exchange).await.ok()??;
    Some((http::status(&head)?, body))
}

/// A user: submits a job, and polls it until it is done.
async fn submit_and_poll(to: SocketAddr, job: JobSpec, counts: Rc<RefCell<RequestCounts>>) {
    submit(to, &job, &counts).await;
    counts.borrow_mut().accepted += 1;
    poll_until_done(to, &job.id, &counts).await;
    counts.borrow_mut().done += 1;
}

/// Submits a job until it is accepted.
async fn submit(to: SocketAddr, job: &JobSpec, counts: &RefCell<RequestCounts>) {
    loop {
        let answer = call(to, "POST", "/v1/jobs", &encode(job)).await;
        if matches!(answer, Some((200 | 201, _))) {
            return;
        }
        counts.borrow_mut().failed += 1;
        tokio::time::sleep(RETRY).await;
    }
}

async fn poll_until_done(to: SocketAddr, id: &str, counts: &RefCell<RequestCounts>) {
    let path = format!("/v1/jobs/{id}");
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        match call(to, "GET", &path, &[]).await {
            Some((200, body)) if is_done(&body) => return,
            Some((200, _)) => {}
            _ => counts.borrow_mut().failed += 1,
        }
    }
}

fn is_done(body: &[u8]) -> bool {
    decode::<JobView>(body).is_ok_and(|view| view.state == JobState::Done)
}

/// Runs the users for ever: all services at the start, then arrays at a steady rate.
pub(crate) async fn run(workload: Workload, counts: Rc<RefCell<RequestCounts>>) {
    let start = |number, job| {
        let to = workload.controller(number);
        actix_web::rt::spawn(submit_and_poll(to, job, counts.clone()));
    };
    for number in 0..workload.services {
        start(number, workload.service(number));
    }
    for number in workload.services.. {
        tokio::time::sleep(Duration::from_secs_f64(1.0 / workload.arrays_per_s)).await;
        start(number, workload.array(number));
    }
}
