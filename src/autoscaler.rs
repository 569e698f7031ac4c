//! Which machines to rent and to return. Pure: needs and machines in, wishes out.

#[cfg(test)]
mod tests;

use crate::clients::cloud::MAX_RENT_COUNT;
use crate::resources::Resources;
use crate::scheduler::{
    MachineIndex, MachineState, Offer, Scheduler, UnmetDemand, Utilization, ZoneIndex,
};
use std::collections::{HashMap, VecDeque};

/// Machines to be rented.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RentalRequest {
    /// What.
    pub offer: Offer,
    /// How many.
    pub count: u32,
}

#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: u64,
    step_ms: u64,
}

/// The fleet's memory.
#[derive(Default)]
pub struct Fleet {
    refused: HashMap<Offer, Backoff>,
    /// When each offer was last asked for.
    requested_at: HashMap<Offer, u64>,
    /// Demand of late.
    demand: VecDeque<Demand>,
}

/// Demand at a moment, or the most of it within `SAMPLE_MS`, in CPUs.
struct Demand {
    at: u64,
    /// Of everything.
    all: u64,
    /// Of the services of all unfinished jobs.
    services: u64,
    /// What services hold in each zone.
    placed: HashMap<ZoneIndex, u64>,
}

impl Demand {
    /// Makes this the most of itself and a later one.
    fn merge(&mut self, later: Demand) {
        self.all = self.all.max(later.all);
        self.services = self.services.max(later.services);
        for (zone, cpus) in later.placed {
            let most = self.placed.entry(zone).or_default();
            *most = cpus.max(*most);
        }
    }
}

/// Room kept above the peak of late.
const HEADROOM: f64 = 1.1;
/// Time covered by one sample of demand. Kept for each decision, hundreds were gone over at every one.
const SAMPLE_MS: u64 = 1000;
const FIRST_BACKOFF_MS: u64 = 8_000;
const LAST_BACKOFF_MS: u64 = 60_000;

/// Most machines that are planned at a time: by the time so many are rented, the demand is another one.
const PLANNED_LIMIT: usize = 100;

/// The available offer with the lowest price per useful CPU for `left` tasks of a demand. Room beyond the demand counts half,
/// since others may use it.
fn best_offer(
    scheduler: &Scheduler,
    demand: &UnmetDemand,
    left: u32,
    available: &impl Fn(&Offer) -> bool,
) -> Option<Offer> {
    let mut best: Option<(f64, Offer)> = None;
    for (index, machine_type) in scheduler.machine_types() {
        let n = demand.fitting(scheduler.capacity_of_type(index));
        if n == 0 {
            continue;
        }
        let useful = if left >= n {
            f64::from(n)
        } else {
            f64::from(left) + f64::from(n - left) / 2.0
        };
        for zone in machine_type
            .zones
            .iter()
            .filter_map(|z| scheduler.zone_index(z))
        {
            for spot in [true, false] {
                let offer = Offer {
                    machine_type: index,
                    zone,
                    spot,
                };
                if !demand.allows(&offer) || !available(&offer) {
                    continue;
                }
                let hourly = if spot {
                    machine_type.spot_price
                } else {
                    machine_type.price
                };
                let price = hourly / useful;
                if best.is_none_or(|(lowest, _)| price < lowest) {
                    best = Some((price, offer));
                }
            }
        }
    }
    best.map(|(_, offer)| offer)
}

/// Machines to be rented as requests, each as large as the cloud takes them.
fn group_requests(offers: impl Iterator<Item = Offer>) -> Vec<RentalRequest> {
    let mut requests: Vec<RentalRequest> = Vec::new();
    for offer in offers {
        match requests
            .iter_mut()
            .find(|r| r.offer == offer && r.count < MAX_RENT_COUNT)
        {
            Some(request) => request.count += 1,
            None => requests.push(RentalRequest { offer, count: 1 }),
        }
    }
    requests
}

impl Fleet {
    /// An offer was refused, or only partly filled.
    pub fn refused(&mut self, offer: Offer, now: u64) {
        let b = self.refused.entry(offer).or_insert(Backoff {
            until: 0,
            step_ms: FIRST_BACKOFF_MS / 2,
        });
        b.step_ms = (b.step_ms * 2).min(LAST_BACKOFF_MS);
        b.until = now + b.step_ms;
    }

    /// Machines of an offer do not come up: others are asked for a while.
    fn pause(&mut self, offer: Offer, for_ms: u64, now: u64) {
        let until = now + for_ms.min(LAST_BACKOFF_MS);
        let backoff = self.refused.entry(offer).or_insert(Backoff {
            until,
            step_ms: FIRST_BACKOFF_MS / 2,
        });
        backoff.until = backoff.until.max(until);
    }

    /// An offer was filled.
    pub fn filled(&mut self, offer: Offer) {
        self.refused.remove(&offer);
    }

