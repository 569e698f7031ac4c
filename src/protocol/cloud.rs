//! The cloud: the catalogue of machine types, rentals, releases and the list of machines.

use super::decoding::finite_number;
use serde::{Deserialize, Serialize};

/// A machine type as the cloud offers it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Unique name.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs of a machine.
    #[serde(rename = "cores", deserialize_with = "finite_number")]
    pub cpus: f64,
    /// Accelerators of a machine.
    #[serde(rename = "cards", deserialize_with = "finite_number")]
    pub gpus: f64,
    /// Memory of a machine, in GB.
    #[serde(rename = "memGb", deserialize_with = "finite_number")]
    pub memory_gb: f64,
    /// Capacity of the image cache, in GB.
    #[serde(rename = "cacheGb", deserialize_with = "finite_number")]
    pub cache_gb: f64,
    /// Nominal rate at which images are fetched.
    #[serde(rename = "fetchGbPerS", deserialize_with = "finite_number")]
    pub fetch_gb_per_s: f64,
    /// Price per hour of an ordinary machine.
    #[serde(deserialize_with = "finite_number")]
    pub price: f64,
    /// Current price per hour of a spot machine.
    #[serde(rename = "lowPrice", deserialize_with = "finite_number")]
    pub spot_price: f64,
    /// Usual boot time, in seconds.
    #[serde(rename = "startupS", deserialize_with = "finite_number")]
    pub boot_s: f64,
    /// Zones that offer this type.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// The catalogue of machine types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// All machine types on offer.
    #[serde(rename = "breeds")]
    pub machine_types: Vec<MachineType>,
}

/// A request to rent machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentRequest {
    /// Name of the request. The cloud answers a repeated name with the machines of the first one, so that it must never be
    /// used for another request.
    #[serde(rename = "hire")]
    pub name: String,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are wanted.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines; the cloud may rent fewer.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Names of machines: those that were rented, or those to be released.
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
    /// Address at which its worker takes direct commands.
    pub address: String,
    /// Name of its machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    #[serde(rename = "standing")]
    pub state: String,
    /// Time since the rental request, in seconds, at the moment that the list describes.
    #[serde(rename = "ageS", deserialize_with = "finite_number")]
    pub age_s: f64,
}

/// A page of the cloud's list of machines. The list lags behind, and may be older than the one before it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines, ordered by name.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(rename = "hasNext")]
    pub has_more: bool,
}
