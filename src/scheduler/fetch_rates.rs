//! Measured rates at which machines fetch images, per machine type.

use super::index::MachineTypeIndex;
use crate::time::whole_millis;
use std::collections::HashMap;
use std::time::Duration;

/// Fetches that take no longer than this are ignored, since they say nothing about the rate.
const MIN_MEASURED_FETCH: Duration = Duration::from_millis(500);
/// Weight of a new measurement in the exponential moving average.
const MEASUREMENT_WEIGHT: f64 = 0.1;
/// Lower bound of the rates that are reported, in GB per second.
const MIN_GB_PER_S: f64 = 0.001;

/// Moving averages of the image fetch rates, per machine type.
#[derive(Debug)]
pub(super) struct FetchRates {
    gb_per_s: HashMap<MachineTypeIndex, f64>,
    /// Rate of a type that has not been measured yet, and the initial value of its average.
    assumed_gb_per_s: f64,
}

impl FetchRates {
    pub(super) fn new(assumed_gb_per_s: f64) -> Self {
        FetchRates {
            gb_per_s: HashMap::new(),
            assumed_gb_per_s,
        }
    }

    /// Returns the fetch rate of machines of a type in GB per second.
    pub(super) fn gb_per_s(&self, machine_type: MachineTypeIndex) -> f64 {
        self.gb_per_s
            .get(&machine_type)
            .copied()
            .unwrap_or(self.assumed_gb_per_s)
            .max(MIN_GB_PER_S)
    }

    /// Records how long a machine of a type took to fetch an image.
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
