//! The command line.

use clap::Parser;

/// The load.
#[derive(Parser)]
pub(crate) struct Args {
    /// Machines that the cloud rents out.
    #[arg(long, default_value_t = 370)]
    pub machines: usize,
    /// Time between reports in seconds.
    #[arg(long, default_value_t = 1.5)]
    pub report_s: f64,
    /// CPUs of a machine.
    #[arg(long, default_value_t = 16.0)]
    pub cpus: f64,
    /// Services at the start, of four replicas each.
    #[arg(long, default_value_t = 60)]
    pub services: usize,
    /// Arrays a second.
    #[arg(long, default_value_t = 0.25)]
    pub arrays_per_s: f64,
    /// Tasks of an array.
    #[arg(long, default_value_t = 60)]
    pub tasks: u32,
    /// Run time of an array's task in seconds.
    #[arg(long, default_value_t = 60.0)]
    pub task_s: f64,
    /// Time before the measurement, in seconds: the fleet is rented and heard.
    #[arg(long, default_value_t = 40.0)]
    pub warmup_s: f64,
    /// Measured time in seconds.
    #[arg(long, default_value_t = 30.0)]
    pub measured_s: f64,
    /// The program to be measured.
    #[arg(long, default_value = env!("CARGO_BIN_EXE_hollowswitch"))]
    pub program: String,
    /// Given by `cargo bench`; without effect.
    #[arg(long)]
    bench: bool,
}
