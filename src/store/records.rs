//! The records that the keys hold.

use super::{Revision, CHUNK};
use crate::protocol::JobSpec;
use crate::scheduler::Hardware;
use ciborium::Value;
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// An unfinished job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LiveRecord {
    /// The job.
    pub spec: JobSpec,
    /// Time of day of the submission, in milliseconds.
    pub at_ms: u64,
}

/// A finished job; final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverRecord {
    /// Whether its user cancelled it.
    pub cancelled: bool,
    /// Its number of tasks.
    pub tasks: u32,
}

/// The node that leads, attached to its leader lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Node.
    pub node: String,
    /// Its incarnation: another one after every start of the process.
    pub incarnation: u64,
}

impl LeaderRecord {
    /// Whether this was an earlier process of the same node: one that has ended, since this one runs. It is told apart by
    /// its incarnation, so that its key and leader lease are never taken for one's own.
    #[must_use]
    pub fn ended_before(&self, me: &LeaderRecord) -> bool {
        self.node == me.node && self.incarnation != me.incarnation
    }
}

/// The current epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Number; grows by one with every change.
    pub number: u64,
    /// Who leads it.
    pub leader: LeaderRecord,
    /// Its members, among which the machines are divided.
    pub members: Vec<LeaderRecord>,
    /// Whether its leader keeps the start log: versions before it did not, and their new leader has to outwait every lease.
    #[serde(default)]
    pub logs_starts: bool,
}

/// A rental request, written before the cloud is called, and the machines it brought.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentalRecord {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot machines.
    pub spot: bool,
    /// How many were asked for.
    pub count: u32,
    /// Machines; none while the answer is unknown.
    pub machines: Option<Vec<String>>,
}

impl RentalRecord {
    /// What its machines are.
    #[must_use]
    pub fn hardware(&self) -> Hardware<'_> {
        Hardware {
            machine_type: &self.machine_type,
            zone: &self.zone,
            spot: self.spot,
        }
    }
}

/// A versioned record.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The record.
    pub record: T,
    /// Version of its key.
    pub version: Revision,
}

pub(super) fn record<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}

/// Bits as text: the store takes nothing binary.
#[must_use]
pub fn bits_to_text(bits: &[u8]) -> String {
    bits.iter()
        .fold(String::with_capacity(bits.len() * 2), |mut s, b| {
            for n in [b >> 4, b & 15] {
                s.push(char::from_digit(u32::from(n), 16).unwrap_or('0'));
            }
            s
        })
}

pub(super) fn text_to_bits(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text
        .chars()
        .map(|c| c.to_digit(16).map(|d| d as u8))
        .collect();
    let digits = digits?;
    (digits.len() % 2 == 0 && digits.len() <= CHUNK as usize / 4)
        .then(|| digits.chunks(2).map(|p| p[0] << 4 | p[1]).collect())
}
