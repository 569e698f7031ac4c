//! The state service lowers its limits while jobs run, without any other trouble.

use crate::harness::history::{Answer, Observation, Recorder};
use crate::harness::jobs::{JobDescription, JobRegistry};
use crate::harness::topology::{ControllerId, ReservedNetwork};
use crate::harness::user::User;
use crate::options::Options;
use crate::run::{deployment, log_directory, start, LOWERED_LIMITS, MACHINE_TYPES, START_TIMEOUT};
use crate::schedule::Notice;
use crate::troubles::Surroundings;
use crate::workload::draws::long_list_of_machine_types;
use crate::workload::TEAMS;
use hollowswitch::protocol::{JobKind, JobSpec, JobState, Priority};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Number of services of four replicas that run when the limits are lowered. The log of their starts exceeds the lowered limit.
const SERVICES: u32 = 25;
/// Time within which a request has its effect.
const EFFECT_TIMEOUT: Duration = Duration::from_secs(40);
/// Time between two questions or two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A deployment whose state service will lower its limits.
struct Cluster {
    surroundings: Surroundings,
    registry: JobRegistry,
    user: User,
    recorder: Recorder,
    _network: ReservedNetwork,
}

impl Cluster {
    async fn start(seed: u64, notice: Notice) -> Cluster {
        Cluster::start_with(Options::for_seed(seed), notice).await
    }

    async fn start_with(options: Options, notice: Notice) -> Cluster {
        let network = ReservedNetwork::reserve(std::process::id() as usize);
        let logs = log_directory(options.seed).expect("a directory for the logs");
        let recorder = Recorder::new();
        let deployment = deployment(&options, notice);
        let surroundings = start(&options, &deployment, &network.topology, &logs, &recorder)
            .await
            .expect("the stand-ins and controllers can be started");
        let workload = &surroundings.workload;
        workload.wait_for_healthy_controller(START_TIMEOUT).await;
        Cluster {
            registry: workload.registry(),
            user: User::new(&network.topology, &recorder),
            surroundings,
            recorder,
            _network: network,
        }
    }

    /// Describes a service of four replicas to the workers.
    fn service(&self, number: u32, machine_types: Option<Vec<String>>) -> JobSpec {
        let spec = JobSpec {
            id: format!("wk-{number:020}"),
            class: "service".into(),
            team: TEAMS[0].0.into(),
            kind: JobKind::Service,
            priority: Priority::Production,
            tasks: 4,
            cpus: 0.5,
            gpus: 0.0,
            memory_gb: 0.5,
            image: "image-1".into(),
            image_gb: 0.1,
            machine_types,
            zone: None,
            single_zone: false,
            spread_zones: false,
            spot: false,
            run_time_estimate_s: 0.0,
            checkpoint_interval_s: 0.0,
            checkpoint_save_s: 0.0,
            deadline_s: None,
        };
        self.describe(&spec);
        spec
    }

    fn describe(&self, spec: &JobSpec) {
        self.registry.upload(JobDescription {
            spec: spec.clone(),
            run_time: Duration::ZERO,
        });
    }

