//! Records stored as the values of keys. Field names are part of the stored format: a renamed field needs `#[serde(rename)]`.

use super::{json_bytes, Revision, TASKS_PER_CHUNK};
use crate::protocol::JobSpec;
use ciborium::Value;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::fmt;

/// Bytes of the quotes around a text in the form of JSON.
const QUOTES_BYTES: usize = 2;
/// Hexadecimal digits of a byte.
const HEX_DIGITS_PER_BYTE: usize = 2;
/// Bytes of the separator between two elements of a list in the form of JSON.
const LIST_SEPARATOR_BYTES: usize = 1;

/// A submitted job, while it is unfinished or being stopped.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// Specification of the job.
    pub spec: JobSpec,
    /// Time of the submission, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

impl JobRecord {
    /// Returns the record as it is stored while the job is being stopped, in at most `max_bytes` if possible.
    ///
    /// If the whole record is larger, it is stored without what only the placement of tasks needs: the machine types, which may be
    /// many, and if that does not suffice also the names of zone, class and image. Without that, a job that was accepted under
    /// a higher limit could not be cancelled any more.
    #[must_use]
    pub fn for_stopping(&self, max_bytes: usize) -> JobRecord {
        let mut record = self.clone();
        if json_bytes(&record) > max_bytes {
            record.spec.machine_types = None;
        }
        if json_bytes(&record) > max_bytes {
            record.spec.zone = None;
            record.spec.class.clear();
            record.spec.image.clear();
        }
        record
    }
}

/// The final state of a job, which never changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Whether the job was cancelled by its user. Otherwise all of its tasks are done.
    pub cancelled: bool,
    /// Number of tasks of the job.
    pub tasks: u32,
}

/// A controller process that leads or campaigns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the controller.
    pub node: String,
    /// Incarnation: a random number that the process draws when it starts.
    pub incarnation: u64,
}

impl LeaderRecord {
    /// Reports whether this record belongs to an earlier process of the controller that now runs as `current`. That process
    /// has ended. Comparing incarnations prevents the current process from mistaking the key and the leader lease of its
    /// predecessor for its own.
    #[must_use]
    pub fn is_previous_incarnation_of(&self, current: &LeaderRecord) -> bool {
        self.node == current.node && self.incarnation != current.incarnation
    }
}

/// The number of an epoch, the period in which one controller process leads. It increases by one with every successful claim of
/// leadership.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(u64);

impl Epoch {
    /// The number before the first epoch, when no leader has been elected yet.
    pub const ZERO: Epoch = Epoch(0);

    /// Returns the epoch with this number.
    #[must_use]
    pub const fn new(number: u64) -> Epoch {
        Epoch(number)
    }

    /// Returns the number of the epoch.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Returns the next epoch.
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

/// The current epoch, or the last one while nobody leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Number of the epoch.
    pub number: Epoch,
    /// The process that leads in this epoch.
    pub leader: LeaderRecord,
    /// Members of the epoch. The leader is the only one.
    pub members: Vec<LeaderRecord>,
    /// Whether the leader writes a start log. Leaders of older versions do not; their successor has to wait until all worker
    /// leases have expired.
    #[serde(default)]
    pub logs_starts: bool,
}

/// A rental request, which is written before the cloud is called, and the machines that were rented with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentalRecord {
    /// Name of the machine type.
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether spot machines were requested.
    pub spot: bool,
    /// Number of machines requested.
    pub count: u32,
    /// Names of the machines, or `None` while the outcome of the request is unknown.
    pub machines: Option<Vec<String>>,
}

impl RentalRecord {
    /// Divides the machines of an answered request among as few records as necessary for each to take at most `max_bytes`. A
    /// record with a single machine may be larger.
    #[must_use]
    pub fn divide(&self, max_bytes: usize) -> Vec<RentalRecord> {
        let Some(machines) = &self.machines else {
            return vec![self.clone()];
        };
        let part_of = |machines: Vec<String>| RentalRecord {
            machines: Some(machines),
            ..self.clone()
        };
        let empty_bytes = json_bytes(&part_of(Vec::new()));
        let (mut parts, mut part, mut bytes) = (Vec::new(), Vec::new(), empty_bytes);
        for machine in machines {
            let machine_bytes = json_bytes(machine) + LIST_SEPARATOR_BYTES;
            if bytes + machine_bytes > max_bytes && !part.is_empty() {
                parts.push(part_of(std::mem::take(&mut part)));
                bytes = empty_bytes;
            }
            bytes += machine_bytes;
            part.push(machine.clone());
        }
        parts.push(part_of(part));
        parts
    }
}

/// A record with the version of its key.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The record.
    pub record: T,
    /// Version of the key.
    pub version: Revision,
}

/// Decodes a record. Returns `None` if the value is not a record of this type.
pub(super) fn decode_record<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}

/// Encodes a bitmap as hexadecimal text, first byte first, because the store accepts no binary values.
#[must_use]
pub fn bitmap_to_hex(bitmap: &[u8]) -> String {
    let digits = bitmap.iter().flat_map(|byte| [byte >> 4, byte & 15]);
    let mut text = String::with_capacity(bitmap.len() * 2);
    text.extend(digits.filter_map(|digit| char::from_digit(u32::from(digit), 16)));
    text
}

/// Returns the size of the largest bitmap whose text takes at most `max_value_bytes` as a value.
#[must_use]
pub fn max_bitmap_bytes(max_value_bytes: usize) -> usize {
    max_value_bytes.saturating_sub(QUOTES_BYTES) / HEX_DIGITS_PER_BYTE
}

/// Decodes the text of [`bitmap_to_hex`]. Returns `None` if it is malformed or longer than a chunk.
pub(super) fn hex_to_bitmap(text: &str) -> Option<Vec<u8>> {
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
