//! The autoscaler decides which machines to rent and which to release.
//!
//! It does no I/O and reads no clock. It reads machines and demand from the scheduler, changes the states of machines there,
//! and returns rental requests. The controller sends these requests to the cloud, and releases the machines that are marked for
//! release in the scheduler.
//!
//! [`Autoscaler::decide`] combines the parts: `scale_in` drains machines and marks them for release, `scale_out` plans rentals
//! for unmet demand and for the headroom that `headroom` forecasts, and `offers` avoids offers that the cloud has refused or
//! whose machines do not come up.

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

/// Maximum nominal boot time that the forecast takes into account.
const MAX_BOOT_TIME_S: f64 = 600.0;
/// Milliseconds of the forecast horizon for each second of the nominal boot time. With [`HORIZON_MARGIN`], the horizon also
/// covers machines that boot more slowly.
const HORIZON_MILLIS_PER_BOOT_SECOND: f64 = 1500.0;
/// Added to the forecast horizon.
const HORIZON_MARGIN: Duration = Duration::from_secs(5);

/// Time limits after which machines are released.
#[derive(Debug, Clone, Copy)]
pub struct ScalingPolicy {
    /// A machine that is silent for longer is released, unless most machines of its zone are silent.
    pub silence_limit: Duration,
    /// A machine that is silent for longer is released even if its whole zone is silent. The cloud lists dead machines as failed,
    /// so such machines are probably isolated, but after this time they are not worth their price.
    pub zone_silence_limit: Duration,
    /// A machine that has no tasks for longer is released, unless its free capacity is needed as headroom.
    pub idle_limit: Duration,
}

impl ScalingPolicy {
    /// Derives the policy from the settings of the deployment.
    #[must_use]
    pub fn new(settings: &Settings) -> ScalingPolicy {
        let workers = &settings.platform.deployment.workers;
        // Long enough for two probes. A machine that is silent for longer rarely reports again before its lease expires.
        let silence_limit_s = (2.0 * workers.report_s + 2.0).max(0.4 * workers.lease_s);
        ScalingPolicy {
            silence_limit: duration_from_secs(silence_limit_s),
            zone_silence_limit: duration_from_secs(4.0 * workers.lease_s),
            idle_limit: settings.operator.idle_timeout(),
        }
    }
}

/// The autoscaler, with the state that it keeps between decisions.
#[derive(Debug, Default)]
pub struct Autoscaler {
    offers: OfferBackoffs,
    demand_history: DemandHistory,
}

impl Autoscaler {
    /// Decides which machines to release and which to rent. In the scheduler, drains machines or marks them for release, and
    /// preempts tasks where a job of higher priority or a guarantee has a claim. Returns the rental requests, most urgent first.
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
        self.drain_surplus(scheduler, &demands, window, horizon, now);
        self.release_unneeded(scheduler, policy.idle_limit, horizon, now);
        let mut requests = self.requests_for_demand(scheduler, &demands, now);
        requests.extend(self.requests_for_headroom(scheduler, horizon, now));
        requests
    }

    /// Returns the request to send next: the most urgent one whose offer was not requested within the last `cooldown`, or the
    /// most urgent one if there is none.
    pub fn next_request(
        &mut self,
        requests: Vec<RentalRequest>,
        cooldown: Duration,
        now: Timestamp,
    ) -> Option<RentalRequest> {
        self.offers.next_request(requests, cooldown, now)
    }

    /// Records that the cloud has answered a request with `rented` machines. If these are fewer than requested, the offer is not
    /// used during a backoff.
    pub fn record_rental(&mut self, request: &RentalRequest, rented: usize, now: Timestamp) {
        if rented < request.count as usize {
            self.offers.record_shortage(request.offer, now);
        } else {
            self.offers.record_filled(request.offer);
        }
    }

    /// Records the current demand. If any demand is unmet, takes surplus machines back into use. Otherwise moves a replica off a
    /// surplus machine, and starts to drain at most one further machine: the one with the most expensive unused capacity among
    /// those without which the others cover the peak of the window.
    fn drain_surplus(
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
            scheduler.restore_surplus_machines();
            return;
        }
        scheduler.move_surplus_replica();
        let spare = scale_in::SpareCapacity::new(&utilization, &self.demand_history, horizon);
        let surplus = spare.surplus_machine(scheduler, &utilization, window, now);
        if let Some(machine) = surplus {
            scheduler.drain_surplus_machine(machine);
        }
    }

    /// Marks machines that are not needed or have not come up for release, and avoids the offers of the latter, unless a machine
    /// of the offer that was rented at the same time or later has come up.
    fn release_unneeded(
        &mut self,
        scheduler: &mut Scheduler,
        idle_limit: Duration,
        horizon: Duration,
        now: Timestamp,
    ) {
        let reserves = self.demand_history.reserves(horizon);
        for to_avoid in scale_in::release_unneeded(scheduler, &reserves, idle_limit, now) {
            self.offers.avoid(to_avoid.offer, to_avoid.avoid_for, now);
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

/// Returns the shortest nominal boot time of all machine types, in seconds, limited to [`MAX_BOOT_TIME_S`].
fn shortest_boot_time_s(scheduler: &Scheduler) -> f64 {
    let boot_times = scheduler.machine_types().map(|(_, t)| t.boot_s);
    boot_times
        .fold(f64::INFINITY, f64::min)
        .min(MAX_BOOT_TIME_S)
}

/// Returns how far ahead the replicas of services are forecast: until a machine that is rented now has come up.
fn forecast_horizon(boot_time_s: f64) -> Duration {
    duration_from_millis(boot_time_s * HORIZON_MILLIS_PER_BOOT_SECOND) + HORIZON_MARGIN
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
        *cpus += machine.cpu_milli;
        *used += machine.used_cpu_milli;
        *services += machine.service_cpu_milli;
    }
    tracing::debug!(
        pending,
        wanted,
        machines_cpus_used_services = ?by_offer,
        "unmet demand and utilization by offer"
    );
}

/// Rounds a value down to a whole number. Negative values and NaN become 0.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float to integer casts saturate, which is what is wanted"
)]
fn floor_to_u64(value: f64) -> u64 {
    value as u64
}
