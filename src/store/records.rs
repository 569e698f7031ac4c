//! The records that the keys hold. The names of their fields are stored: a renamed field needs `#[serde(rename)]`.

use super::{Revision, TASKS_PER_CHUNK};
use crate::protocol::JobSpec;
use ciborium::Value;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::fmt;

/// An unfinished job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LiveRecord {
    /// The job.
    pub spec: JobSpec,
    /// Time of day of the submission, in milliseconds since 1970.
    pub at_ms: u64,
}

/// The final state of a job. It never changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Whether its user cancelled it; otherwise all of its tasks are done.
    pub cancelled: bool,
    /// Its number of tasks.
    pub tasks: u32,
}

/// A process of a controller: the one that leads, attached to its leader lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the controller.
    pub node: String,
    /// Its incarnation: another random number after every start of the process.
    pub incarnation: u64,
}

impl LeaderRecord {
    /// Whether this was an earlier process of the same controller: one that has ended, since `current` runs. It is told apart
    /// by its incarnation, so that its key and its leader lease are never taken for those of the current process.
    #[must_use]
    pub fn ended_before(&self, current: &LeaderRecord) -> bool {
        self.node == current.node && self.incarnation != current.incarnation
    }
}

/// The number of an epoch, which is the time for which one controller leads. It grows by one with every change of the leader.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(u64);

impl Epoch {
    /// Before the first epoch: no leader was ever elected.
    pub const ZERO: Epoch = Epoch(0);

    /// The epoch with this number.
    #[must_use]
    pub const fn new(number: u64) -> Epoch {
        Epoch(number)
    }

    /// Its number.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// The epoch that follows.
    #[must_use]
    pub const fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The current epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Its number.
    pub number: Epoch,
    /// Who leads it.
    pub leader: LeaderRecord,
    /// Its members: the leader alone.
    pub members: Vec<LeaderRecord>,
    /// Whether its leader keeps the start log. Versions before it did not, and the next leader has to wait until all leases
    /// of workers have expired.
    #[serde(default)]
    pub logs_starts: bool,
}

/// A rental request, written before the cloud is called, and the machines that it brought.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentalRecord {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether spot instances were asked for.
    pub spot: bool,
    /// How many machines were asked for.
    pub count: u32,
    /// Names of the machines; `None` while the cloud's answer is unknown.
    pub machines: Option<Vec<String>>,
}

/// A record and the version of its key.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The record.
    pub record: T,
    /// Version of its key.
    pub version: Revision,
}

/// Reads a record; `None` if the value does not hold one of this type.
pub(super) fn read_record<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}

/// Bits as hexadecimal text, the first byte first: the store takes nothing binary.
#[must_use]
pub fn bits_to_text(bits: &[u8]) -> String {
    let digits = bits.iter().flat_map(|byte| [byte >> 4, byte & 15]);
    let mut text = String::with_capacity(bits.len() * 2);
    text.extend(digits.filter_map(|digit| char::from_digit(u32::from(digit), 16)));
    text
}

/// Reads the text of [`bits_to_text`]; `None` if it is none, or longer than a chunk.
pub(super) fn text_to_bits(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text.chars().map(hexadecimal_digit).collect();
    let digits = digits?;
    let fits = digits.len() % 2 == 0 && digits.len() <= TASKS_PER_CHUNK as usize / 4;
    fits.then(|| {
        digits
            .chunks_exact(2)
            .map(|pair| pair[0] << 4 | pair[1])
            .collect()
    })
}

fn hexadecimal_digit(character: char) -> Option<u8> {
    let digit = character.to_digit(16)?;
    u8::try_from(digit).ok()
}
