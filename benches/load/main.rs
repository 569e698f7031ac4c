//! A load driver: controllers as processes, with stand-ins for the state service, the cloud, workers and users on loopback.
//!
//! `cargo bench --bench load -- --machines 1000 --report-s 4` prints, for each controller, its processor time, memory and
//! waits in the measured time. `perf record -p PID` can be attached to the process ids that it prints.
#![allow(
    clippy::cast_possible_truncation,
    clippy::needless_for_each,
    clippy::too_many_lines,
    reason = "this program has yet to be cleaned"
)]

mod cloud;
mod http;
mod process;
mod store;
mod users;
mod worker;

use actix_web::{web, App, HttpServer};
use clap::Parser;
use process::{Controller, Usage};
use std::cell::RefCell;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Port of the first controller's users' address; the others follow.
const FIRST_PORT: u16 = 18_080;
/// Port of the state service.
const STATE_PORT: u16 = 18_070;
/// Port of the cloud.
const CLOUD_PORT: u16 = 18_071;
/// Port of the workers, each on an address of its own.
const WORKER_PORT: u16 = 18_072;
/// Number of controllers.
const CONTROLLERS: usize = 3;

/// The load.
#[derive(Parser)]
struct Args {
    /// Machines that the cloud rents out.
    #[arg(long, default_value_t = 370)]
    machines: usize,
    /// Time between reports in seconds.
    #[arg(long, default_value_t = 1.5)]
    report_s: f64,
    /// CPUs of a machine.
    #[arg(long, default_value_t = 16.0)]
    cpus: f64,
    /// Services at the start, of four replicas each.
    #[arg(long, default_value_t = 60)]
    services: usize,
    /// Arrays a second.
    #[arg(long, default_value_t = 0.25)]
    arrays_per_s: f64,
    /// Tasks of an array.
    #[arg(long, default_value_t = 60)]
    tasks: u32,
    /// Run time of an array's task in seconds.
    #[arg(long, default_value_t = 60.0)]
    task_s: f64,
    /// Time before the measurement, in seconds: the fleet is rented and heard.
    #[arg(long, default_value_t = 40.0)]
    warmup_s: f64,
    /// Measured time in seconds.
    #[arg(long, default_value_t = 30.0)]
    measured_s: f64,
    /// The program to be measured.
    #[arg(long, default_value = env!("CARGO_BIN_EXE_hollowswitch"))]
    program: String,
    /// Given by `cargo bench`; without effect.
    #[arg(long)]
    bench: bool,
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn api_address(index: usize) -> SocketAddr {
    local(FIRST_PORT + 2 * index as u16)
}

fn internal_address(index: usize) -> SocketAddr {
    local(FIRST_PORT + 2 * index as u16 + 1)
}

fn name(index: usize) -> String {
    format!("node-{index}")
}

/// The platform's settings file of a controller.
fn settings(index: usize, args: &Args) -> String {
    let (api, internal) = (api_address(index), internal_address(index));
    let mut text = format!(
        "node = \"{}\"\nzone = \"{}\"\napi_addr = \"{api}\"\ninternal_addr = \"{internal}\"\n",
        name(index),
        cloud::ZONE
    );
    for peer in (0..CONTROLLERS).filter(|peer| *peer != index) {
        let address = internal_address(peer);
        let _ = write!(
            text,
            "[[peers]]\nnode = \"{}\"\npeer_addr = \"{address}\"\n",
            name(peer)
        );
    }
    let (state, cloud) = (local(STATE_PORT), local(CLOUD_PORT));
    let _ = write!(
        text,
        "[external]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n"
    );
    let most = args.machines as f64 * args.cpus * 2.0;
    let _ = write!(
        text,
        "[[deployment.teams]]\nname = \"team\"\ncpus = {most:.1}\ncpus_max = {most:.1}\n"
    );
    let _ = write!(
        text,
        "[deployment.workers]\nreport_s = {:.2}\nlease_s = 22.0\ncancel_s = 42.0\n",
        args.report_s
    );
    text.push_str(
        "[deployment.state]\nrps = 200.0\nwrite_rps = 40.0\nvalue_kb = 32.0\ntxn_ops = 16\n",
    );
    text.push_str("[deployment.cloud]\nrps = 10.0\nlist_lag_s = 10.0\n");
    let _ = write!(
        text,
        "[deployment.machine_limits]\nmax_connections = {}\n",
        2 * args.machines + 200
    );
    text
}

fn start_controllers(args: &Args) -> std::io::Result<Vec<Controller>> {
    let folder = std::env::temp_dir().join(format!("hollowswitch-load-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let start = |index: usize| {
        let file = folder.join(format!("{}.toml", name(index)));
        std::fs::write(&file, settings(index, args))?;
        Controller::start(&name(index), &args.program, &file)
    };
    (0..CONTROLLERS).map(start).collect()
}

fn serve_stand_ins(args: &Args) -> std::io::Result<()> {
    let store = web::Data::new(store::Store::default());
    let server =
        HttpServer::new(move || App::new().app_data(store.clone()).configure(store::routes))
            .workers(1);
    actix_web::rt::spawn(server.bind(local(STATE_PORT))?.run());
    let worker = worker::Settings {
        controllers: (0..CONTROLLERS)
            .map(|index| (name(index), api_address(index)))
            .collect(),
        port: WORKER_PORT,
        report: Duration::from_secs_f64(args.report_s),
        task: Duration::from_secs_f64(args.task_s),
        cpus: args.cpus,
    };
    let cloud = web::Data::new(cloud::Cloud::new(args.machines, worker));
    let server =
        HttpServer::new(move || App::new().app_data(cloud.clone()).configure(cloud::routes))
            .workers(1);
    actix_web::rt::spawn(server.bind(local(CLOUD_PORT))?.run());
    Ok(())
}

fn print_usage(controller: &Controller, before: Usage, after: Usage, seconds: f64) {
    println!(
        "{:8} pid {:6}  processor {:6.1} ms/s  memory {:6.1} MB, peak {:6.1} MB  waits {:6.0}/s",
        controller.name,
        controller.pid(),
        (after.cpu_ms - before.cpu_ms) / seconds,
        after.resident_kb as f64 / 1024.0,
        after.peak_kb as f64 / 1024.0,
        (after.waits - before.waits) as f64 / seconds,
    );
}

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    serve_stand_ins(&args)?;
    let controllers = start_controllers(&args)?;
    for controller in &controllers {
        println!("{} has process id {}", controller.name, controller.pid());
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let load = users::Load {
        controllers: (0..CONTROLLERS).map(api_address).collect(),
        services: args.services,
        arrays_per_s: args.arrays_per_s,
        tasks: args.tasks,
        cpus: 2.0,
    };
    let counts = Rc::new(RefCell::new(users::Counts::default()));
    actix_web::rt::spawn(users::run(load, counts.clone()));
    tokio::time::sleep(Duration::from_secs_f64(args.warmup_s)).await;
    println!("measuring");
    let before: Vec<Usage> = controllers.iter().map(Controller::usage).collect();
    tokio::time::sleep(Duration::from_secs_f64(args.measured_s)).await;
    for (controller, before) in controllers.iter().zip(before) {
        print_usage(controller, before, controller.usage(), args.measured_s);
    }
    let counts = counts.borrow();
    println!(
        "jobs accepted {}, done {}, failed requests {}",
        counts.accepted, counts.done, counts.failed
    );
    Ok(())
}
