//! Messages to and from the cloud, which rents out machines: machine types, rental requests, releases and the list of rented
//! machines.

use super::decoding::finite_number;
use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name, unique among the machine types.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs of a machine.
    #[serde(rename = "cores", deserialize_with = "finite_number")]
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(rename = "cards", deserialize_with = "finite_number")]
    pub gpus: f64,
    /// Memory of a machine, in GB.
    #[serde(rename = "memGb", deserialize_with = "finite_number")]
    pub memory_gb: f64,
    /// Capacity of the image cache, in GB.
    #[serde(rename = "cacheGb", deserialize_with = "finite_number")]
    pub cache_gb: f64,
    /// Nominal rate at which a machine fetches images, in GB per second.
    #[serde(rename = "fetchGbPerS", deserialize_with = "finite_number")]
    pub fetch_gb_per_s: f64,
    /// Price per hour of an on-demand machine, which is one that is not a spot machine.
    #[serde(deserialize_with = "finite_number")]
    pub price: f64,
    /// Current price per hour of a spot machine.
    #[serde(rename = "lowPrice", deserialize_with = "finite_number")]
    pub spot_price: f64,
    /// Typical boot time, in seconds.
    #[serde(rename = "startupS", deserialize_with = "finite_number")]
    pub boot_s: f64,
    /// Zones in which this type is available.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// The catalogue of machine types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// All machine types that the cloud offers.
    #[serde(rename = "breeds")]
    pub machine_types: Vec<MachineType>,
}

/// A request to rent machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentRequest {
    /// Name of the request, which makes it idempotent: the cloud answers a repeated name with the machines of the first request.
    /// A name must therefore never be reused for a different request.
    #[serde(rename = "hire")]
    pub name: String,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone in which the machines are to be rented.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether to rent spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines; the cloud may rent fewer.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Names of machines: the rented ones in the response to a rental request, or the ones to release in a release request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    pub id: String,
    /// Address at which the machine's worker accepts direct commands.
    pub address: String,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// State of the machine: `starting`, `running` or `failed`.
    #[serde(rename = "standing")]
    pub state: String,
    /// Age in seconds: the time from the rental request to the moment that the list describes.
    #[serde(rename = "ageS", deserialize_with = "finite_number")]
    pub age_s: f64,
}

/// A page of the cloud's list of machines. The list lags behind the actual state, and a list that is read later may describe
/// an earlier moment.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines on this page, ordered by name.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether more pages follow.
    #[serde(rename = "hasNext")]
    pub has_more: bool,
}
