//! The program: reads its settings and runs a controller.

use clap::Parser;
use hollowswitch::{config::Settings, service};
use std::path::PathBuf;
use std::process::ExitCode;

/// A cluster scheduler that rents machines by the second and keeps every task in at most one place.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The platform's settings file.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings file.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("info") => tracing::Level::INFO,
        _ => tracing::Level::ERROR,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .without_time()
        .with_ansi(false)
        .with_target(false)
        .init();
    let settings = match Settings::load(&args.config, args.operator.as_deref()) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("hollowswitch: {e}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    match service::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("hollowswitch: {e}");
            ExitCode::FAILURE
        }
    }
}
