//! The recent demand, and the headroom derived from it: the peak that the machines must cover, and the free capacity that is
//! reserved in each zone for forecast replicas of services.
//!
//! All amounts of CPUs are in thousandths.

#[cfg(test)]
mod tests;

use crate::scheduler::{Scheduler, UnmetDemand, Utilization, ZoneIndex};
use crate::time::Timestamp;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Capacity to keep, as a multiple of the recent peak of demand.
const HEADROOM_FACTOR: f64 = 1.1;
/// Time covered by one sample of demand. With a sample for each decision, every decision would have to read hundreds of them.
const SAMPLE_LENGTH: Duration = Duration::from_secs(1);

/// Number of thousandths in a CPU.
pub(super) const MILLI_PER_CPU: f64 = 1000.0;

/// Thousandths of CPUs by zone.
pub(super) type CpuMilliByZone = HashMap<ZoneIndex, u64>;

/// Returns the CPUs of a zone, 0 if the map does not contain it.
pub(super) fn cpu_milli_in(cpu_milli: &CpuMilliByZone, zone: ZoneIndex) -> u64 {
    cpu_milli.get(&zone).copied().unwrap_or(0)
}

/// The demand at one time, or the maximum of each amount within [`SAMPLE_LENGTH`].
#[derive(Debug)]
pub(super) struct DemandSample {
    at: Timestamp,
    /// CPUs in use, and those that unmet demand needs.
    total: u64,
    /// CPUs that the services of all unfinished jobs request.
    services: u64,
    /// CPUs that replicas of services occupy in each zone.
    placed_services: CpuMilliByZone,
}

impl DemandSample {
    /// Returns the current demand.
    pub(super) fn new(
        scheduler: &Scheduler,
        utilization: &[Utilization],
        demands: &[UnmetDemand],
        now: Timestamp,
    ) -> DemandSample {
        let used: u64 = utilization
            .iter()
            .map(|machine| machine.used_cpu_milli)
            .sum();
        let unmet: u64 = demands
            .iter()
            .map(|demand| demand.task_resources.cpu_milli * u64::from(demand.tasks))
            .sum();
        let (services, placed_services) = scheduler.service_demand();
        DemandSample {
            at: now,
            total: used + unmet,
            services,
            placed_services,
        }
    }

    /// Merges a later sample into this one, which keeps the maximum of each amount.
    fn merge(&mut self, later: &DemandSample) {
        self.total = self.total.max(later.total);
        self.services = self.services.max(later.services);
        merge_max(&mut self.placed_services, &later.placed_services);
    }
}

/// Merges another map into `cpu_milli`, which keeps the maximum for each zone.
fn merge_max(cpu_milli: &mut CpuMilliByZone, other: &CpuMilliByZone) {
    for (zone, other_cpu_milli) in other {
        let maximum = cpu_milli.entry(*zone).or_default();
        *maximum = (*maximum).max(*other_cpu_milli);
    }
}

/// Adds the headroom of [`HEADROOM_FACTOR`].
fn with_headroom(cpu_milli: u64) -> u64 {
    super::floor_to_u64(cpu_milli as f64 * HEADROOM_FACTOR)
}

/// Samples of recent demand, oldest first.
#[derive(Debug, Default)]
pub(super) struct DemandHistory {
    samples: VecDeque<DemandSample>,
}

impl DemandHistory {
    /// Adds a sample, and drops samples that are older than the window.
    pub(super) fn record(&mut self, sample: DemandSample, window: Duration) {
        let now = sample.at;
        let last = self.samples.back_mut();
        match last.filter(|last| now < last.at + SAMPLE_LENGTH) {
            Some(last) => last.merge(&sample),
            None => self.samples.push_back(sample),
        }
        let expired = |first: &DemandSample| now > first.at + window;
        while self.samples.front().is_some_and(expired) {
            self.samples.pop_front();
        }
    }

    /// Returns the CPUs that cover the recent peak of total demand, with headroom.
    pub(super) fn peak(&self) -> u64 {
        let peak = self.samples.iter().map(|sample| sample.total).max();
        with_headroom(peak.unwrap_or(0))
    }

    /// Returns the CPUs that cover the recent peak of placed services in each zone, with headroom.
    pub(super) fn zone_peaks(&self) -> CpuMilliByZone {
        let mut peaks = self.largest_placed_services();
        for cpu_milli in peaks.values_mut() {
            *cpu_milli = with_headroom(*cpu_milli);
        }
        peaks
    }

    /// Returns the CPUs of on-demand machines to keep free in each zone for forecast replicas: the largest recent rise of the
    /// services' demand within the horizon, divided among the zones in proportion to the recent peaks of placed services.
    ///
    /// The rise is computed from the requests of jobs and not from the tasks that machines report. Otherwise the replicas that
    /// reappear after a failover, or when a zone becomes reachable again, would count as new ones, and capacity for as many
    /// more would be rented.
    pub(super) fn reserves(&self, horizon: Duration) -> CpuMilliByZone {
        let rise = self.largest_service_rise(horizon);
        let mut shares = self.largest_placed_services();
        let sum = shares.values().sum::<u64>().max(1);
        for cpu_milli in shares.values_mut() {
            let share = u128::from(rise) * u128::from(*cpu_milli) / u128::from(sum);
            *cpu_milli = u64::try_from(share).unwrap_or(u64::MAX);
        }
        shares
    }

    /// Returns the largest rise of the services' demand within the horizon: the maximum, over all samples, of the difference
    /// between a sample and the lowest sample of the horizon before it.
    fn largest_service_rise(&self, horizon: Duration) -> u64 {
        let mut largest_rise = 0;
        // Sliding-window minimum: candidates for the lowest sample of the horizon, each older and lower than the next.
        let mut minima: VecDeque<(Timestamp, u64)> = VecDeque::new();
        for sample in &self.samples {
            while minima
                .back()
                .is_some_and(|(_, services)| *services >= sample.services)
            {
                minima.pop_back();
            }
            minima.push_back((sample.at, sample.services));
            while minima
                .front()
                .is_some_and(|(at, _)| *at + horizon < sample.at)
            {
                minima.pop_front();
            }
            let lowest = minima
                .front()
                .map_or(sample.services, |(_, services)| *services);
            largest_rise = largest_rise.max(sample.services - lowest);
        }
        largest_rise
    }

    /// Returns the recent peak of placed services in each zone. Peaks are used so that an isolated zone keeps its share.
    fn largest_placed_services(&self) -> CpuMilliByZone {
        let mut largest = CpuMilliByZone::new();
        for sample in &self.samples {
            merge_max(&mut largest, &sample.placed_services);
        }
        largest
    }
}
