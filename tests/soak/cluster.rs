//! A deployment of real processes without troubles, for tests of a single change.

use crate::harness::history::{Answer, Entry, Observation, Recorder};
use crate::harness::jobs::{JobDescription, JobRegistry};
use crate::harness::settings::Deployment;
use crate::harness::store::Limits;
use crate::harness::topology::{ControllerId, ReservedNetwork};
use crate::harness::user::User;
use crate::invariants::{check, Violation};
use crate::options::Options;
use crate::run::{bounds, deployment, log_directory, start, START_TIMEOUT};
use crate::schedule::Notice;
use crate::troubles::Surroundings;
use crate::workload::TEAMS;
use hollowswitch::protocol::{JobKind, JobSpec, JobState, Priority};
use hollowswitch::store::{rental_key, stopping_key};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time within which a request has its effect.
pub(crate) const EFFECT_TIMEOUT: Duration = Duration::from_secs(40);
/// Time between two questions or two tries.
pub(crate) const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Plays a test.
pub(crate) fn play(test: impl std::future::Future<Output = ()>) {
    actix_web::rt::System::new().block_on(test);
}

/// A deployment without troubles, and a user.
pub(crate) struct Cluster {
    /// The services, controllers and links.
    pub(crate) surroundings: Surroundings,
    registry: JobRegistry,
    /// The user, whose requests are recorded.
    pub(crate) user: User,
    /// Records what the user and the workers observe.
    pub(crate) recorder: Recorder,
    deployment: Deployment,
    lowered_limits: Limits,
    _network: ReservedNetwork,
}

impl Cluster {
    /// Starts the processes, and waits until a controller is healthy.
    pub(crate) async fn start(options: Options, notice: Notice) -> Cluster {
        let cluster = Cluster::launch(options, notice).await;
        cluster.wait_until_healthy().await;
        cluster
    }

    /// Starts the processes.
    pub(crate) async fn launch(options: Options, notice: Notice) -> Cluster {
        let network = ReservedNetwork::reserve(std::process::id() as usize);
        let logs = log_directory(options.seed).expect("a directory for the logs");
        let recorder = Recorder::new();
        let deployment = deployment(&options, notice);
        let surroundings = start(&options, &deployment, &network.topology, &logs, &recorder)
            .await
            .expect("the stand-ins and controllers can be started");
        Cluster {
            registry: surroundings.workload.registry(),
            user: User::new(&network.topology, &recorder),
            surroundings,
            recorder,
            deployment,
            lowered_limits: options.lowered_limits,
            _network: network,
        }
    }

    /// Waits until a controller is healthy, for a limited time.
    pub(crate) async fn wait_until_healthy(&self) {
        let workload = &self.surroundings.workload;
        workload.wait_for_healthy_controller(START_TIMEOUT).await;
    }

    /// Kills all controllers and starts them again.
    pub(crate) async fn restart_controllers(&self) {
        let controllers = &self.surroundings.controllers;
        ControllerId::all().for_each(|controller| controllers.kill(controller));
        ControllerId::all().for_each(|controller| controllers.start_if_killed(controller));
        sleep(RETRY_INTERVAL).await;
        self.wait_until_healthy().await;
    }

