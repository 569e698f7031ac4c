//! Scale in: which machines are released, and which take no new tasks because the others are enough.
//!
//! All CPUs here are counted in thousandths.

use super::headroom::{cpus_in, CpusByZone, DemandHistory};
use super::scale_out::hourly_price;
use super::ScalingPolicy;
use crate::scheduler::{
    Machine, MachineIndex, MachineState, Offer, Scheduler, Utilization, ZoneIndex,
};
use crate::time::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// A machine on which services use more than one CPU in so many is not surplus: their replicas would have to be moved.
const SURPLUS_CPUS_PER_SERVICE_CPU: u64 = 4;

/// Moves machines that have been silent for too long to their release.
pub fn release_silent_machines(scheduler: &mut Scheduler, policy: &ScalingPolicy) {
    let silent = scheduler.unresponsive_machines(policy.silence_limit, policy.zone_silence_limit);
    for machine in silent {
        scheduler.set_machine_state(machine, MachineState::Releasing, "silent");
    }
}

/// The capacity of the machines that take tasks, beside what they have to cover.
pub(super) struct SpareCapacity {
    /// All CPUs.
    cpus: u64,
    /// Recent peak of all demand.
    peak: u64,
    /// CPUs of ordinary machines.
    ordinary_cpus: CpusByZone,
    /// Recent peak of services.
    zone_peaks: CpusByZone,
    /// Free CPUs of ordinary machines.
    ordinary_free: CpusByZone,
    /// Free CPUs to be kept for replicas to come.
    reserves: CpusByZone,
}

impl SpareCapacity {
    pub(super) fn new(
        utilization: &[Utilization],
        history: &DemandHistory,
        horizon: Duration,
    ) -> SpareCapacity {
        let (mut ordinary_cpus, mut ordinary_free) = (CpusByZone::new(), CpusByZone::new());
        for machine in utilization.iter().filter(|machine| !machine.offer.spot) {
            let zone = machine.offer.zone;
            *ordinary_free.entry(zone).or_default() += machine.cpus - machine.used_cpus;
            *ordinary_cpus.entry(zone).or_default() += machine.cpus;
        }
        SpareCapacity {
            cpus: utilization.iter().map(|machine| machine.cpus).sum(),
            peak: history.peak(),
            ordinary_cpus,
            zone_peaks: history.zone_peaks(),
            ordinary_free,
            reserves: history.reserves(horizon),
        }
    }

    /// The machine that costs most for what it does, among those without which the others still cover everything.
    pub(super) fn surplus_machine(
        &self,
        scheduler: &Scheduler,
        utilization: &[Utilization],
        window: Duration,
        now: Timestamp,
    ) -> Option<MachineIndex> {
        let known_since = |machine: &Utilization| Timestamp::from_millis(machine.known_since_ms);
        let idle_price = |machine: &Utilization| idle_price(scheduler, machine);
        utilization
            .iter()
            .filter(|machine| now > known_since(machine) + window)
            .filter(|machine| machine.service_cpus * SURPLUS_CPUS_PER_SERVICE_CPU <= machine.cpus)
            .filter(|machine| self.is_enough_without(machine))
            .max_by(|a, b| idle_price(a).total_cmp(&idle_price(b)))
            .map(|machine| machine.machine)
    }

    /// Whether the other machines cover the peak and, if this one is an ordinary machine, what services need in its zone.
    fn is_enough_without(&self, machine: &Utilization) -> bool {
        let Offer { zone, spot, .. } = machine.offer;
        if self.cpus - machine.cpus < self.peak {
            return false;
        }
        if spot {
            return true;
        }
        let others_in_zone = cpus_in(&self.ordinary_cpus, zone) - machine.cpus;
        let kept_free = cpus_in(&self.reserves, zone) + machine.cpus;
        others_in_zone >= cpus_in(&self.zone_peaks, zone)
            && cpus_in(&self.ordinary_free, zone) >= kept_free
    }
}

/// What is paid in an hour for the part of a machine that is not used.
fn idle_price(scheduler: &Scheduler, machine: &Utilization) -> f64 {
    let machine_type = scheduler.machine_type(machine.offer.machine_type);
    let used = machine.used_cpus as f64 / machine.cpus.max(1) as f64;
    hourly_price(machine_type, machine.offer.spot) * (1.0 - used)
}

/// An offer whose machines do not come up.
pub(super) struct DoubtfulOffer {
    pub(super) offer: Offer,
    /// For how long others should be asked for.
    pub(super) avoid_for: Duration,
}

/// Moves machines that are drained, idle or have not come up towards their release. Returns the offers in doubt.
pub(super) fn release_unneeded(
    scheduler: &mut Scheduler,
    reserves: &CpusByZone,
    idle_limit: Duration,
    now: Timestamp,
) -> Vec<DoubtfulOffer> {
    let mut free = FreeCapacity::new(scheduler, reserves);
    let (mut unneeded, mut overdue) = (Vec::new(), Vec::new());
    for (index, machine) in scheduler.machines() {
        if machine.state() == MachineState::Waiting && scheduler.boot_timed_out(machine) {
            overdue.push(index);
        } else if let Some(reason) = release_reason(index, machine, &mut free, idle_limit, now) {
            unneeded.push((index, reason));
        }
    }
    for (index, reason) in unneeded {
        scheduler.set_machine_state(index, MachineState::Releasing, reason);
    }
    let given_up = overdue
        .into_iter()
        .filter_map(|index| scheduler.abandon_boot(index));
    given_up
        .map(|(offer, avoid_for)| DoubtfulOffer { offer, avoid_for })
        .collect()
}

/// Why a machine that is up or draining is released, if it is.
fn release_reason(
    index: MachineIndex,
    machine: &Machine,
    free: &mut FreeCapacity<'_>,
    idle_limit: Duration,
    now: Timestamp,
) -> Option<&'static str> {
    let idle_since = machine.idle_since()?;
    let idle = now > idle_since + idle_limit;
    match machine.state() {
        MachineState::Draining => Some("drained"),
        MachineState::Up if idle && machine.is_spot() => Some("idle"),
        // What replicas to come will need stays.
        MachineState::Up if idle && free.take_if_spare(index, machine.zone()) => Some("idle"),
        _ => None,
    }
}

/// The free CPUs of ordinary machines, less those that are released in this decision.
struct FreeCapacity<'a> {
    reserves: &'a CpusByZone,
    free: CpusByZone,
    /// CPUs of each machine that takes tasks, by its index.
    machine_cpus: HashMap<MachineIndex, u64>,
}

impl<'a> FreeCapacity<'a> {
    fn new(scheduler: &Scheduler, reserves: &'a CpusByZone) -> FreeCapacity<'a> {
        let (mut free, mut machine_cpus) = (CpusByZone::new(), HashMap::new());
        for machine in scheduler.utilization() {
            machine_cpus.insert(machine.machine, machine.cpus);
            if !machine.offer.spot {
                *free.entry(machine.offer.zone).or_default() += machine.cpus - machine.used_cpus;
            }
        }
        FreeCapacity {
            reserves,
            free,
            machine_cpus,
        }
    }

    /// Counts an idle machine as no longer there, if what is free without it covers the reserve of its zone.
    fn take_if_spare(&mut self, machine: MachineIndex, zone: ZoneIndex) -> bool {
        let own = self.machine_cpus.get(&machine).copied().unwrap_or(0);
        let free = self.free.entry(zone).or_default();
        let is_spare = *free >= cpus_in(self.reserves, zone) + own;
        if is_spare {
            *free -= own;
        }
        is_spare
    }
}
