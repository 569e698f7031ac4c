//! Command-line program that reads the settings and runs a controller until the process ends.

use clap::Parser;
use hollowswitch::{config::Settings, service};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::Level;

/// A cluster scheduler that rents machines by the second and runs every task on at most one machine at a time.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The platform's settings file.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings file.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Check the settings and exit
    #[arg(long)]
    check: bool,
}

/// Exit status when the settings cannot be read or are invalid.
const INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args = Args::parse();
    init_logging();
    let settings = match Settings::load(&args.config, args.operator.as_deref()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("hollowswitch: {error}");
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    if args.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    match service::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hollowswitch: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Sets up logging to standard error. The environment variable `LOG_LEVEL` sets the level; the default is `error`.
fn init_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => Level::DEBUG,
        Ok("info") => Level::INFO,
        _ => Level::ERROR,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .without_time()
        .with_ansi(false)
        .with_target(false)
        .init();
}
