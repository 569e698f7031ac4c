//! One run: starts everything, troubles it, waits until it has settled, and checks the history.

use crate::controllers::Controllers;
use crate::harness::balancer::Balancer;
use crate::harness::cloud::{CloudSettings, SimulatedCloud};
use crate::harness::history::{Observation, Recorder};
use crate::harness::jobs::JobRegistry;
use crate::harness::network::Network;
use crate::harness::process::Launch;
use crate::harness::settings::{
    settings_file, CloudLimits, Deployment, MachineLimits, Routing, StoreLimits, Team,
    WorkerTimings,
};
use crate::harness::store::{Limits, SimulatedStore};
use crate::harness::topology::{ControllerId, ReservedNetwork, Topology};
use crate::harness::user::User;
use crate::harness::worker::WorkerSettings;
use crate::invariants::{check, Bounds, TeamLimit, Violation};
use crate::options::Options;
use crate::schedule::{Notice, Schedule};
use crate::troubles::Surroundings;
use crate::workload::{Workload, TEAMS};
use hollowswitch::protocol::MachineType;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Names of the machine types, the smaller one first.
pub(crate) const MACHINE_TYPES: [&str; 2] = ["small", "large"];
/// Names of the zones.
pub(crate) const ZONES: [&str; 2] = ["a", "b"];

/// Timings of the workers, in seconds.
const TIMINGS: WorkerTimings = WorkerTimings {
    report_s: 1.0,
    lease_s: 6.0,
    cancel_s: 22.0,
};
/// Limits of the state service at first.
const STORE_LIMITS: StoreLimits = StoreLimits {
    rps: 200.0,
    write_rps: 60.0,
    value_kb: 32.0,
    txn_ops: 16,
    next: None,
};
/// Limits of the state service after it has lowered them.
pub(crate) const LOWERED_LIMITS: Limits = Limits {
    rps: 180.0,
    write_rps: 40.0,
    value_kb: 1.0,
    txn_ops: 4,
};
/// Number of changes that watches can catch up with. It is small, so that replicas have to be loaded again.
const HISTORY: usize = 400;
/// Limits of the cloud.
const CLOUD_LIMITS: CloudLimits = CloudLimits {
    rps: 10.0,
    list_lag_s: 1.0,
};
/// Time from the rental of a machine until its worker runs.
const BOOT_TIME: Duration = Duration::from_millis(400);
/// Time that the fetch of an image takes.
const FETCH_TIME: Duration = Duration::from_millis(100);
/// Number of connections of a controller besides those of its workers.
const OTHER_CONNECTIONS: usize = 150;
/// Time allowed for the first healthy controller.
pub(crate) const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without troubles at the beginning, in which the first jobs start.
const QUIET_START: Duration = Duration::from_secs(3);
/// Time after the last trouble within which every accepted job has to be answered.
const ANSWER_BOUND: Duration = Duration::from_secs(75);
/// Time after the last trouble within which every accepted job has to begin while there is room.
const START_BOUND: Duration = Duration::from_secs(90);

/// The result of a run.
pub(crate) struct Report {
    /// The options of the run.
    pub(crate) options: Options,
    /// The schedule of its troubles.
    pub(crate) schedule: Schedule,
    /// The directory with the logs of the controllers.
    pub(crate) logs: PathBuf,
    /// The rules that were broken.
    pub(crate) violations: Vec<Violation>,
    /// Numbers of observations, to show that the run tested something.
    pub(crate) summary: String,
}

impl Report {
    /// Returns what is needed to see a failure again.
    pub(crate) fn description(&self) -> String {
        let violations: Vec<String> = self.violations.iter().map(ToString::to_string).collect();
        format!(
            "seed {}: {} rules broken; {}\n{}\nagain: {}\nlogs: {}\nschedule:\n{}",
            self.options.seed,
            self.violations.len(),
            self.summary,
            violations.join("\n"),
            self.options.command(),
            self.logs.display(),
            self.schedule
        )
    }
}

/// Plays a run.
pub(crate) fn play(options: Options) -> std::io::Result<Report> {
    actix_web::rt::System::new().block_on(play_async(options))
}

async fn play_async(options: Options) -> std::io::Result<Report> {
    let network = ReservedNetwork::reserve(std::process::id() as usize);
    let topology = network.topology.clone();
    let logs = log_directory(options.seed)?;
    let recorder = Recorder::new();
    let schedule = Schedule::draw(options.seed, options.troubles);
    let deployment = deployment(&options, schedule.notice);
    let surroundings = start(&options, &deployment, &topology, &logs, &recorder).await?;
    let workload = surroundings.workload.clone();
    workload.wait_for_healthy_controller(START_TIMEOUT).await;
    workload.start_users();
    sleep(QUIET_START).await;
    surroundings.trouble(&schedule).await;
    recorder.record(Observation::TroublesOver);
    workload.stop_submitting();
    // Without a result, the history shows what has not settled.
    let _ = timeout(START_BOUND, workload.settle()).await;
    recorder.record(Observation::RunOver);
    let history = recorder.history();
    let violations = check(&history, &workload.registry(), &bounds(&deployment));
    let summary = workload.summary(&history);
    Ok(Report {
        options,
        schedule,
        logs,
        violations,
        summary,
    })
}

