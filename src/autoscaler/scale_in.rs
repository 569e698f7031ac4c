//! Scale-in: selection of the machines to release, and of surplus machines to drain because the others suffice.
//!
//! All amounts of CPUs are in thousandths.

use super::headroom::{cpu_milli_in, CpuMilliByZone, DemandHistory};
use super::scale_out::hourly_price;
use super::ScalingPolicy;
use crate::scheduler::{
    Machine, MachineIndex, MachineState, Offer, Scheduler, Utilization, ZoneIndex,
};
use crate::time::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// A machine is surplus only if it has at least this many CPUs for each CPU that services use on it, since their replicas have
/// to be moved before the machine can be released.
const SURPLUS_CPUS_PER_SERVICE_CPU: u64 = 4;

/// Marks machines that have been silent for too long for release.
pub fn release_silent_machines(scheduler: &mut Scheduler, policy: &ScalingPolicy) {
    let silent = scheduler.unresponsive_machines(policy.silence_limit, policy.zone_silence_limit);
    for machine in silent {
        scheduler.set_machine_state(machine, MachineState::Releasing, "silent");
    }
}

/// Capacity of the machines that accept tasks, and the demand that it has to cover.
pub(super) struct SpareCapacity {
    /// CPUs of all machines.
    cpu_milli: u64,
    /// Recent peak of total demand, with headroom.
    peak: u64,
    /// CPUs of on-demand machines.
    on_demand_cpu_milli: CpuMilliByZone,
    /// Recent peaks of placed services, with headroom.
    zone_peaks: CpuMilliByZone,
    /// Free CPUs of on-demand machines.
    on_demand_free: CpuMilliByZone,
    /// Free CPUs to keep for forecast replicas.
    reserves: CpuMilliByZone,
}

impl SpareCapacity {
    /// Computes the capacity from the utilization, and the demand from the history.
    pub(super) fn new(
        utilization: &[Utilization],
        history: &DemandHistory,
        horizon: Duration,
    ) -> SpareCapacity {
        let (mut on_demand_cpu_milli, mut on_demand_free) =
            (CpuMilliByZone::new(), CpuMilliByZone::new());
        for machine in utilization.iter().filter(|machine| !machine.offer.spot) {
            let zone = machine.offer.zone;
            *on_demand_free.entry(zone).or_default() += machine.cpu_milli - machine.used_cpu_milli;
            *on_demand_cpu_milli.entry(zone).or_default() += machine.cpu_milli;
        }
        SpareCapacity {
            cpu_milli: utilization.iter().map(|machine| machine.cpu_milli).sum(),
            peak: history.peak(),
            on_demand_cpu_milli,
            zone_peaks: history.zone_peaks(),
            on_demand_free,
            reserves: history.reserves(horizon),
        }
    }

    /// Returns the machine with the most expensive unused capacity, among the machines that have been known for longer than
    /// `window`, on which services use few CPUs, and that can be spared.
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
            .filter(|m| m.service_cpu_milli * SURPLUS_CPUS_PER_SERVICE_CPU <= m.cpu_milli)
            .filter(|machine| self.can_spare(machine))
            .max_by(|a, b| idle_price(a).total_cmp(&idle_price(b)))
            .map(|machine| machine.machine)
    }

    /// Reports whether the other machines cover the peak of demand. If the machine is an on-demand machine, the other on-demand
    /// machines of its zone must also cover the peak of services there, and the reserve of the zone must remain free.
    fn can_spare(&self, machine: &Utilization) -> bool {
        let Offer { zone, spot, .. } = machine.offer;
        if self.cpu_milli - machine.cpu_milli < self.peak {
            return false;
        }
        if spot {
            return true;
        }
        let others_in_zone = cpu_milli_in(&self.on_demand_cpu_milli, zone) - machine.cpu_milli;
        let kept_free = cpu_milli_in(&self.reserves, zone) + machine.cpu_milli;
        others_in_zone >= cpu_milli_in(&self.zone_peaks, zone)
            && cpu_milli_in(&self.on_demand_free, zone) >= kept_free
    }
}

/// Returns the hourly price of the unused share of a machine.
fn idle_price(scheduler: &Scheduler, machine: &Utilization) -> f64 {
    let machine_type = scheduler.machine_type(machine.offer.machine_type);
    let used = machine.used_cpu_milli as f64 / machine.cpu_milli.max(1) as f64;
    hourly_price(machine_type, machine.offer.spot) * (1.0 - used)
}

/// An offer to avoid for a time, because its machines may not come up: the boot of one has timed out, and no machine of the
/// offer that was rented at the same time or later has come up, see [`Scheduler::abandon_boot`].
pub(super) struct OfferToAvoid {
    pub(super) offer: Offer,
    /// Time for which to avoid the offer.
    pub(super) avoid_for: Duration,
}

/// Marks machines that are drained, idle or have not come up for release. Returns the offers to avoid.
pub(super) fn release_unneeded(
    scheduler: &mut Scheduler,
    reserves: &CpuMilliByZone,
    idle_limit: Duration,
    now: Timestamp,
) -> Vec<OfferToAvoid> {
    let mut free = FreeCapacity::new(scheduler, reserves);
    let (mut unneeded, mut not_booted) = (Vec::new(), Vec::new());
    for (index, machine) in scheduler.machines() {
        if machine.state() == MachineState::Waiting && scheduler.boot_timed_out(machine) {
            not_booted.push(index);
        } else if let Some(reason) = release_reason(index, machine, &mut free, idle_limit, now) {
            unneeded.push((index, reason));
        }
    }
    for (index, reason) in unneeded {
        scheduler.set_machine_state(index, MachineState::Releasing, reason);
    }
    let abandoned = not_booted
        .into_iter()
        .filter_map(|index| scheduler.abandon_boot(index));
    abandoned
        .map(|(offer, avoid_for)| OfferToAvoid { offer, avoid_for })
        .collect()
}

/// Returns the reason for which a machine that is up or draining is released, or `None` if it is kept.
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
        // On-demand machines that forecast replicas need are kept.
        MachineState::Up if idle && free.remove_if_spare(index, machine.zone()) => Some("idle"),
        _ => None,
    }
}

/// Free CPUs of the on-demand machines, except for those that are released in this decision.
struct FreeCapacity<'a> {
    reserves: &'a CpuMilliByZone,
    free: CpuMilliByZone,
    /// CPUs of each machine that accepts tasks.
    machine_cpu_milli: HashMap<MachineIndex, u64>,
}

impl<'a> FreeCapacity<'a> {
    fn new(scheduler: &Scheduler, reserves: &'a CpuMilliByZone) -> FreeCapacity<'a> {
        let (mut free, mut machine_cpu_milli) = (CpuMilliByZone::new(), HashMap::new());
        for machine in scheduler.utilization() {
            machine_cpu_milli.insert(machine.machine, machine.cpu_milli);
            if !machine.offer.spot {
                *free.entry(machine.offer.zone).or_default() +=
                    machine.cpu_milli - machine.used_cpu_milli;
            }
        }
        FreeCapacity {
            reserves,
            free,
            machine_cpu_milli,
        }
    }

    /// Removes an idle machine from the free capacity if the rest covers the reserve of its zone. Returns whether it did so.
    fn remove_if_spare(&mut self, machine: MachineIndex, zone: ZoneIndex) -> bool {
        let own = self.machine_cpu_milli.get(&machine).copied().unwrap_or(0);
        let free = self.free.entry(zone).or_default();
        let is_spare = *free >= cpu_milli_in(self.reserves, zone) + own;
        if is_spare {
            *free -= own;
        }
        is_spare
    }
}
