//! The calls of the cloud.

use super::decoding::num;
use serde::{Deserialize, Serialize};

/// A machine type as the cloud offers it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs.
    #[serde(rename = "cores", deserialize_with = "num")]
    pub cpus: f64,
    /// Accelerators.
    #[serde(rename = "cards", deserialize_with = "num")]
    pub gpus: f64,
    /// Memory.
    #[serde(rename = "memGb", deserialize_with = "num")]
    pub memory_gb: f64,
    /// Room for images.
    #[serde(rename = "cacheGb", deserialize_with = "num")]
    pub cache_gb: f64,
    /// Nominal fetch rate.
    #[serde(rename = "fetchGbPerS", deserialize_with = "num")]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(deserialize_with = "num")]
    pub price: f64,
    /// Spot price an hour.
    #[serde(rename = "lowPrice", deserialize_with = "num")]
    pub spot_price: f64,
    /// Usual boot time.
    #[serde(rename = "startupS", deserialize_with = "num")]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// The catalogue of machine types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// The types.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// A request for machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentRequest {
    /// Unique request name.
    #[serde(rename = "hire")]
    pub request: String,
    /// Machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Names of machines, rented or to be released.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name.
    pub id: String,
    /// Address of its worker.
    pub address: String,
    /// Type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    #[serde(rename = "standing")]
    pub state: String,
    /// Age since the request.
    #[serde(rename = "ageS", deserialize_with = "num")]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines by name.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(rename = "hasNext")]
    pub more: bool,
}