    /// Returns the rules that were broken so far.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        let history = self.recorder.history();
        check(&history, &self.registry, &bounds(&self.deployment))
    }

    /// Describes a service of four replicas to the workers.
    pub(crate) fn service(&self, number: u32, machine_types: Option<Vec<String>>) -> JobSpec {
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

    /// Describes a job to the workers. Its tasks end at once if it is no service.
    pub(crate) fn describe(&self, spec: &JobSpec) {
        self.registry.upload(JobDescription {
            spec: spec.clone(),
            run_time: Duration::ZERO,
        });
    }

    /// Submits a job until there is a definite answer.
    pub(crate) async fn submit(&self, controller: ControllerId, job: &JobSpec) -> Answer {
        loop {
            let answer = self.user.submit(controller, job).await;
            if matches!(answer, Answer::State(_) | Answer::Rejected) {
                return answer;
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Submits a service that has to be accepted.
    pub(crate) async fn submit_accepted(
        &self,
        number: u32,
        machine_types: Option<Vec<String>>,
    ) -> JobSpec {
        let job = self.service(number, machine_types);
        self.accept(&job).await;
        job
    }

    /// Submits a job that has to be accepted.
    pub(crate) async fn accept(&self, job: &JobSpec) {
        let answer = timeout(EFFECT_TIMEOUT, self.submit(ControllerId(0), job)).await;
        assert!(matches!(answer, Ok(Answer::State(_))), "{answer:?}");
    }

    /// Waits until all controllers say that a job is in a state.
    pub(crate) async fn wait_for_state(&self, job: &JobSpec, state: JobState) {
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

    /// Returns the number of times that a task was on a machine so far.
    pub(crate) fn starts(&self) -> usize {
        let history = self.recorder.history();
        let is_start = |entry: &&Entry| matches!(entry.observation, Observation::TaskOnMachine(_));
        history.iter().filter(is_start).count()
    }

    /// Returns the number of rental records that are parts of others.
    pub(crate) fn divided_rentals(&self) -> usize {
        let keys = self.surroundings.store.keys(&rental_key(""));
        keys.iter().filter(|key| key.contains('.')).count()
    }

    /// Returns the number of cancelled jobs whose records are still kept.
    pub(crate) fn stopping_jobs(&self) -> usize {
        self.surroundings.store.keys(&stopping_key("")).len()
    }

    /// Returns the number of machines that were adopted.
    pub(crate) fn adopted_machines(&self) -> usize {
        self.surroundings.store.keys(&rental_key("found-")).len()
    }

    /// Returns the number of tasks that were on a machine so far.
    pub(crate) fn tasks_on_machines(&self) -> usize {
        let history = self.recorder.history();
        let tasks = history.iter().filter_map(|entry| match &entry.observation {
            Observation::TaskOnMachine(attempt) => Some(attempt.task.as_str()),
            _ => None,
        });
        tasks.collect::<BTreeSet<&str>>().len()
    }

    /// Cancels a job until that is confirmed, for a limited time.
    pub(crate) async fn cancel(&self, controller: ControllerId, job: &JobSpec) {
        let cancel = async {
            let confirmed = Answer::State(JobState::Cancelled);
            while self.user.cancel(controller, &job.id).await != confirmed {
                sleep(RETRY_INTERVAL).await;
            }
        };
        let confirmed = timeout(EFFECT_TIMEOUT, cancel).await;
        assert!(confirmed.is_ok(), "{} is not cancelled", job.id);
    }

    /// Waits until as many tasks were on a machine, for a limited time.
    pub(crate) async fn wait_for_tasks(&self, count: usize) {
        let running = async {
            while self.tasks_on_machines() < count {
                sleep(RETRY_INTERVAL).await;
            }
        };
        let running = timeout(EFFECT_TIMEOUT, running).await;
        assert!(running.is_ok(), "{} tasks ran", self.tasks_on_machines());
    }

    /// Returns the limits of the state service at first.
    pub(crate) fn limits(&self) -> Limits {
        self.deployment.state.present()
    }

    /// Waits until no record of a cancelled job is left, for a limited time.
    pub(crate) async fn wait_until_all_stopped(&self) {
        let stopped = async {
            while self.stopping_jobs() > 0 {
                sleep(RETRY_INTERVAL).await;
            }
        };
        let stopped = timeout(EFFECT_TIMEOUT, stopped).await;
        assert!(stopped.is_ok(), "{} jobs are left", self.stopping_jobs());
    }

    /// Changes the limits of the state service.
    pub(crate) fn set_limits(&self, limits: Limits) {
        self.surroundings.store.disturb(|it| it.set_limits(limits));
    }

    /// Lowers the limits of the state service.
    pub(crate) fn lower_limits(&self) {
        self.set_limits(self.lowered_limits);
    }
}
