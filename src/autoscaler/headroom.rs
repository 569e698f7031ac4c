//! Recent demand, and the head-room that it calls for: the peak that machines in use must cover, and the free capacity that
//! is kept in each zone for replicas to come.
//!
//! All CPUs here are counted in thousandths.

#[cfg(test)]
mod tests;

use crate::scheduler::{Scheduler, UnmetDemand, Utilization, ZoneIndex};
use crate::time::Timestamp;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Capacity kept in relation to the recent peak.
const HEADROOM: f64 = 1.1;
/// Time covered by one sample of demand. When a sample was kept for each decision, hundreds were read at every one.
const SAMPLE_LENGTH: Duration = Duration::from_secs(1);

/// What a whole CPU counts.
pub(super) const MILLI_PER_CPU: f64 = 1000.0;

/// CPUs by the index of their zone.
pub(super) type CpusByZone = HashMap<ZoneIndex, u64>;

/// The CPUs of a zone.
pub(super) fn cpus_in(cpus: &CpusByZone, zone: ZoneIndex) -> u64 {
    cpus.get(&zone).copied().unwrap_or(0)
}

/// Demand at a moment, or the largest of each amount within [`SAMPLE_LENGTH`].
#[derive(Debug)]
pub(super) struct DemandSample {
    at: Timestamp,
    /// What is in use, and unmet demand.
    total: u64,
    /// What the services of all unfinished jobs ask for.
    services: u64,
    /// What services hold in each zone.
    placed_services: CpusByZone,
}

impl DemandSample {
    /// The demand of now.
    pub(super) fn new(
        scheduler: &Scheduler,
        utilization: &[Utilization],
        demands: &[UnmetDemand],
        now: Timestamp,
    ) -> DemandSample {
        let used: u64 = utilization.iter().map(|machine| machine.used_cpus).sum();
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

    /// Raises each amount to that of a later sample.
    fn merge(&mut self, later: &DemandSample) {
        self.total = self.total.max(later.total);
        self.services = self.services.max(later.services);
        raise_to(&mut self.placed_services, &later.placed_services);
    }
}

/// Raises the amount of each zone to that of another map.
fn raise_to(cpus: &mut CpusByZone, other: &CpusByZone) {
    for (zone, other_cpus) in other {
        let largest = cpus.entry(*zone).or_default();
        *largest = (*largest).max(*other_cpus);
    }
}

fn with_headroom(cpus: u64) -> u64 {
    super::floor(cpus as f64 * HEADROOM)
}

/// Samples of recent demand, the oldest first.
#[derive(Debug, Default)]
pub(super) struct DemandHistory {
    samples: VecDeque<DemandSample>,
}

impl DemandHistory {
    /// Adds a sample, and forgets those from before the window.
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

    /// The CPUs that cover the largest recent demand, with head-room.
    pub(super) fn peak(&self) -> u64 {
        let peak = self.samples.iter().map(|sample| sample.total).max();
        with_headroom(peak.unwrap_or(0))
    }

    /// The CPUs that cover the most that services have recently held in each zone, with head-room.
    pub(super) fn zone_peaks(&self) -> CpusByZone {
        let mut peaks = self.largest_placed_services();
        for cpus in peaks.values_mut() {
            *cpus = with_headroom(*cpus);
        }
        peaks
    }

    /// How many CPUs of ordinary machines should be free in each zone for replicas to come: the largest recent rise within
    /// the horizon, divided as recent replicas are.
    ///
    /// What counts is what jobs ask for, not what machines report: after a failover, or when a zone was reachable again, the
    /// replicas that reappeared were once taken for new ones, and capacity for as many more was rented.
    pub(super) fn reserves(&self, horizon: Duration) -> CpusByZone {
        let rise = self.largest_service_rise(horizon);
        let mut shares = self.largest_placed_services();
        let sum = shares.values().sum::<u64>().max(1);
        for cpus in shares.values_mut() {
            let share = u128::from(rise) * u128::from(*cpus) / u128::from(sum);
            *cpus = u64::try_from(share).unwrap_or(u64::MAX);
        }
        shares
    }

    /// The largest rise of the services' demand within a time: the largest difference of a sample to the lowest one of the
    /// time before it.
    fn largest_service_rise(&self, horizon: Duration) -> u64 {
        let mut largest = 0;
        // Candidates for the lowest sample of the horizon: each is older and lower than the next.
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
            let lowest = minima.front().map_or(sample.services, |(_, low)| *low);
            largest = largest.max(sample.services - lowest);
        }
        largest
    }

    /// The most that services have recently held in each zone, so that a zone that is isolated keeps its share.
    fn largest_placed_services(&self) -> CpusByZone {
        let mut largest = CpusByZone::new();
        for sample in &self.samples {
            raise_to(&mut largest, &sample.placed_services);
        }
        largest
    }
}