    /// The wish to carry out next: the most urgent one whose offer was not asked for within the last `rest_ms`, or else the
    /// most urgent one.
    ///
    /// While urgent jobs stream in, each call for them alone would bring a few machines only and all other work would wait;
    /// after the rest, one call brings what has come together.
    pub fn next_request(
        &mut self,
        rental_requests: Vec<RentalRequest>,
        rest_ms: u64,
        now: u64,
    ) -> Option<RentalRequest> {
        let rests = |w: &RentalRequest| {
            self.requested_at
                .get(&w.offer)
                .is_some_and(|at| now < at + rest_ms)
        };
        let rested = rental_requests.iter().position(|w| !rests(w)).unwrap_or(0);
        let next = rental_requests.into_iter().nth(rested)?;
        self.requested_at.insert(next.offer, now);
        Some(next)
    }

    fn open(&self, offer: &Offer, now: u64) -> bool {
        self.refused.get(offer).is_none_or(|b| b.until <= now)
    }

    /// What to rent for this demand, the most urgent first.
    #[must_use]
    pub fn rental_requests(
        &self,
        scheduler: &Scheduler,
        demands: &[UnmetDemand],
        now: u64,
    ) -> Vec<RentalRequest> {
        // What would come up in a zone that is cut off is out of reach, and was once counted on all the same.
        let unreachable = scheduler.unreachable_zones();
        let available = |offer: &Offer| !unreachable.contains(&offer.zone) && self.open(offer, now);
        // Machines that are to be rented, and what is left of their room.
        let mut planned: Vec<(Offer, Resources)> = Vec::new();
        for demand in demands {
            let mut left = demand.tasks;
            for (_, room) in planned.iter_mut().filter(|(offer, _)| demand.allows(offer)) {
                let n = demand.fitting(*room).min(left);
                *room = demand.rest(*room, n);
                left -= n;
            }
            while left > 0 && planned.len() < PLANNED_LIMIT {
                let Some(offer) = best_offer(scheduler, demand, left, &available) else {
                    break;
                };
                let whole = scheduler.capacity_of_type(offer.machine_type);
                let n = demand.fitting(whole).min(left);
                planned.push((offer, demand.rest(whole, n)));
                left -= n;
            }
        }
        group_requests(planned.into_iter().map(|(offer, _)| offer))
    }

    /// How much of ordinary machines' CPUs should be free in each zone for replicas to come: the largest rise of late
    /// within the time that a machine takes to come up, divided as the replicas of late are.
    ///
    /// What counts is what jobs ask for, not what machines show: after a change of leader, or when a zone was back, the
    /// replicas that showed again were once taken for new ones, and room for as many more was rented.
    fn reserves(&self, rise_ms: u64) -> HashMap<ZoneIndex, u64> {
        let mut rise = 0;
        let mut lows: VecDeque<(u64, u64)> = VecDeque::new();
        let mut shares: HashMap<ZoneIndex, u64> = HashMap::new();
        for d in &self.demand {
            while lows.back().is_some_and(|(_, v)| *v >= d.services) {
                lows.pop_back();
            }
            lows.push_back((d.at, d.services));
            while lows.front().is_some_and(|(t, _)| t + rise_ms < d.at) {
                lows.pop_front();
            }
            rise = rise.max(d.services - lows.front().map_or(d.services, |(_, v)| *v));
            // The most of late, so that a zone that is cut off keeps its share.
            for (zone, n) in &d.placed {
                let most = shares.entry(*zone).or_default();
                *most = (*most).max(*n);
            }
        }
        let sum = shares.values().sum::<u64>().max(1);
        shares
            .values_mut()
            .for_each(|n| *n = (u128::from(rise) * u128::from(*n) / u128::from(sum)) as u64);
        shares
    }

    /// Rents ahead of the replicas to come, where too little is free for them.
    #[must_use]
    pub fn ahead(&self, scheduler: &Scheduler, rise_ms: u64, now: u64) -> Vec<RentalRequest> {
        let utilization = scheduler.utilization();
        let coming = scheduler.coming_up();
        let unreachable = scheduler.unreachable_zones();
        let mut out = Vec::new();
        for (zone, reserve) in self
            .reserves(rise_ms)
            .into_iter()
            .filter(|(z, _)| !unreachable.contains(z))
        {
            let free: u64 = utilization
                .iter()
                .filter(|l| !l.offer.spot && l.offer.zone == zone)
                .map(|l| l.cpus - l.used)
                .sum();
            let short = reserve.saturating_sub(free + coming.get(&zone).copied().unwrap_or(0));
            let offers = scheduler.machine_types().filter(|(index, machine_type)| {
                machine_type
                    .zones
                    .iter()
                    .any(|z| scheduler.zone_index(z) == Some(zone))
                    && self.open(
                        &Offer {
                            machine_type: *index,
                            zone,
                            spot: false,
                        },
                        now,
                    )
            });
            let best =
                offers.min_by(|(_, a), (_, b)| (a.price / a.cpus).total_cmp(&(b.price / b.cpus)));
            if let Some((index, machine_type)) = best.filter(|_| short > 0) {
                let count = (short as f64 / (machine_type.cpus * 1000.0))
                    .ceil()
                    .min(f64::from(MAX_RENT_COUNT)) as u32;
                out.push(RentalRequest {
                    offer: Offer {
                        machine_type: index,
                        zone,
                        spot: false,
                    },
                    count,
                });
            }
        }
        out
    }

