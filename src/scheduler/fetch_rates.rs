//! How fast machines fetch images, measured for each machine type.

use super::index::MachineTypeIndex;
use crate::time::whole_millis;
use std::collections::HashMap;
use std::time::Duration;

/// A fetch that takes no longer says nothing of the rate.
const MIN_MEASURED_FETCH: Duration = Duration::from_millis(500);
/// Weight of a new measurement in the running mean.
const MEASUREMENT_WEIGHT: f64 = 0.1;
/// The least fetch rate that is assumed, in GB per second.
const LEAST_GB_PER_S: f64 = 0.001;

/// Running means of the fetch rates by machine type.
#[derive(Debug)]
pub(super) struct FetchRates {
    gb_per_s: HashMap<MachineTypeIndex, f64>,
    /// The rate of a type that is not measured yet.
    assumed_gb_per_s: f64,
}

impl FetchRates {
    pub(super) fn new(assumed_gb_per_s: f64) -> Self {
        FetchRates {
            gb_per_s: HashMap::new(),
            assumed_gb_per_s,
        }
    }

    /// The fetch rate of machines of a type in GB per second.
    pub(super) fn gb_per_s(&self, machine_type: MachineTypeIndex) -> f64 {
        self.gb_per_s
            .get(&machine_type)
            .copied()
            .unwrap_or(self.assumed_gb_per_s)
            .max(LEAST_GB_PER_S)
    }

    /// A machine of a type has fetched an image of some size.
    pub(super) fn record(&mut self, machine_type: MachineTypeIndex, size_gb: f64, took: Duration) {
        if took <= MIN_MEASURED_FETCH || size_gb <= 0.0 {
            return;
        }
        let measured = size_gb / (whole_millis(took) as f64 / 1000.0);
        let rate = self
            .gb_per_s
            .entry(machine_type)
            .or_insert(self.assumed_gb_per_s);
        *rate += MEASUREMENT_WEIGHT * (measured - *rate);
    }
}
