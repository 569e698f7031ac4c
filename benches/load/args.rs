//! Command-line options.

use clap::Parser;
use std::path::PathBuf;

/// Measures the resource usage of controllers under a simulated load.
#[derive(Parser)]
pub(crate) struct Args {
    /// Number of machines that the cloud can rent out.
    #[arg(long, default_value_t = 370)]
    pub machines: usize,
    /// Interval between two heartbeats of a worker, in seconds.
    #[arg(long, default_value_t = 1.5)]
    pub report_s: f64,
    /// Number of CPUs per machine.
    #[arg(long, default_value_t = 16.0)]
    pub cpus: f64,
    /// Number of services submitted at the start, with four replicas each.
    #[arg(long, default_value_t = 60)]
    pub services: usize,
    /// Number of job arrays submitted per second.
    #[arg(long, default_value_t = 0.25)]
    pub arrays_per_s: f64,
    /// Number of tasks per job array.
    #[arg(long, default_value_t = 60)]
    pub tasks: u32,
    /// Run time of a task, in seconds.
    #[arg(long, default_value_t = 60.0)]
    pub task_s: f64,
    /// Warm-up time before the measurement, in seconds. The machines are rented and send their first heartbeats in it.
    #[arg(long, default_value_t = 40.0)]
    pub warmup_s: f64,
    /// Duration of the measurement, in seconds.
    #[arg(long, default_value_t = 30.0)]
    pub measured_s: f64,
    /// How often all controllers are killed after the measurement, and started again 4 s later.
    #[arg(long, default_value_t = 0)]
    pub kills: u32,
    /// Time after each restart before the next kill or the end, in seconds.
    #[arg(long, default_value_t = 60.0)]
    pub recovery_s: f64,
    /// Maximum number of connections of a controller. The default suffices for twice the number of workers.
    #[arg(long)]
    pub max_connections: Option<usize>,
    /// Directory for the logs of the controllers, at level info. Without one, errors go to standard error.
    #[arg(long)]
    pub logs: Option<PathBuf>,
    /// Path of the controller program to measure.
    #[arg(long, default_value = env!("CARGO_BIN_EXE_hollowswitch"))]
    pub program: PathBuf,
    /// Passed by `cargo bench`. Has no effect.
    #[arg(long)]
    bench: bool,
}
