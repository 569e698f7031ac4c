//! The users of a run: they submit jobs, ask, repeat, cancel and hang up, at all controllers.

pub(crate) mod draws;
mod settling;
mod summary;

use crate::harness::balancer::Balancer;
use crate::harness::history::Answer;
use crate::harness::jobs::JobRegistry;
use crate::harness::topology::{ControllerId, CONTROLLER_COUNT};
use crate::harness::user::User;
use crate::options::Options;
use draws::draw_hang_up;
use hollowswitch::protocol::{JobKind, JobSpec, JobState};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Teams, with the CPUs that they may use per machine of the deployment. The second one is always at its limit.
pub(crate) const TEAMS: [(&str, f64); 2] = [("roomy", 6.0), ("tight", 0.5)];

/// Number of users for each machine of the deployment, in addition to [`MIN_USERS`].
const USERS_PER_WORKER: f64 = 0.25;
const MIN_USERS: usize = 10;
/// Time between two jobs of a user, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..3000;
/// Time between two questions about a job, in milliseconds.
const POLL_INTERVAL_MS: std::ops::Range<u64> = 300..2000;
/// Delay before a failed request is repeated.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time between two questions of a poll storm.
const STORM_INTERVAL: Duration = Duration::from_millis(8);
/// Time for which a user goes on submitting or cancelling a job.
const PATIENCE: Duration = Duration::from_mins(1);
/// Id of a job that nobody submits.
const UNKNOWN_JOB: &str = "wk-999999";

/// What a user wants of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wish {
    /// It shall run.
    Run,
    /// It was cancelled, and the cancellation was confirmed.
    Cancelled,
}

struct Shared {
    user: User,
    balancer: Balancer,
    registry: JobRegistry,
    seed: u64,
    users: usize,
    last_job: Cell<u32>,
    /// Accepted jobs.
    accepted: RefCell<BTreeMap<String, Wish>>,
    is_submitting: Cell<bool>,
    storm_until: Cell<Instant>,
    /// Requests of users that are in progress.
    busy_users: Cell<usize>,
}

/// The users of a run. Clones share everything.
#[derive(Clone)]
pub(crate) struct Workload(Rc<Shared>);

