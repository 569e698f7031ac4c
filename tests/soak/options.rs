//! Options of a run, from environment variables where given.

use crate::harness::store::Limits;
use crate::run::LOWERED_LIMITS;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

/// Options of a run.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Fixes the schedule of the troubles.
    pub(crate) seed: u64,
    /// Number of machines that the cloud can rent out.
    pub(crate) workers: usize,
    /// Number of digits in the names of machines.
    pub(crate) machine_name_digits: usize,
    /// Number of machine types that are too expensive to be rented, besides the usual ones.
    pub(crate) other_machine_types: usize,
    /// Limits of the state service after it has lowered them.
    pub(crate) lowered_limits: Limits,
    /// For how long there are troubles.
    pub(crate) troubles: Duration,
    /// The program of the controllers.
    pub(crate) program: PathBuf,
}

impl Options {
    /// Returns the options for a seed.
    pub(crate) fn for_seed(seed: u64) -> Options {
        let program = std::env::var("SOAK_PROGRAM");
        Options {
            seed,
            workers: variable("SOAK_WORKERS").unwrap_or(24),
            machine_name_digits: 6,
            other_machine_types: 0,
            lowered_limits: LOWERED_LIMITS,
            troubles: Duration::from_secs(variable("SOAK_TROUBLES_S").unwrap_or(15)),
            program: program
                .unwrap_or_else(|_| env!("CARGO_BIN_EXE_hollowswitch").to_string())
                .into(),
        }
    }

    /// Returns the command that plays this run again.
    pub(crate) fn command(&self) -> String {
        format!(
            "SOAK_FROM={} SOAK_SEEDS=1 SOAK_WORKERS={} SOAK_TROUBLES_S={} \
             cargo test --release --test soak -- --ignored --nocapture many_seeds",
            self.seed,
            self.workers,
            self.troubles.as_secs()
        )
    }
}

/// Returns the value of an environment variable, if it is set and valid.
pub(crate) fn variable<T: FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}
