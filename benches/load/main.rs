//! A load driver, which runs controllers as processes against a simulated key-value store, cloud, workers and users on
//! loopback.
//!
//! `cargo bench --bench load -- --machines 1000 --report-s 4` prints the CPU time, memory usage and voluntary context switches
//! of each controller during the measurement. It also prints the process ids of the controllers, for `perf record -p PID`.

mod args;
mod cloud;
mod http;
mod process;
mod settings;
mod store;
mod topology;
mod users;
mod worker;

use actix_web::{web, App, HttpServer};
use args::Args;
use clap::Parser;
use process::{ControllerProcess, Usage};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use topology::{cloud_address, store_address, ControllerId, WORKER_PORT};

/// Time allowed for the controllers to elect a leader.
const ELECTION_TIME: Duration = Duration::from_secs(2);

/// Number of CPUs per task.
const TASK_CPUS: f64 = 2.0;

/// Starts the server of the key-value store in the background.
fn serve_store() -> std::io::Result<()> {
    let store = web::Data::new(store::SimulatedStore::default());
    let app = move || App::new().app_data(store.clone()).configure(store::routes);
    let server = HttpServer::new(app).workers(1).bind(store_address())?;
    actix_web::rt::spawn(server.run());
    Ok(())
}

/// Starts the server of the cloud in the background. The cloud starts a worker for each machine that it rents out.
fn serve_cloud(args: &Args) -> std::io::Result<()> {
    let worker = worker::Settings {
        controllers: ControllerId::all().collect(),
        port: WORKER_PORT,
        heartbeat_interval: Duration::from_secs_f64(args.report_s),
        task_run_time: Duration::from_secs_f64(args.task_s),
    };
    let cloud = web::Data::new(cloud::SimulatedCloud::new(args.machines, args.cpus, worker));
    let app = move || App::new().app_data(cloud.clone()).configure(cloud::routes);
    let server = HttpServer::new(app).workers(1).bind(cloud_address())?;
    actix_web::rt::spawn(server.run());
    Ok(())
}

/// Starts the controllers. Their settings files are written to a temporary directory.
fn start_controllers(args: &Args) -> std::io::Result<Vec<ControllerProcess>> {
    let directory = std::env::temp_dir().join(format!("hollowswitch-load-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let start = |controller: ControllerId| {
        let file = directory.join(format!("{}.toml", controller.name()));
        std::fs::write(&file, settings::settings_file(controller, args))?;
        ControllerProcess::start(&controller.name(), &args.program, &file)
    };
    ControllerId::all().map(start).collect()
}

/// Starts the users in the background. They submit jobs until the driver ends.
fn start_users(args: &Args) -> Rc<RefCell<users::RequestCounts>> {
    let workload = users::Workload {
        controllers: ControllerId::all().map(ControllerId::api_address).collect(),
        services: args.services,
        arrays_per_s: args.arrays_per_s,
        tasks_per_array: args.tasks,
        cpus_per_task: TASK_CPUS,
    };
    let counts = Rc::new(RefCell::new(users::RequestCounts::default()));
    actix_web::rt::spawn(users::run(workload, counts.clone()));
    counts
}

/// Measures the resource usage of the controllers for some time and prints it.
async fn measure(controllers: &[ControllerProcess], seconds: f64) {
    println!("measuring");
    let before: Vec<Usage> = controllers.iter().map(ControllerProcess::usage).collect();
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
    for (controller, before) in controllers.iter().zip(before) {
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

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    serve_store()?;
    serve_cloud(&args)?;
    let controllers = start_controllers(&args)?;
    for controller in &controllers {
        println!("{} has process id {}", controller.name, controller.pid());
    }
    tokio::time::sleep(ELECTION_TIME).await;
    let counts = start_users(&args);
    tokio::time::sleep(Duration::from_secs_f64(args.warmup_s)).await;
    measure(&controllers, args.measured_s).await;
    let counts = counts.borrow();
    println!(
        "jobs accepted {}, done {}, failed requests {}",
        counts.accepted, counts.done, counts.failed
    );
    Ok(())
}
