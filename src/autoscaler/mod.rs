//! The autoscaler: which machines to rent and which to return.
//!
//! Pure logic: the scheduler's view of machines and demand in, state changes of machines and rental requests out. No I/O and
//! no clock; the controller carries the requests out and releases what the scheduler holds for release.
//!
//! [`Autoscaler::decide`] joins the steps: `scale_in` cordons and releases machines, `scale_out` plans rentals for unmet
//! demand and for the head-room that `headroom` forecasts, `offers` keeps away from what the cloud refuses.

mod headroom;
mod offers;
mod scale_in;
mod scale_out;
#[cfg(test)]
mod tests;

pub use scale_in::release_silent_machines;
pub use scale_out::RentalRequest;

use crate::config::Settings;
use crate::scheduler::{Job, Offer, Scheduler, UnmetDemand};
use crate::time::{duration_from_millis, duration_from_secs, Timestamp};
use headroom::{DemandHistory, DemandSample};
use offers::OfferBackoffs;
use std::collections::BTreeMap;
use std::time::Duration;

/// A longer nominal boot time is not waited for.
const MAX_BOOT_TIME_S: f64 = 600.0;
/// The forecast covers the nominal boot time by this factor and margin, which leaves time for slow machines.
const HORIZON_MILLIS_PER_SECOND: f64 = 1500.0;
const HORIZON_MARGIN: Duration = Duration::from_secs(5);

/// How long a machine may be silent or idle.
#[derive(Debug, Clone, Copy)]
pub struct ScalingPolicy {
    /// A machine that is silent for longer is released, unless most of its zone is silent.
    pub silence_limit: Duration,
    /// A machine that is silent for longer is released though its whole zone is silent: machines that are dead are listed as
    /// failed, and what is isolated for so long is not worth its price.
    pub zone_silence_limit: Duration,
    /// A machine without tasks for longer is returned.
    pub idle_limit: Duration,
}

impl ScalingPolicy {
    /// The policy that the settings of a deployment imply.
    #[must_use]
    pub fn new(settings: &Settings) -> ScalingPolicy {
        let workers = &settings.platform.deployment.workers;
        // Long enough for two probes; a machine silent for longer rarely comes back within its lease.
        let silence_limit_s = (2.0 * workers.report_s + 2.0).max(0.4 * workers.lease_s);
        ScalingPolicy {
            silence_limit: duration_from_secs(silence_limit_s),
            zone_silence_limit: duration_from_secs(4.0 * workers.lease_s),
            idle_limit: settings.operator.idle_timeout(),
        }
    }
}

/// What the autoscaler remembers between decisions.
#[derive(Debug, Default)]
pub struct Autoscaler {
    offers: OfferBackoffs,
    demand_history: DemandHistory,
}

impl Autoscaler {
    /// Decides what to return and what to rent. Machines to be returned are moved towards their release in the scheduler, and
    /// lower work is preempted where higher work has a claim; the rentals are returned, the most urgent first.
    pub fn decide(
        &mut self,
        scheduler: &mut Scheduler,
        policy: &ScalingPolicy,
        now: Timestamp,
    ) -> Vec<RentalRequest> {
        scheduler.advance_clock(now.as_millis());
        release_silent_machines(scheduler, policy);
        let demands = scheduler.unmet_demand(true);
        log_demand(scheduler, &demands);
        let boot_time_s = shortest_boot_time_s(scheduler);
        let window = policy.idle_limit + duration_from_secs(boot_time_s);
        let horizon = forecast_horizon(boot_time_s);
        self.cordon_surplus(scheduler, &demands, window, horizon, now);
        self.release_unneeded(scheduler, policy.idle_limit, horizon, now);
        let mut requests = self.requests_for_demand(scheduler, &demands, now);
        requests.extend(self.requests_for_headroom(scheduler, horizon, now));
        requests
    }

    /// The request to carry out next: the most urgent one whose offer was not asked for within the last `rest`, or else the
    /// most urgent one.
    pub fn next_request(
        &mut self,
        requests: Vec<RentalRequest>,
        rest: Duration,
        now: Timestamp,
    ) -> Option<RentalRequest> {
        self.offers.next_request(requests, rest, now)
    }

