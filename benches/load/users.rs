//! Simulated users, who submit services at the start and job arrays at a constant rate, and poll each job until it is done.

use crate::harness::history::Answer;
use crate::harness::jobs::{JobDescription, JobRegistry};
use crate::harness::topology::{ControllerId, CONTROLLER_COUNT};
use crate::harness::user::User;
use hollowswitch::protocol::{JobKind, JobSpec, JobState, Priority};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Name of the only team.
pub(crate) const TEAM: &str = "team";
/// Interval between two polls of a job.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before a failed request is repeated, at another controller.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Number of tasks of a service.
const REPLICAS: u32 = 4;
/// Number of images. Jobs use them in turn.
const IMAGES: usize = 12;

/// The jobs that users submit.
pub(crate) struct Workload {
    /// Sends the requests.
    pub user: User,
    /// Keeps the descriptions of the jobs for the workers.
    pub registry: JobRegistry,
    /// Number of services submitted at the start.
    pub services: usize,
    /// Number of job arrays submitted per second.
    pub arrays_per_s: f64,
    /// Number of tasks of a job array.
    pub tasks_per_array: u32,
    /// Number of CPUs per task.
    pub cpus_per_task: f64,
    /// Run time of a task of an array.
    pub task_run_time: Duration,
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
    /// The longest time that has ended for which the questions about a job got no answer.
    longest_silence: Duration,
    /// When the last answer about each unfinished job arrived.
    answered_at: HashMap<String, Instant>,
}

impl RequestCounts {
    /// Returns the longest time for which the questions about a job got no answer.
    pub(crate) fn longest_silence(&self) -> Duration {
        let silences = self.answered_at.values().map(Instant::elapsed);
        silences.fold(self.longest_silence, Duration::max)
    }

    /// Records an answer about a job.
    fn record_answer(&mut self, job: &str) {
        if let Some(last) = self.answered_at.insert(job.to_string(), Instant::now()) {
            self.longest_silence = self.longest_silence.max(last.elapsed());
        }
    }

    /// Records that a job is done.
    fn record_done(&mut self, job: &str) {
        self.done += 1;
        self.answered_at.remove(job);
    }
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
            team: TEAM.into(),
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

    /// Submits a job and polls it until it is done.
    async fn run_job(self: Rc<Self>, number: usize, job: JobSpec, counts: Counts) {
        self.registry.upload(JobDescription {
            spec: job.clone(),
            run_time: self.task_run_time,
        });
        let mut controller = ControllerId(number % CONTROLLER_COUNT);
        while !matches!(self.user.submit(controller, &job).await, Answer::State(_)) {
            counts.borrow_mut().failed += 1;
            controller = next(controller);
            sleep(RETRY_DELAY).await;
        }
        counts.borrow_mut().accepted += 1;
        self.poll_until_done(controller, &job.id, &counts).await;
        counts.borrow_mut().record_done(&job.id);
    }

    async fn poll_until_done(&self, first: ControllerId, id: &str, counts: &Counts) {
        let mut controller = first;
        counts.borrow_mut().record_answer(id);
        loop {
            sleep(POLL_INTERVAL).await;
            match self.user.poll(controller, id).await {
                Answer::State(JobState::Done) => return,
                Answer::State(_) => counts.borrow_mut().record_answer(id),
                _ => {
                    counts.borrow_mut().failed += 1;
                    controller = next(controller);
                }
            }
        }
    }
}

type Counts = Rc<RefCell<RequestCounts>>;

fn next(controller: ControllerId) -> ControllerId {
    ControllerId((controller.0 + 1) % CONTROLLER_COUNT)
}

/// Runs the users: submits all services first, then job arrays at a constant rate. Does not return.
pub(crate) async fn run(workload: Workload, counts: Counts) {
    let workload = Rc::new(workload);
    let start_job = |number, job| {
        actix_web::rt::spawn(workload.clone().run_job(number, job, counts.clone()));
    };
    for number in 0..workload.services {
        start_job(number, workload.service(number));
    }
    for number in workload.services.. {
        sleep(Duration::from_secs_f64(1.0 / workload.arrays_per_s)).await;
        start_job(number, workload.array(number));
    }
}
