//! Settings: the platform's file, in which unknown fields are ignored, and the operators' own file, in which they are
//! refused.
//!
//! Both files are read once, at the start of the program; a change needs a restart. `platform` and `operator` describe the
//! two files and keep the names that their fields have there, `validation` checks the values, `error` says what is wrong.

mod error;
mod operator;
mod platform;
#[cfg(test)]
pub(crate) mod tests;
mod validation;

pub use error::{ConfigError, InvalidValue, Problem};
pub use operator::OperatorSettings;
pub use platform::{
    CloudLimits, Deployment, ExternalServices, MachineLimits, Objective, Peer, PlatformSettings,
    StateLimits, Team, WorkerTimings,
};

use crate::time::duration;
use serde::de::DeserializeOwned;
use std::path::Path;
use std::time::Duration;

/// The clocks of two machines may drift apart by up to 0.05%: a worker's lease, timed by both, may last this much longer.
const CLOCK_DRIFT_FACTOR: f64 = 1.001;
/// Part of the margin of [`Settings::grace_period`] that does not depend on the settings, in seconds.
const STOP_MARGIN_S: f64 = 1.5;

/// All settings of a controller.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The platform's settings.
    pub platform: PlatformSettings,
    /// The operators' settings.
    pub operator: OperatorSettings,
}

impl Settings {
    /// Reads and validates both files. Without an operators' file, all of its settings have their defaults.
    ///
    /// # Errors
    ///
    /// A file cannot be read or parsed, or a value is invalid; the error names the file and the field.
    pub fn load(platform: &Path, operator: Option<&Path>) -> Result<Settings, ConfigError> {
        let settings = Settings {
            platform: read(platform)?,
            operator: match operator {
                Some(path) => read(path)?,
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

    /// The grace period: how long a leader may go on renewing the leases of workers after its authority to start tasks has
    /// ended. It is short enough that the tasks of a job that another controller has cancelled meanwhile are gone within
    /// `cancel_s`. The authority to start tasks ends within a leader lease of the sending of the last read whose revision the
    /// replica of the store has reached, so that a cancellation that the leader does not know of was confirmed after that;
    /// from then on a leader lease, this period and the lease of a worker pass at most.
    #[must_use]
    pub fn grace_period(&self) -> Duration {
        let workers = &self.platform.deployment.workers;
        // The leader lease itself and, for stops that are sent late, the time of two heartbeats and their responses.
        let margin = self.operator.leader_lease_s + STOP_MARGIN_S + 2.0 * workers.report_s;
        duration(workers.cancel_s - workers.lease_s * CLOCK_DRIFT_FACTOR - margin)
    }
}

/// Reads a settings file.
fn read<T: DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
        file: path.to_owned(),
        source,
    })?;
    toml::from_str(&text).map_err(|source| ConfigError::Parse {
        file: path.to_owned(),
        source: Box::new(source),
    })
}
