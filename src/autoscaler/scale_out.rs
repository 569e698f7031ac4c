//! Scale out: what to rent for unmet demand and for the forecast head-room.

use super::headroom::{cpus_in, CpusByZone, MILLI_PER_CPU};
use super::offers::OfferBackoffs;
use crate::clients::cloud::MAX_RENT_COUNT;
use crate::protocol::MachineType;
use crate::resources::Resources;
use crate::scheduler::{MachineTypeIndex, Offer, Scheduler, UnmetDemand, Utilization, ZoneIndex};
use crate::time::Timestamp;

/// Most machines that are planned in one decision: by the time so many are rented, the demand has changed.
const MAX_PLANNED_MACHINES: usize = 100;
/// Tasks that a machine could run beyond the demand count this much: others may use their place.
const UNUSED_WORTH: f64 = 0.5;

/// Machines to be rented.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RentalRequest {
    /// Which machines.
    pub offer: Offer,
    /// How many.
    pub count: u32,
}

/// A machine that is to be rented, and its free capacity beside the tasks planned for it.
struct PlannedMachine {
    offer: Offer,
    free: Resources,
}

/// What to rent for unmet demand, the most urgent first.
pub(super) fn requests_for_demand(
    scheduler: &Scheduler,
    demands: &[UnmetDemand],
    offers: &OfferBackoffs,
    now: Timestamp,
) -> Vec<RentalRequest> {
    // Machines that come up in a zone that is isolated are out of reach, and were once counted on all the same.
    let unreachable = scheduler.unreachable_zones();
    let available =
        |offer: &Offer| !unreachable.contains(&offer.zone) && offers.is_available(*offer, now);
    let mut planned = Vec::new();
    for demand in demands {
        let unplaced = place_on_planned(demand, &mut planned);
        plan_machines(scheduler, demand, unplaced, &available, &mut planned);
    }
    group_requests(planned.iter().map(|machine| machine.offer))
}

/// Places tasks of a demand on machines that are planned already; returns how many are left.
fn place_on_planned(demand: &UnmetDemand, planned: &mut [PlannedMachine]) -> u32 {
    let mut unplaced = demand.tasks;
    for machine in planned
        .iter_mut()
        .filter(|machine| demand.allows(&machine.offer))
    {
        let tasks = demand.count_fitting(machine.free).min(unplaced);
        machine.free = demand.free_after(machine.free, tasks);
        unplaced -= tasks;
    }
    unplaced
}

/// Plans machines until they have room for a number of tasks, no offer is left, or too many are planned.
fn plan_machines(
    scheduler: &Scheduler,
    demand: &UnmetDemand,
    mut unplaced: u32,
    available: &impl Fn(&Offer) -> bool,
    planned: &mut Vec<PlannedMachine>,
) {
    while unplaced > 0 && planned.len() < MAX_PLANNED_MACHINES {
        let Some(offer) = best_offer(scheduler, demand, unplaced, available) else {
            break;
        };
        let capacity = scheduler.capacity_of_type(offer.machine_type);
        let tasks = demand.count_fitting(capacity).min(unplaced);
        planned.push(PlannedMachine {
            offer,
            free: demand.free_after(capacity, tasks),
        });
        unplaced -= tasks;
    }
}

/// The available offer with the lowest price per useful task for a number of tasks of a demand.
fn best_offer(
    scheduler: &Scheduler,
    demand: &UnmetDemand,
    unplaced: u32,
    available: &impl Fn(&Offer) -> bool,
) -> Option<Offer> {
    let mut best: Option<(f64, Offer)> = None;
    for (index, machine_type) in scheduler.machine_types() {
        let fitting = demand.count_fitting(scheduler.capacity_of_type(index));
        if fitting == 0 {
            continue;
        }
        let useful = useful_tasks(fitting, unplaced);
        for offer in offers_of_type(scheduler, index, machine_type)
            .filter(|offer| demand.allows(offer) && available(offer))
        {
            let price = hourly_price(machine_type, offer.spot) / useful;
            if best.is_none_or(|(lowest, _)| price < lowest) {
                best = Some((price, offer));
            }
        }
    }
    best.map(|(_, offer)| offer)
}

