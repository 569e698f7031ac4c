//! A stand-in for users: a queue of jobs at the start, more at a steady rate, and polls of unfinished jobs.

use crate::http;
use hollowswitch::protocol::{decode, encode, JobSpec, JobState, JobView, Kind, Priority};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time between two polls of a job.
const POLL: Duration = Duration::from_secs(5);
/// Time until a request that failed is repeated.
const RETRY: Duration = Duration::from_secs(1);
/// Time allowed for an answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// What the users submit.
#[derive(Clone)]
pub(crate) struct Load {
    /// The controllers' addresses.
    pub controllers: Vec<SocketAddr>,
    /// Services at the start.
    pub services: usize,
    /// Arrays a second.
    pub arrays_per_s: f64,
    /// Tasks of an array.
    pub tasks: u32,
    /// CPUs of a task.
    pub cpus: f64,
}

/// What became of the requests.
#[derive(Default)]
pub(crate) struct Counts {
    /// Jobs accepted.
    pub accepted: u64,
    /// Jobs that a poll told to be done.
    pub done: u64,
    /// Requests without a good answer.
    pub failed: u64,
}

fn job(number: u64, load: &Load, service: bool) -> JobSpec {
    JobSpec {
        id: format!("wk-{number:06}"),
        class: if service { "service" } else { "array" }.into(),
        team: "team".into(),
        kind: if service { Kind::Service } else { Kind::Array },
        priority: if service {
            Priority::Production
        } else {
            Priority::Normal
        },
        tasks: if service { 4 } else { load.tasks },
        cpus: load.cpus,
        gpus: 0.0,
        memory_gb: 1.0,
        image: format!("image-{}", number % 12),
        image_gb: 0.5,
        types: None,
        zone: None,
        together: false,
        scatter: false,
        spot: false,
        estimate_s: if service { 0.0 } else { 60.0 },
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

async fn call(to: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await.ok()?;
        http::request(&mut stream, method, path, to, body).await?;
        http::read(&mut stream).await
    };
    let (head, body) = tokio::time::timeout(TIMEOUT, exchange).await.ok()??;
    Some((http::status(&head)?, body))
}

/// Submits a job, and asks about it until it is done.
async fn follow(spec: JobSpec, load: Load, number: u64, counts: Rc<RefCell<Counts>>) {
    let to = load.controllers[number as usize % load.controllers.len()];
    loop {
        let answer = call(to, "POST", "/v1/jobs", &encode(&spec)).await;
        if matches!(answer, Some((200 | 201, _))) {
            break;
        }
        counts.borrow_mut().failed += 1;
        tokio::time::sleep(RETRY).await;
    }
    counts.borrow_mut().accepted += 1;
    loop {
        tokio::time::sleep(POLL).await;
        let answer = call(to, "GET", &format!("/v1/jobs/{}", spec.id), &[]).await;
        match answer {
            Some((200, body)) if finished(&body) => break,
            Some((200, _)) => {}
            _ => counts.borrow_mut().failed += 1,
        }
    }
    counts.borrow_mut().done += 1;
}

fn finished(body: &[u8]) -> bool {
    decode::<JobView>(body).is_ok_and(|view| view.state == JobState::Done)
}

/// Runs the users for ever.
pub(crate) async fn run(load: Load, counts: Rc<RefCell<Counts>>) {
    let services = load.services as u64;
    for number in 0..services {
        let spec = job(number, &load, true);
        actix_web::rt::spawn(follow(spec, load.clone(), number, counts.clone()));
    }
    for number in services.. {
        tokio::time::sleep(Duration::from_secs_f64(1.0 / load.arrays_per_s)).await;
        let spec = job(number, &load, false);
        actix_web::rt::spawn(follow(spec, load.clone(), number, counts.clone()));
    }
}
