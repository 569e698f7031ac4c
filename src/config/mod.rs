//! Settings, which are loaded from two TOML files: the platform's file, in which unknown fields are ignored, and the operators'
//! file, in which unknown fields are errors.
//!
//! Both files are read once, at the start of the program, so that a change takes effect after a restart. `platform` and
//! `operator` define the fields of the two files, `validation` checks their values, and `error` defines the errors.

mod error;
mod operator;
mod platform;
#[cfg(test)]
pub(crate) mod tests;
mod validation;

pub use error::{ConfigError, InvalidValue, Problem};
pub use operator::OperatorSettings;
pub use platform::{
    CloudLimits, Deployment, ExternalServices, MachineLimits, NextStateLimits, Objective, Peer,
    PlatformSettings, StateLimits, Team, WorkerTimings,
};

use crate::time::duration_from_secs;
use serde::de::DeserializeOwned;
use std::path::Path;
use std::time::Duration;

/// Assumed maximum factor by which clock drift extends a worker's lease, which is timed by the clocks of two machines. Clocks may
/// drift by up to 0.05%; the factor allows for twice as much.
const CLOCK_DRIFT_FACTOR: f64 = 1.001;
/// Constant part of the margin in [`Settings::grace_period`], in seconds.
const GRACE_PERIOD_MARGIN_S: f64 = 1.5;

/// All settings of a controller.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Settings from the platform's file.
    pub platform: PlatformSettings,
    /// Settings from the operators' file.
    pub operator: OperatorSettings,
}

impl Settings {
    /// Reads and validates both files. Without an operators' file, its settings have their default values.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and the field if a file cannot be read or parsed, or if a value is invalid.
    pub fn load(platform: &Path, operator: Option<&Path>) -> Result<Settings, ConfigError> {
        let settings = Settings {
            platform: read_settings_file(platform)?,
            operator: match operator {
                Some(path) => read_settings_file(path)?,
                None => OperatorSettings::default(),
            },
        };
        settings.validate(platform, operator.unwrap_or(platform))?;
        Ok(settings)
    }

    fn validate(&self, platform: &Path, operator: &Path) -> Result<(), ConfigError> {
        self.platform
            .validate()
            .map_err(|error| error.in_file(platform))?;
        self.operator
            .validate()
            .map_err(|error| error.in_file(operator))
    }

    /// Returns the grace period: the time for which a leader may go on renewing worker leases after its authority to start tasks
    /// has ended.
    ///
    /// It is short enough that the tasks of a job that another controller has cancelled in the meantime are gone within
    /// `cancel_s`. The authority to start tasks ends at most one leader lease after the leader sent the last read whose revision
    /// its replica has reached. A cancellation that the leader does not know of was confirmed after that read was sent. From
    /// then on, tasks of the job can run for at most a leader lease, the grace period and the lease of a worker.
    #[must_use]
    pub fn grace_period(&self) -> Duration {
        let workers = &self.platform.deployment.workers;
        // Covers the leader lease and, for stop commands that are sent late, two heartbeats and their replies.
        let margin = self.operator.leader_lease_s + GRACE_PERIOD_MARGIN_S + 2.0 * workers.report_s;
        duration_from_secs(workers.cancel_s - workers.lease_s * CLOCK_DRIFT_FACTOR - margin)
    }
}

/// Reads and parses a settings file.
fn read_settings_file<T: DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
        file: path.to_owned(),
        source,
    })?;
    toml::from_str(&text).map_err(|source| ConfigError::Parse {
        file: path.to_owned(),
        source: Box::new(source),
    })
}
