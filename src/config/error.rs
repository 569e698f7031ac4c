//! Errors of the settings. Each names the file and the field.

use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why the settings cannot be used.
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
    /// A file is not TOML, or its fields are not the expected ones.
    #[error("{}: {}", file.display(), source.to_string().trim())]
    Parse {
        /// The file.
        file: PathBuf,
        /// The line and the field, as the parser names them.
        source: Box<toml::de::Error>,
    },
    /// A value cannot be used.
    #[error("{}: {source}", file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The field, and what is wrong with it.
        source: InvalidValue,
    },
}

/// A field whose value cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("`{field}` {problem}")]
pub struct InvalidValue {
    /// Path of the field in its file.
    pub field: &'static str,
    /// What is wrong with its value.
    pub problem: Problem,
}

impl InvalidValue {
    /// The error with the file in which the field stands.
    pub(super) fn in_file(self, file: &Path) -> ConfigError {
        ConfigError::Invalid {
            file: file.to_owned(),
            source: self,
        }
    }
}

/// What is wrong with a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum Problem {
    /// It is 0 or less, or not finite.
    #[error("must be a number above 0")]
    NotPositive,
    /// Transactions of the leader need this many changes.
    #[error("must be at least 4")]
    TooFewChanges,
    /// A worker whose lease does not exceed its heartbeat interval loses the lease between two heartbeats.
    #[error("must exceed report_s")]
    LeaseTooShort,
    /// A task that its worker keeps until its lease expires has to be gone when a cancellation takes effect.
    #[error("must exceed lease_s")]
    CancellationTooShort,
    /// A guarantee or a limit is negative or not finite.
    #[error("has a negative or non-finite amount")]
    InvalidQuota,
    /// A team is guaranteed more than it may use.
    #[error("guarantees more than its limit")]
    GuaranteeAboveLimit,
    /// This controller is listed as its own peer.
    #[error("contains this node")]
    ContainsThisController,
    /// It is below 1 or not finite.
    #[error("must be at least 1")]
    BelowOne,
    /// It is 0 or less, or not finite.
    #[error("must be above 0")]
    NotAboveZero,
    /// It is negative or not finite.
    #[error("must be 0 or more")]
    Negative,
    /// A leader lease is too short to be renewed in time, or so long that a failover takes minutes.
    #[error("must be from 0.5 to 60")]
    LeaderLeaseOutOfRange,
}