    /// Submits a job until there is a definite answer.
    async fn submit(&self, controller: ControllerId, job: &JobSpec) -> Answer {
        loop {
            let answer = self.user.submit(controller, job).await;
            if matches!(answer, Answer::State(_) | Answer::Rejected) {
                return answer;
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Submits a service that has to be accepted.
    async fn submit_accepted(&self, number: u32, machine_types: Option<Vec<String>>) -> JobSpec {
        let job = self.service(number, machine_types);
        self.accept(&job).await;
        job
    }

    /// Submits a job that has to be accepted.
    async fn accept(&self, job: &JobSpec) {
        let answer = timeout(EFFECT_TIMEOUT, self.submit(ControllerId(0), job)).await;
        assert!(matches!(answer, Ok(Answer::State(_))), "{answer:?}");
    }

    /// Waits until all controllers say that a job is in a state.
    async fn wait_for_state(&self, job: &JobSpec, state: JobState) {
        for controller in ControllerId::all() {
            let reached = async {
                while self.user.poll(controller, &job.id).await != Answer::State(state) {
                    sleep(RETRY_INTERVAL).await;
                }
            };
            let reached = timeout(EFFECT_TIMEOUT, reached).await;
            assert!(reached.is_ok(), "{} is not {state:?}", job.id);
        }
    }

    /// Returns the number of tasks that were on a machine so far.
    fn tasks_on_machines(&self) -> usize {
        let history = self.recorder.history();
        let tasks = history.iter().filter_map(|entry| match &entry.observation {
            Observation::TaskOnMachine(attempt) => Some(attempt.task.as_str()),
            _ => None,
        });
        tasks.collect::<BTreeSet<&str>>().len()
    }

    fn lower_limits(&self) {
        let store = &self.surroundings.store;
        store.disturb(|it| it.set_limits(LOWERED_LIMITS));
    }

    /// Starts the services, and lowers the limits once they run.
    async fn run_services_and_lower_limits(&self) {
        let mut services = Vec::new();
        for number in 0..SERVICES {
            services.push(self.submit_accepted(number, None).await);
        }
        for service in &services {
            self.wait_for_state(service, JobState::Running).await;
        }
        self.lower_limits();
    }
}

/// Plays a test.
fn play(test: impl std::future::Future<Output = ()>) {
    actix_web::rt::System::new().block_on(test);
}

async fn check_that_later_jobs_start(seed: u64, notice: Notice) {
    let cluster = Cluster::start(seed, notice).await;
    cluster.run_services_and_lower_limits().await;
    for number in 100..103 {
        let job = cluster.submit_accepted(number, None).await;
        cluster.wait_for_state(&job, JobState::Running).await;
    }
    let refused = cluster.surroundings.store.refused_for_size();
    match notice {
        Notice::InSettings => assert_eq!(refused, 0),
        Notice::None => assert!((1..50).contains(&refused), "{refused} refusals"),
    }
}

/// The leader once repeated a write of the start log that was refused for its size, and no accepted job started any more.
#[test]
fn accepted_jobs_start_after_announced_limits_have_come_into_force() {
    play(check_that_later_jobs_start(9001, Notice::InSettings));
}

/// Like the test above. Limits that are not announced have to be learned from the refusals.
#[test]
fn accepted_jobs_start_after_the_limits_were_lowered_without_an_announcement() {
    play(check_that_later_jobs_start(9002, Notice::None));
}

async fn check_jobs_with_large_records(seed: u64, notice: Notice) {
    let cluster = Cluster::start(seed, notice).await;
    let large = || Some(long_list_of_machine_types());
    let kept = cluster.submit_accepted(1, large()).await;
    let cancelled = cluster.submit_accepted(2, large()).await;
    for job in [&kept, &cancelled] {
        cluster.wait_for_state(job, JobState::Running).await;
    }
    cluster.lower_limits();
    // A submission that can't be stored is neither accepted nor put off, at any controller.
    let too_large = cluster.service(3, large());
    for controller in ControllerId::all() {
        let answer = timeout(EFFECT_TIMEOUT, cluster.submit(controller, &too_large)).await;
        assert_eq!(answer.ok(), Some(Answer::Rejected));
        let poll = cluster.user.poll(controller, &too_large.id).await;
        assert_eq!(poll, Answer::Unknown);
        // What was accepted stays accepted.
        let repeated = cluster.submit(controller, &kept).await;
        assert_eq!(repeated, Answer::State(JobState::Running));
    }
    // What is stored above the limit can be cancelled: its record moves.
    let cancel = async {
        let confirmed = Answer::State(JobState::Cancelled);
        while cluster.user.cancel(ControllerId(1), &cancelled.id).await != confirmed {
            sleep(RETRY_INTERVAL).await;
        }
    };
    assert!(timeout(EFFECT_TIMEOUT, cancel).await.is_ok());
    cluster
        .wait_for_state(&cancelled, JobState::Cancelled)
        .await;
    let repeated = cluster.submit(ControllerId(2), &cancelled).await;
    assert_eq!(repeated, Answer::State(JobState::Cancelled));
}

/// Submissions that were too large to be stored were once put off without end, and jobs with such records could not be cancelled.
#[test]
fn large_jobs_are_rejected_or_cancelled_after_announced_limits_have_come_into_force() {
    play(check_jobs_with_large_records(9003, Notice::InSettings));
}

/// Like the test above, with limits that are not announced.
#[test]
fn large_jobs_are_rejected_or_cancelled_after_the_limits_were_lowered() {
    play(check_jobs_with_large_records(9004, Notice::None));
}

/// Number of machines that one job needs. Their names don't fit into one record under the lowered limit.
const MACHINES: u32 = 20;

async fn check_rental_of_many_machines(seed: u64, notice: Notice) {
    let options = Options {
        machine_name_digits: 90,
        ..Options::for_seed(seed)
    };
    let cluster = Cluster::start_with(options, notice).await;
    cluster.lower_limits();
    let job = JobSpec {
        cpus: 4.0,
        tasks: MACHINES,
        ..cluster.service(1, Some(vec![MACHINE_TYPES[0].into()]))
    };
    cluster.describe(&job);
    cluster.accept(&job).await;
    let running = async {
        while cluster.tasks_on_machines() < MACHINES as usize {
            sleep(RETRY_INTERVAL).await;
        }
    };
    assert!(timeout(EFFECT_TIMEOUT, running).await.is_ok());
}

/// The names of rented machines were once stored in one record. If it was refused for its size, the machines were neither used nor
/// returned, and no others were rented.
#[test]
fn machines_are_used_although_their_names_exceed_the_announced_limit() {
    play(check_rental_of_many_machines(9005, Notice::InSettings));
}

/// Like the test above, with limits that are not announced.
#[test]
fn machines_are_used_although_their_names_exceed_the_lowered_limit() {
    play(check_rental_of_many_machines(9006, Notice::None));
}
