//! Scale-out: rental requests for unmet demand and for the forecast headroom.

use super::headroom::{cpu_milli_in, CpuMilliByZone, MILLI_PER_CPU};
use super::offers::OfferBackoffs;
use crate::clients::cloud::MAX_RENT_COUNT;
use crate::protocol::MachineType;
use crate::resources::Resources;
use crate::scheduler::{MachineTypeIndex, Offer, Scheduler, UnmetDemand, Utilization, ZoneIndex};
use crate::time::Timestamp;

/// Maximum number of machines planned in one decision. Before more could be rented, the demand will have changed.
const MAX_PLANNED_MACHINES: usize = 100;
/// Weight of a task that a machine could run in addition to the demand, relative to a task of the demand. Tasks of other jobs
/// may use this capacity.
const UNUSED_TASK_WEIGHT: f64 = 0.5;

/// A request for machines of one offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RentalRequest {
    /// The offer to rent from.
    pub offer: Offer,
    /// Number of machines.
    pub count: u32,
}

/// A machine to be rented, and the capacity that the tasks planned for it leave free.
struct PlannedMachine {
    offer: Offer,
    free: Resources,
}

/// Returns the rental requests for unmet demand, most urgent first.
pub(super) fn requests_for_demand(
    scheduler: &Scheduler,
    demands: &[UnmetDemand],
    offers: &OfferBackoffs,
    now: Timestamp,
) -> Vec<RentalRequest> {
    // Machines that come up in an isolated zone cannot be reached, so they must not count as capacity for the demand.
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

/// Places tasks of a demand on machines that are already planned. Returns the number of tasks that are left.
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

/// Plans further machines until all unplaced tasks of a demand have room, no offer is left, or [`MAX_PLANNED_MACHINES`] is
/// reached.
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

/// Returns the available offer with the lowest price per weighted task (see [`weighted_tasks`]) for the unplaced tasks of a
/// demand.
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
        let weighted = weighted_tasks(fitting, unplaced);
        for offer in offers_of_type(scheduler, index, machine_type)
            .filter(|offer| demand.allows(offer) && available(offer))
        {
            let price = hourly_price(machine_type, offer.spot) / weighted;
            if best.is_none_or(|(lowest, _)| price < lowest) {
                best = Some((price, offer));
            }
        }
    }
    best.map(|(_, offer)| offer)
}

/// Returns the weighted number of tasks that a machine is rented for, if `fitting` tasks fit on it and `unplaced` tasks need
/// a machine. Capacity for tasks beyond `unplaced` counts with [`UNUSED_TASK_WEIGHT`].
fn weighted_tasks(fitting: u32, unplaced: u32) -> f64 {
    let needed = fitting.min(unplaced);
    f64::from(needed) + f64::from(fitting - needed) * UNUSED_TASK_WEIGHT
}

/// Returns the offers of a machine type, spot before on-demand machines in each zone.
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

/// Returns the hourly price of a machine.
pub(super) fn hourly_price(machine_type: &MachineType, spot: bool) -> f64 {
    if spot {
        machine_type.spot_price
    } else {
        machine_type.price
    }
}

/// Groups machines to be rented into requests of at most [`MAX_RENT_COUNT`] machines of one offer each.
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

/// Returns the rental requests for forecast replicas of services, in zones with less free capacity than the reserve.
pub(super) fn requests_for_headroom(
    scheduler: &Scheduler,
    reserves: &CpuMilliByZone,
    offers: &OfferBackoffs,
    now: Timestamp,
) -> Vec<RentalRequest> {
    let utilization = scheduler.utilization();
    let booting = scheduler.booting_cpu_milli();
    let unreachable = scheduler.unreachable_zones();
    let mut requests = Vec::new();
    for (&zone, reserve) in reserves {
        if unreachable.contains(&zone) {
            continue;
        }
        let expected = free_cpu_milli(&utilization, zone) + cpu_milli_in(&booting, zone);
        let shortfall = reserve.saturating_sub(expected);
        if shortfall > 0 {
            requests.extend(headroom_request(scheduler, zone, shortfall, offers, now));
        }
    }
    requests
}

/// Returns the free CPUs on the on-demand machines of a zone, in thousandths.
fn free_cpu_milli(utilization: &[Utilization], zone: ZoneIndex) -> u64 {
    utilization
        .iter()
        .filter(|machine| !machine.offer.spot && machine.offer.zone == zone)
        .map(|machine| machine.cpu_milli - machine.used_cpu_milli)
        .sum()
}

/// Returns a request for on-demand machines in a zone that together have at least `cpu_milli` thousandths of CPUs, limited to
/// [`MAX_RENT_COUNT`] machines. Selects the available machine type with the lowest price per CPU.
fn headroom_request(
    scheduler: &Scheduler,
    zone: ZoneIndex,
    cpu_milli: u64,
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
    let machines = (cpu_milli as f64 / (machine_type.cpus * MILLI_PER_CPU)).ceil();
    let count = super::floor_to_u64(machines.min(f64::from(MAX_RENT_COUNT)));
    Some(RentalRequest {
        offer: offer_of(index),
        count: u32::try_from(count).unwrap_or(MAX_RENT_COUNT),
    })
}
