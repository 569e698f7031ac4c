//! A load driver, which runs controllers as processes against a simulated key-value store, cloud, workers and users on
//! loopback.
//!
//! `cargo bench --bench load -- --machines 1000 --report-s 4` prints the CPU time, memory usage and voluntary context switches
//! of each controller during the measurement, and the longest time for which the questions about a job got no answer. It also
//! prints the process ids of the controllers, for `perf record -p PID`.

mod args;
#[path = "../../tests/harness/mod.rs"]
#[expect(dead_code, reason = "the soak test uses the rest of the stand-ins")]
mod harness;
mod users;

use args::Args;
use clap::Parser;
use harness::cloud::{CloudSettings, SimulatedCloud};
use harness::history::Recorder;
use harness::jobs::JobRegistry;
use harness::process::{ControllerProcess, Launch, Usage};
use harness::settings::{
    settings_file, CloudLimits, Deployment, MachineLimits, Routing, StoreLimits, Team,
    WorkerTimings,
};
use harness::store::{Limits, SimulatedStore};
use harness::topology::{ControllerId, ReservedNetwork, Topology};
use harness::user::User;
use harness::worker::WorkerSettings;
use hollowswitch::protocol::MachineType;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Time allowed for the controllers to elect a leader.
const ELECTION_TIME: Duration = Duration::from_secs(2);
/// Time after which a controller that was killed is started again.
const RESTART_DELAY: Duration = Duration::from_secs(4);
/// Name of the only zone.
const ZONE: &str = "a";
/// Number of CPUs per task.
const TASK_CPUS: f64 = 2.0;
/// Duration of a worker's lease, in seconds.
const LEASE_S: f64 = 22.0;
/// Number of connections of a controller besides those of its workers.
const OTHER_CONNECTIONS: usize = 200;

/// Maximum size of a value in the store, in KiB.
const VALUE_KB: f64 = 32.0;
/// Maximum number of changes in a transaction of the store.
const TXN_OPS: usize = 16;
/// Number of changes that watches can catch up with.
const WATCH_HISTORY: usize = 10_000;

/// Returns the parameters of the deployment.
fn deployment(args: &Args) -> Deployment {
    // Twice the CPUs of all machines, so that the quota limits nothing.
    let quota = args.machines as f64 * args.cpus * 2.0;
    Deployment {
        teams: vec![Team {
            name: users::TEAM.into(),
            cpus: quota,
            cpus_max: quota,
        }],
        workers: WorkerTimings {
            report_s: args.report_s,
            lease_s: LEASE_S,
            cancel_s: 42.0,
        },
        state: StoreLimits {
            rps: 200.0,
            write_rps: 40.0,
            value_kb: VALUE_KB,
            txn_ops: TXN_OPS,
            next: None,
        },
        cloud: CloudLimits {
            rps: 10.0,
            list_lag_s: 10.0,
        },
        machine_limits: MachineLimits {
            max_connections: args
                .max_connections
                .unwrap_or(2 * args.machines + OTHER_CONNECTIONS),
        },
    }
}

/// Starts the key-value store. Its rate is not limited, so that only the controllers limit themselves.
fn start_store(topology: &Topology) -> std::io::Result<()> {
    let limits = Limits {
        value_kb: VALUE_KB,
        txn_ops: TXN_OPS,
        ..Limits::NONE
    };
    SimulatedStore::new(limits, WATCH_HISTORY).start(topology)
}

/// Starts the cloud, which offers machines of one type.
fn start_cloud(args: &Args, topology: &Topology, registry: &JobRegistry) -> std::io::Result<()> {
    let machine_type = MachineType {
        name: "standard".into(),
        cpus: args.cpus,
        gpus: 0.0,
        memory_gb: 256.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 0.5,
        price: 1.0,
        spot_price: 0.9,
        boot_s: 1.0,
        zones: vec![ZONE.into()],
    };
    let cloud = CloudSettings {
        machine_types: vec![machine_type],
        capacity: args.machines,
        boot_time: Duration::ZERO,
        list_lag: Duration::ZERO,
        rps: f64::INFINITY,
        name_digits: 6,
    };
    let workers = WorkerSettings {
        controllers: ControllerId::all()
            .map(|controller| topology.api_address(controller))
            .collect(),
        heartbeat_interval: Duration::from_secs_f64(args.report_s),
        lease: Duration::from_secs_f64(LEASE_S),
        fetch_time: Duration::ZERO,
        registry: registry.clone(),
        recorder: Recorder::disabled(),
    };
    SimulatedCloud::new(cloud, workers, topology).start()
}