impl Workload {
    /// Creates the users.
    pub(crate) fn new(
        options: &Options,
        user: User,
        balancer: Balancer,
        registry: JobRegistry,
    ) -> Workload {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small number of users"
        )]
        let users = MIN_USERS + (options.workers as f64 * USERS_PER_WORKER) as usize;
        Workload(Rc::new(Shared {
            user,
            balancer,
            registry,
            seed: options.seed,
            users,
            last_job: Cell::new(0),
            accepted: RefCell::default(),
            is_submitting: Cell::new(true),
            storm_until: Cell::new(Instant::now()),
            busy_users: Cell::new(0),
        }))
    }

    /// Returns the descriptions of the jobs.
    pub(crate) fn registry(&self) -> JobRegistry {
        self.0.registry.clone()
    }

    /// Waits for a controller that is healthy, at most for a time.
    pub(crate) async fn wait_for_healthy_controller(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while self.0.balancer.healthy().is_empty() && Instant::now() < deadline {
            sleep(RETRY_DELAY / 10).await;
        }
    }

    /// Starts the users.
    pub(crate) fn start_users(&self) {
        for number in 0..self.0.users {
            let random = StdRng::seed_from_u64(self.0.seed.wrapping_mul(1000) + number as u64);
            let workload = self.clone();
            self.0.busy_users.set(self.0.busy_users.get() + 1);
            actix_web::rt::spawn(async move {
                workload.run_user(random).await;
                workload.0.busy_users.set(workload.0.busy_users.get() - 1);
            });
        }
    }

    /// Lets users finish what they do and submit nothing more.
    pub(crate) fn stop_submitting(&self) {
        self.0.is_submitting.set(false);
    }

    async fn run_user(&self, mut random: StdRng) {
        while self.0.is_submitting.get() {
            let job = self.draw_job(&mut random);
            self.run_job(&job, &mut random).await;
            sleep(Duration::from_millis(random.gen_range(PAUSE_MS))).await;
        }
    }

    /// Submits a job, asks about it, and perhaps cancels it.
    async fn run_job(&self, job: &JobSpec, random: &mut StdRng) {
        let user = &self.0.user;
        if random.gen_bool(0.2) {
            let hang_up = draw_hang_up(random);
            user.submit_and_hang_up(self.pick(random), job, hang_up)
                .await;
        }
        if !self.submit(job, random).await {
            return;
        }
        if random.gen_bool(0.3) {
            self.look_closely(job).await;
        }
        let is_service = job.kind == JobKind::Service;
        let cancels = random.gen_bool(if is_service { 0.6 } else { 0.25 });
        for _ in 0..random.gen_range(1..6) {
            sleep(Duration::from_millis(random.gen_range(POLL_INTERVAL_MS))).await;
            if self.ask(job, random).await {
                return;
            }
        }
        if cancels && self.cancel(&job.id, random).await {
            self.look_closely(job).await;
        }
    }

    /// Submits a job until it is accepted. Returns whether it was.
    async fn submit(&self, job: &JobSpec, random: &mut StdRng) -> bool {
        let give_up_at = Instant::now() + PATIENCE;
        while Instant::now() < give_up_at {
            let controller = self.pick(random);
            match self.0.user.submit(controller, job).await {
                Answer::State(_) => {
                    let mut accepted = self.0.accepted.borrow_mut();
                    accepted.entry(job.id.clone()).or_insert(Wish::Run);
                    return true;
                }
                // It can never run.
                Answer::Rejected => return false,
                _ => sleep(RETRY_DELAY).await,
            }
        }
        false
    }

    /// Asks about a job in one way or another. Returns whether the job is done.
    async fn ask(&self, job: &JobSpec, random: &mut StdRng) -> bool {
        let user = &self.0.user;
        match random.gen_range(0..10) {
            0..=1 => {
                let hang_up = draw_hang_up(random);
                user.poll_and_hang_up(self.pick(random), &job.id, hang_up)
                    .await;
                false
            }
            2 => {
                // A repeated submission changes nothing.
                let answer = user.submit(self.pick(random), job).await;
                answer == Answer::State(JobState::Done)
            }
            3 => {
                user.poll(self.pick(random), UNKNOWN_JOB).await;
                false
            }
            _ => {
                let answer = user.poll(self.pick(random), &job.id).await;
                answer == Answer::State(JobState::Done)
            }
        }
    }

    /// Asks all controllers about a job at the same time.
    async fn look_closely(&self, job: &JobSpec) {
        let user = &self.0.user;
        let polls = ControllerId::all().map(|controller| user.poll(controller, &job.id));
        futures_util::future::join_all(polls).await;
    }

    /// Cancels a job until that is confirmed, or until the job turns out to be done. Returns whether it was confirmed.
    async fn cancel(&self, job: &str, random: &mut StdRng) -> bool {
        let give_up_at = Instant::now() + PATIENCE;
        while Instant::now() < give_up_at {
            match self.0.user.cancel(self.pick(random), job).await {
                Answer::State(JobState::Cancelled) => {
                    let wish = Wish::Cancelled;
                    self.0.accepted.borrow_mut().insert(job.to_string(), wish);
                    return true;
                }
                Answer::State(_) => return false,
                _ => sleep(RETRY_DELAY).await,
            }
        }
        false
    }

    /// Cancels some of the accepted jobs at once.
    pub(crate) fn cancel_now(&self, count: usize) {
        let jobs: Vec<String> = self.wanted_jobs().into_iter().rev().take(count).collect();
        for (number, job) in jobs.into_iter().enumerate() {
            let workload = self.clone();
            let mut random = StdRng::seed_from_u64(self.0.seed + number as u64);
            self.0.busy_users.set(self.0.busy_users.get() + 1);
            actix_web::rt::spawn(async move {
                workload.cancel(&job, &mut random).await;
                workload.0.busy_users.set(workload.0.busy_users.get() - 1);
            });
        }
    }

    /// Lets users ask often for some time, and hang up in the middle of requests.
    pub(crate) fn start_poll_storm(&self, duration: Duration) {
        let until = Instant::now() + duration;
        self.0.storm_until.set(until);
        let workload = self.clone();
        actix_web::rt::spawn(async move {
            let mut random = StdRng::seed_from_u64(workload.0.seed);
            while Instant::now() < until {
                let jobs = workload.wanted_jobs();
                if !jobs.is_empty() {
                    let job = jobs[random.gen_range(0..jobs.len())].clone();
                    workload.ask_in_storm(job, &mut random);
                }
                sleep(STORM_INTERVAL).await;
            }
        });
    }

    fn ask_in_storm(&self, job: String, random: &mut StdRng) {
        let (user, controller) = (self.0.user.clone(), self.pick(random));
        let hang_up = random.gen_bool(0.5).then(|| draw_hang_up(random));
        actix_web::rt::spawn(async move {
            match hang_up {
                Some(hang_up) => user.poll_and_hang_up(controller, &job, hang_up).await,
                None => drop(user.poll(controller, &job).await),
            }
        });
    }

    /// Returns the accepted jobs that shall run, in the order of their ids.
    fn wanted_jobs(&self) -> Vec<String> {
        let accepted = self.0.accepted.borrow();
        let wanted = accepted.iter().filter(|(_, wish)| **wish == Wish::Run);
        wanted.map(|(job, _)| job.clone()).collect()
    }

    /// Returns a controller: mostly a healthy one, as the balancer would choose it.
    fn pick(&self, random: &mut StdRng) -> ControllerId {
        let healthy = self.0.balancer.healthy();
        if healthy.is_empty() || random.gen_bool(0.1) {
            return ControllerId(random.gen_range(0..CONTROLLER_COUNT));
        }
        healthy[random.gen_range(0..healthy.len())]
    }
}