/// Starts the services, the controllers and the users' balancer.
pub(crate) async fn start(
    options: &Options,
    deployment: &Deployment,
    topology: &Topology,
    logs: &Path,
    recorder: &Recorder,
) -> std::io::Result<Surroundings> {
    let registry = JobRegistry::default();
    let store = SimulatedStore::new(deployment.state.present(), HISTORY);
    store.start(topology)?;
    let workers = WorkerSettings {
        controllers: ControllerId::all()
            .map(|controller| topology.api_address(controller))
            .collect(),
        heartbeat_interval: Duration::from_secs_f64(TIMINGS.report_s),
        lease: Duration::from_secs_f64(TIMINGS.lease_s),
        fetch_time: FETCH_TIME,
        registry: registry.clone(),
        recorder: recorder.clone(),
    };
    let cloud = SimulatedCloud::new(cloud_settings(options), workers, topology);
    cloud.start()?;
    let network = Network::start(topology).await?;
    let launches = launches(options, deployment, topology, logs)?;
    let controllers = Controllers::start(launches, recorder)?;
    actix_web::rt::spawn(controllers.clone().watch());
    let balancer = Balancer::new();
    let user = User::new(topology, recorder);
    actix_web::rt::spawn(balancer.clone().run(user.clone()));
    let workload = Workload::new(options, user.behind(&balancer), balancer, registry);
    Ok(Surroundings {
        controllers,
        network,
        store,
        cloud,
        workload,
    })
}

fn cloud_settings(options: &Options) -> CloudSettings {
    let machine_type = |name: &str, cpus: f64, price: f64| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price,
        spot_price: price / 2.0,
        boot_s: BOOT_TIME.as_secs_f64(),
        zones: ZONES.iter().map(ToString::to_string).collect(),
    };
    let usual = [
        machine_type(MACHINE_TYPES[0], 4.0, 1.0),
        machine_type(MACHINE_TYPES[1], 8.0, 2.0),
    ];
    let others = (0..options.other_machine_types)
        .map(|number| machine_type(&format!("other-{number}"), 4.0, 1000.0));
    let machine_types = usual.into_iter().chain(others).collect();
    CloudSettings {
        machine_types,
        capacity: options.workers,
        boot_time: BOOT_TIME,
        list_lag: Duration::from_secs_f64(CLOUD_LIMITS.list_lag_s),
        rps: CLOUD_LIMITS.rps,
        name_digits: options.machine_name_digits,
    }
}

/// Returns the parameters of the deployment, which may announce lower limits of the state service.
pub(crate) fn deployment(options: &Options, notice: Notice) -> Deployment {
    let team = |(name, cpus_per_worker): &(&str, f64)| Team {
        name: (*name).into(),
        cpus: 0.0,
        cpus_max: cpus_per_worker * options.workers as f64,
    };
    Deployment {
        teams: TEAMS.iter().map(team).collect(),
        workers: TIMINGS,
        state: StoreLimits {
            next: (notice == Notice::InSettings).then_some(options.lowered_limits),
            ..STORE_LIMITS
        },
        cloud: CLOUD_LIMITS,
        machine_limits: MachineLimits {
            max_connections: 2 * options.workers + OTHER_CONNECTIONS,
        },
    }
}

/// Returns how the controllers are started. Their settings are written next to their logs.
fn launches(
    options: &Options,
    deployment: &Deployment,
    topology: &Topology,
    logs: &Path,
) -> std::io::Result<Vec<Launch>> {
    let launch = |controller: ControllerId| {
        let name = controller.name();
        let settings = logs.join(format!("{name}.toml"));
        let zone = ZONES[controller.0 % ZONES.len()];
        let content = settings_file(
            controller,
            zone,
            topology,
            Routing::ThroughLinks,
            deployment,
        );
        std::fs::write(&settings, content)?;
        Ok(Launch {
            log: Some(logs.join(format!("{name}.log"))),
            name,
            program: options.program.clone(),
            settings,
        })
    };
    ControllerId::all().map(launch).collect()
}

pub(crate) fn bounds(deployment: &Deployment) -> Bounds {
    let limit = |team: &Team| TeamLimit {
        team: team.name.clone(),
        cpus: team.cpus_max,
        is_tight: team.name == TEAMS[1].0,
    };
    Bounds {
        team_limits: deployment.teams.iter().map(limit).collect(),
        cancel: Duration::from_secs_f64(TIMINGS.cancel_s),
        answer: ANSWER_BOUND,
        start: START_BOUND,
    }
}

/// Creates an empty directory for the logs of a seed.
pub(crate) fn log_directory(seed: u64) -> std::io::Result<PathBuf> {
    let name = format!("soak-{}-{seed}", std::process::id());
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    if directory.exists() {
        std::fs::remove_dir_all(&directory)?;
    }
    std::fs::create_dir_all(&directory)?;
    Ok(directory)
}