/// Starts the controllers. Their settings files are written to a temporary directory.
fn start_controllers(
    args: &Args,
    topology: &Topology,
) -> std::io::Result<Vec<(Launch, ControllerProcess)>> {
    let directory = std::env::temp_dir().join(format!("hollowswitch-load-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let deployment = deployment(args);
    let start = |controller: ControllerId| {
        let name = controller.name();
        let settings = directory.join(format!("{name}.toml"));
        let content = settings_file(controller, ZONE, topology, Routing::Direct, &deployment);
        std::fs::write(&settings, content)?;
        let launch = Launch {
            log: args
                .logs
                .as_ref()
                .map(|logs| logs.join(format!("{name}.log"))),
            name,
            program: args.program.clone(),
            settings,
        };
        let process = ControllerProcess::start(&launch)?;
        Ok((launch, process))
    };
    ControllerId::all().map(start).collect()
}

/// Starts the users in the background. They submit jobs until the driver ends.
fn start_users(
    args: &Args,
    topology: &Topology,
    registry: JobRegistry,
) -> Rc<RefCell<users::RequestCounts>> {
    let workload = users::Workload {
        user: User::new(topology, &Recorder::disabled()),
        registry,
        services: args.services,
        arrays_per_s: args.arrays_per_s,
        tasks_per_array: args.tasks,
        cpus_per_task: TASK_CPUS,
        task_run_time: Duration::from_secs_f64(args.task_s),
    };
    let counts = Rc::new(RefCell::new(users::RequestCounts::default()));
    actix_web::rt::spawn(users::run(workload, counts.clone()));
    counts
}

/// Measures the resource usage of the controllers for some time and prints it.
async fn measure(controllers: &[(Launch, ControllerProcess)], seconds: f64) {
    println!("measuring");
    let usages = || controllers.iter().map(|(_, process)| process.usage());
    let before: Vec<Usage> = usages().collect();
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
    for ((_, controller), before) in controllers.iter().zip(before) {
        print_usage(controller, before, controller.usage(), seconds);
    }
}

/// Prints the resource usage of a controller between two measurements.
fn print_usage(controller: &ControllerProcess, before: Usage, after: Usage, seconds: f64) {
    println!(
        "{:8} pid {:6}  processor {:6.1} ms/s  memory {:6.1} MB, peak {:6.1} MB  waits {:6.0}/s",
        controller.name,
        controller.pid(),
        (after.cpu_ms - before.cpu_ms) / seconds,
        after.resident_kb as f64 / 1024.0,
        after.peak_kb as f64 / 1024.0,
        (after.voluntary_switches - before.voluntary_switches) as f64 / seconds,
    );
}

/// Kills all controllers and starts them again after a delay, as often as asked for.
async fn kill_controllers(
    controllers: &mut [(Launch, ControllerProcess)],
    kills: u32,
    recovery: Duration,
) -> std::io::Result<()> {
    for _ in 0..kills {
        println!("killing all controllers");
        for (_, process) in controllers.iter_mut() {
            process.kill();
        }
        tokio::time::sleep(RESTART_DELAY).await;
        for (launch, process) in controllers.iter_mut() {
            *process = ControllerProcess::start(launch)?;
        }
        tokio::time::sleep(recovery).await;
    }
    Ok(())
}

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let network = ReservedNetwork::reserve(std::process::id() as usize);
    let topology = &network.topology;
    let registry = JobRegistry::default();
    start_store(topology)?;
    start_cloud(&args, topology, &registry)?;
    let mut controllers = start_controllers(&args, topology)?;
    for (_, controller) in &controllers {
        println!("{} has process id {}", controller.name, controller.pid());
    }
    tokio::time::sleep(ELECTION_TIME).await;
    let counts = start_users(&args, topology, registry);
    tokio::time::sleep(Duration::from_secs_f64(args.warmup_s)).await;
    measure(&controllers, args.measured_s).await;
    let recovery = Duration::from_secs_f64(args.recovery_s);
    kill_controllers(&mut controllers, args.kills, recovery).await?;
    let counts = counts.borrow();
    println!(
        "jobs accepted {}, done {}, failed requests {}, longest time without an answer about a job {:.1} s",
        counts.accepted,
        counts.done,
        counts.failed,
        counts.longest_silence().as_secs_f64(),
    );
    Ok(())
}