    /// The cloud has answered a request with a number of machines. An offer that was not filled is left alone for a while.
    pub fn record_rental(&mut self, request: &RentalRequest, rented: usize, now: Timestamp) {
        if rented < request.count as usize {
            self.offers.record_shortage(request.offer, now);
        } else {
            self.offers.record_filled(request.offer);
        }
    }

    /// Records the present demand. Without unmet demand, cordons the machine that costs most for what it does if the others
    /// cover the peak of the window; with unmet demand, takes such machines back into use.
    fn cordon_surplus(
        &mut self,
        scheduler: &mut Scheduler,
        demands: &[UnmetDemand],
        window: Duration,
        horizon: Duration,
        now: Timestamp,
    ) {
        let utilization = scheduler.utilization();
        let sample = DemandSample::new(scheduler, &utilization, demands, now);
        self.demand_history.record(sample, window);
        if !demands.is_empty() {
            scheduler.use_surplus();
            return;
        }
        scheduler.move_replica();
        let spare = scale_in::SpareCapacity::new(&utilization, &self.demand_history, horizon);
        let surplus = spare.surplus_machine(scheduler, &utilization, window, now);
        if let Some(machine) = surplus {
            scheduler.spare_machine(machine);
        }
    }

    /// Moves machines that are not needed, or did not come up, towards their release.
    fn release_unneeded(
        &mut self,
        scheduler: &mut Scheduler,
        idle_limit: Duration,
        horizon: Duration,
        now: Timestamp,
    ) {
        let reserves = self.demand_history.reserves(horizon);
        for doubtful in scale_in::release_unneeded(scheduler, &reserves, idle_limit, now) {
            self.offers.avoid(doubtful.offer, doubtful.avoid_for, now);
        }
    }

    fn requests_for_demand(
        &self,
        scheduler: &Scheduler,
        demands: &[UnmetDemand],
        now: Timestamp,
    ) -> Vec<RentalRequest> {
        scale_out::requests_for_demand(scheduler, demands, &self.offers, now)
    }

    fn requests_for_headroom(
        &self,
        scheduler: &Scheduler,
        horizon: Duration,
        now: Timestamp,
    ) -> Vec<RentalRequest> {
        let reserves = self.demand_history.reserves(horizon);
        scale_out::requests_for_headroom(scheduler, &reserves, &self.offers, now)
    }
}

/// The nominal boot time of the machine type that boots soonest, in seconds.
fn shortest_boot_time_s(scheduler: &Scheduler) -> f64 {
    let boot_times = scheduler.machine_types().map(|(_, t)| t.boot_s);
    boot_times
        .fold(f64::INFINITY, f64::min)
        .min(MAX_BOOT_TIME_S)
}

/// How far ahead replicas are planned for: until a machine that is rented now is up.
fn forecast_horizon(boot_time_s: f64) -> Duration {
    duration_from_millis(boot_time_s * HORIZON_MILLIS_PER_SECOND) + HORIZON_MARGIN
}

fn log_demand(scheduler: &Scheduler, demands: &[UnmetDemand]) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let wanted: u32 = demands.iter().map(|demand| demand.tasks).sum();
    let pending: u32 = scheduler.jobs().map(Job::pending).sum();
    let mut by_offer: BTreeMap<Offer, [u64; 4]> = BTreeMap::new();
    for machine in scheduler.utilization() {
        let [machines, cpus, used, services] = by_offer.entry(machine.offer).or_default();
        *machines += 1;
        *cpus += machine.cpus;
        *used += machine.used;
        *services += machine.services;
    }
    tracing::debug!(pending, wanted, machines_cpus_used_services = ?by_offer, "look ahead");
}

/// The largest whole number that is not above a value; what is negative or no number is 0.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float to integer casts saturate, which is what is wanted"
)]
fn floor(value: f64) -> u64 {
    value as u64
}