    /// Remembers a demand, and forgets those from before the window.
    fn record_demand(&mut self, demand: Demand, window_ms: u64) {
        let now = demand.at;
        match self
            .demand
            .back_mut()
            .filter(|last| now < last.at + SAMPLE_MS)
        {
            Some(last) => last.merge(demand),
            None => self.demand.push_back(demand),
        }
        while self
            .demand
            .front()
            .is_some_and(|first| now > first.at + window_ms)
        {
            self.demand.pop_front();
        }
    }

    /// Takes the machine that costs most for what it does out of use, if the rest covers the peak of the last `window_ms`;
    /// takes such machines back when there are needs.
    pub fn surplus(
        &mut self,
        scheduler: &mut Scheduler,
        demands: &[UnmetDemand],
        window_ms: u64,
        rise_ms: u64,
        now: u64,
    ) {
        let utilization = scheduler.utilization();
        let wanted = demands
            .iter()
            .map(|n| n.task_resources.cpu_milli * u64::from(n.tasks))
            .sum::<u64>();
        let (services, placed) = scheduler.service_demand();
        let all = wanted + utilization.iter().map(|l| l.used).sum::<u64>();
        self.record_demand(
            Demand {
                at: now,
                all,
                services,
                placed,
            },
            window_ms,
        );
        if !demands.is_empty() {
            scheduler.use_surplus();
            return;
        }
        scheduler.move_replica();
        let target = |x: u64| (x as f64 * HEADROOM) as u64;
        let peak = target(self.demand.iter().map(|d| d.all).max().unwrap_or(0));
        let all: u64 = utilization.iter().map(|l| l.cpus).sum();
        let reserves = self.reserves(rise_ms);
        let (mut zone_peak, mut free, mut steady) =
            (HashMap::new(), HashMap::new(), HashMap::new());
        for (zone, n) in self.demand.iter().flat_map(|d| &d.placed) {
            let most = zone_peak.entry(*zone).or_insert(0);
            *most = target(*n).max(*most);
        }
        for l in utilization.iter().filter(|l| !l.offer.spot) {
            *free.entry(l.offer.zone).or_insert(0) += l.cpus - l.used;
            *steady.entry(l.offer.zone).or_insert(0) += l.cpus;
        }
        let of =
            |by: &HashMap<ZoneIndex, u64>, zone: ZoneIndex| by.get(&zone).copied().unwrap_or(0);
        let idle_price = |l: &Utilization| {
            let t = scheduler.machine_type(l.offer.machine_type);
            (if l.offer.spot { t.spot_price } else { t.price })
                * (1.0 - l.used as f64 / l.cpus.max(1) as f64)
        };
        let may_go = |l: &&Utilization| {
            let Offer { zone, spot, .. } = l.offer;
            now > l.since + window_ms
                && l.services * 4 <= l.cpus
                && all - l.cpus >= peak
                && (spot || of(&steady, zone) - l.cpus >= of(&zone_peak, zone))
                && (spot || of(&free, zone) >= of(&reserves, zone) + l.cpus)
        };
        let go = utilization
            .iter()
            .filter(may_go)
            .max_by(|a, b| idle_price(a).total_cmp(&idle_price(b)))
            .map(|l| l.machine);
        if let Some(i) = go {
            scheduler.spare_machine(i);
        }
    }

    /// Moves machines that should go towards their release: stuck ones, drained ones, idle ones.
    pub fn returns(&mut self, scheduler: &mut Scheduler, idle_ms: u64, rise_ms: u64, now: u64) {
        let (mut go, mut overdue) = (Vec::new(), Vec::new());
        let reserves = self.reserves(rise_ms);
        let mut free: HashMap<ZoneIndex, u64> = HashMap::new();
        let mut cpus: HashMap<MachineIndex, u64> = HashMap::new();
        for l in scheduler.utilization() {
            cpus.insert(l.machine, l.cpus);
            *free.entry(l.offer.zone).or_default() +=
                if l.offer.spot { 0 } else { l.cpus - l.used };
        }
        for (i, m) in scheduler.machines() {
            let idle = m.idle_since.is_some_and(|s| now > s + idle_ms);
            match m.state {
                MachineState::Waiting if scheduler.never_came_up(m) => overdue.push(i),
                MachineState::Draining if m.idle_since.is_some() => go.push((i, "drained")),
                MachineState::Up if idle && m.spot => go.push((i, "idle")),
                MachineState::Up if idle => {
                    // What replicas to come will need stays.
                    let left = free.entry(m.zone).or_default();
                    let own = cpus.get(&i).copied().unwrap_or(0);
                    if *left >= reserves.get(&m.zone).copied().unwrap_or(0) + own {
                        *left -= own;
                        go.push((i, "idle"));
                    }
                }
                _ => {}
            }
        }
        for (i, reason) in go {
            scheduler.enter(i, MachineState::Releasing, reason);
        }
        for i in overdue {
            if let Some((offer, pause_ms)) = scheduler.give_up_boot(i) {
                self.pause(offer, pause_ms, now);
            }
        }
    }
}