/// The worth of a machine in tasks, of which `fitting` have room there and `unplaced` are wanted.
fn useful_tasks(fitting: u32, unplaced: u32) -> f64 {
    let used = fitting.min(unplaced);
    f64::from(used) + f64::from(fitting - used) * UNUSED_WORTH
}

/// The offers of a machine type, spot before ordinary machines in each zone.
fn offers_of_type<'a>(
    scheduler: &'a Scheduler,
    index: MachineTypeIndex,
    machine_type: &'a MachineType,
) -> impl Iterator<Item = Offer> + 'a {
    let zones = machine_type.zones.iter();
    zones
        .filter_map(|zone| scheduler.zone_index(zone))
        .flat_map(move |zone| {
            [true, false].map(|spot| Offer {
                machine_type: index,
                zone,
                spot,
            })
        })
}

/// The price of a machine for an hour.
pub(super) fn hourly_price(machine_type: &MachineType, spot: bool) -> f64 {
    if spot {
        machine_type.spot_price
    } else {
        machine_type.price
    }
}

/// Machines to be rented as requests, each as large as the cloud accepts.
fn group_requests(offers: impl Iterator<Item = Offer>) -> Vec<RentalRequest> {
    let mut requests: Vec<RentalRequest> = Vec::new();
    for offer in offers {
        match requests
            .iter_mut()
            .find(|request| request.offer == offer && request.count < MAX_RENT_COUNT)
        {
            Some(request) => request.count += 1,
            None => requests.push(RentalRequest { offer, count: 1 }),
        }
    }
    requests
}

/// What to rent ahead of replicas to come, in zones where too little is free for them.
pub(super) fn requests_for_headroom(
    scheduler: &Scheduler,
    reserves: &CpusByZone,
    offers: &OfferBackoffs,
    now: Timestamp,
) -> Vec<RentalRequest> {
    let utilization = scheduler.utilization();
    let coming_up = scheduler.booting_cpus();
    let unreachable = scheduler.unreachable_zones();
    let mut requests = Vec::new();
    for (&zone, reserve) in reserves {
        if unreachable.contains(&zone) {
            continue;
        }
        let expected = free_cpus(&utilization, zone) + cpus_in(&coming_up, zone);
        let shortfall = reserve.saturating_sub(expected);
        if shortfall > 0 {
            requests.extend(headroom_request(scheduler, zone, shortfall, offers, now));
        }
    }
    requests
}

/// What is free on the ordinary machines of a zone.
fn free_cpus(utilization: &[Utilization], zone: ZoneIndex) -> u64 {
    utilization
        .iter()
        .filter(|machine| !machine.offer.spot && machine.offer.zone == zone)
        .map(|machine| machine.cpus - machine.used_cpus)
        .sum()
}

/// A request for ordinary machines of a zone with a number of CPUs, of the type with the lowest price for each.
fn headroom_request(
    scheduler: &Scheduler,
    zone: ZoneIndex,
    cpus: u64,
    offers: &OfferBackoffs,
    now: Timestamp,
) -> Option<RentalRequest> {
    let offer_of = |machine_type| Offer {
        machine_type,
        zone,
        spot: false,
    };
    let in_zone = |machine_type: &MachineType| {
        let mut zones = machine_type.zones.iter();
        zones.any(|name| scheduler.zone_index(name) == Some(zone))
    };
    let cpu_price = |machine_type: &MachineType| machine_type.price / machine_type.cpus;
    let (index, machine_type) = scheduler
        .machine_types()
        .filter(|(index, machine_type)| {
            in_zone(machine_type) && offers.is_available(offer_of(*index), now)
        })
        .min_by(|(_, a), (_, b)| cpu_price(a).total_cmp(&cpu_price(b)))?;
    let machines = (cpus as f64 / (machine_type.cpus * MILLI_PER_CPU)).ceil();
    let count = super::floor(machines.min(f64::from(MAX_RENT_COUNT)));
    Some(RentalRequest {
        offer: offer_of(index),
        count: u32::try_from(count).unwrap_or(MAX_RENT_COUNT),
    })
}
