//! Errors of loading the settings. Each names the file and, if possible, the field.

use std::path::{Path, PathBuf};
use thiserror::Error;

/// The reason why the settings cannot be loaded.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// A file cannot be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A file is not valid TOML, or its fields do not match the expected ones.
    #[error("{}: {}", file.display(), source.to_string().trim())]
    Parse {
        /// The file.
        file: PathBuf,
        /// The error of the parser, with the line and the field.
        source: Box<toml::de::Error>,
    },
    /// A field has an invalid value.
    #[error("{}: {source}", file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The field and the problem with its value.
        source: InvalidValue,
    },
}

/// A field with an invalid value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("`{field}` {problem}")]
pub struct InvalidValue {
    /// Path of the field in its file.
    pub field: &'static str,
    /// Problem with the value.
    pub problem: Problem,
}

impl InvalidValue {
    /// Adds the path of the file that contains the field.
    pub(super) fn in_file(self, file: &Path) -> ConfigError {
        ConfigError::Invalid {
            file: file.to_owned(),
            source: self,
        }
    }
}

/// The problem with a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum Problem {
    /// A value in the platform's file is 0 or less, or not finite.
    #[error("must be a number above 0")]
    NotPositive,
    /// The limit on the changes of a transaction is below the number that the leader needs.
    #[error("must be at least {0}")]
    TooFewChanges(usize),
    /// The lease of workers does not exceed their heartbeat interval, so that it would expire between two heartbeats.
    #[error("must exceed report_s")]
    LeaseTooShort,
    /// The cancellation time does not exceed the lease of workers. A worker may keep a task running until its lease expires, and
    /// the task must be gone by the end of the cancellation time.
    #[error("must exceed lease_s")]
    CancellationTooShort,
    /// A guarantee or a limit of a team is negative or not finite.
    #[error("has a negative or non-finite amount")]
    InvalidQuota,
    /// The guarantee of a team exceeds its limit.
    #[error("guarantees more than its limit")]
    GuaranteeAboveLimit,
    /// The list of peers contains this controller.
    #[error("contains this node")]
    ContainsThisController,
    /// The value is below 1 or not finite.
    #[error("must be at least 1")]
    BelowOne,
    /// A value in the operators' file is 0 or less, or not finite.
    #[error("must be above 0")]
    NotAboveZero,
    /// The value is negative or not finite.
    #[error("must be 0 or more")]
    Negative,
    /// The leader lease is too short to be renewed in time, or so long that a failover would take minutes.
    #[error("must be from 0.5 to 60")]
    LeaderLeaseOutOfRange,
}
