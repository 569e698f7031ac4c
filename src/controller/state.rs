//! The state of a controller and its decisions, without I/O: the controller's loops carry the decisions out, and the tests
//! drive the state with a simulated store, workers and peers.
//!
//! Each part of the state that has its own invariant is a type with private fields in one of the submodules. The other
//! submodules implement the operations that combine these parts, next to the types of their outcomes.

mod adoption;
mod cancellations;
mod durable_writes;
mod epoch_start;
mod heartbeats;
mod leader_report;
mod leadership;
mod leadership_status;
mod machine_list;
mod peer_views;
mod read_barriers;
mod releases;
mod rental_reconciliation;
mod rentals;
mod replica_changes;
mod request_limits;
mod round_timing;
mod scheduling_round;
mod start_log;
mod store_contact;
#[cfg(test)]
mod test_access;
mod write_limits;

pub(super) use durable_writes::FLUSH_INTERVAL;
pub(super) use epoch_start::EpochClaim;
pub(super) use read_barriers::ReadBarrier;
pub(super) use rental_reconciliation::{UnregisteredMachine, WorkerContact};
pub(super) use rentals::OpenRental;
pub(super) use replica_changes::LeaderKeyChange;
pub(super) use round_timing::MIN_ROUND_INTERVAL;
pub(super) use scheduling_round::{RoundOutcome, SendLimits, StepDownReason};
pub(super) use start_log::PreparedStartLogWrite;

use self::leader_report::LeaderReport;
use self::leadership_status::LeadershipStatus;
use self::rental_reconciliation::RentalReconciliation;
use self::request_limits::RequestLimits;
use self::round_timing::{PauseDetector, RoundDeadlines};
use self::store_contact::StoreContact;
use super::clock::Clock;
use crate::autoscaler::Autoscaler;
use crate::config::Settings;
use crate::coordination::cancellations::Cancellations;
use crate::coordination::leadership::Leadership;
use crate::coordination::linearizable_reads::WaitingReads;
use crate::coordination::peers::PeerHealth;
use crate::protocol::MachineType;
use crate::scheduler::Scheduler;
use crate::store::{LeaderRecord, Replica, WriteLimits};
use crate::time::Timestamp;

/// The state of one controller process, shared by its loops and message handlers.
pub(super) struct ControllerState {
    settings: Settings,
    clock: Clock,
    /// This controller's replica of the store.
    replica: Replica,
    leadership_status: LeadershipStatus,
    /// The scheduler, which exists while this controller leads and has read the store.
    scheduler: Option<Scheduler>,
    store_contact: StoreContact,
    write_limits: WriteLimits,
    request_limits: RequestLimits,
    round_deadlines: RoundDeadlines,
    pause_detector: PauseDetector,
    autoscaler: Autoscaler,
    machine_types: Vec<MachineType>,
    leader_report: LeaderReport,
    peer_health: PeerHealth,
    cancellations: Cancellations,
    rental_reconciliation: RentalReconciliation,
    /// Number of rental requests that this process has made. It is part of their names, which keeps them unique.
    rental_requests_made: u64,
    waiting_reads: WaitingReads,
    /// The health that was last reported to the load balancer.
    reported_health: Option<bool>,
}

impl ControllerState {
    /// Creates the state of a controller that has not read the store yet.
    pub(super) fn new(settings: Settings, incarnation: u64, clock: Clock) -> ControllerState {
        let identity = LeaderRecord {
            node: settings.platform.node.clone(),
            incarnation,
        };
        let lease_ttl = settings.operator.leader_lease();
        let grace_period = settings.grace_period();
        let leadership = Leadership::new(lease_ttl, grace_period);
        let write_limits = WriteLimits::new(&settings.platform.deployment.state);
        ControllerState {
            request_limits: RequestLimits::new(&settings, &write_limits),
            write_limits,
            settings,
            clock,
            replica: Replica::default(),
            leadership_status: LeadershipStatus::new(identity, leadership),
            scheduler: None,
            store_contact: StoreContact::default(),
            round_deadlines: RoundDeadlines::default(),
            pause_detector: PauseDetector::default(),
            autoscaler: Autoscaler::default(),
            machine_types: Vec::new(),
            leader_report: LeaderReport::default(),
            peer_health: PeerHealth::default(),
            cancellations: Cancellations::default(),
            rental_reconciliation: RentalReconciliation::default(),
            rental_requests_made: 0,
            waiting_reads: WaitingReads::default(),
            reported_health: None,
        }
    }

    /// Returns the settings, which never change.
    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the time of the monotonic clock.
    pub(super) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the time of day, in milliseconds since the Unix epoch.
    pub(super) fn unix_millis(&self) -> u64 {
        self.clock.unix_millis()
    }

    /// Returns this controller's replica of the store.
    pub(super) fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the scheduler, while this controller leads and has read the store.
    pub(super) fn scheduler(&self) -> Option<&Scheduler> {
        self.scheduler.as_ref()
    }

    /// Reports whether this controller schedules, that is, leads and has read the store.
    pub(super) fn is_scheduling(&self) -> bool {
        self.scheduler.is_some()
    }

    /// Returns the machine types that can be rented.
    pub(super) fn machine_types(&self) -> &[MachineType] {
        &self.machine_types
    }

    /// Records that a read of the store found no final state of a job, if the replica still has the generation that it had at
    /// the time of that read.
    pub(super) fn remember_absent(&mut self, job: &str, generation: u64) {
        self.replica.remember_absent(job, generation);
    }

    /// Returns the scheduler with its clock set to the current time.
    pub(super) fn scheduler_at_now(&mut self) -> Option<&mut Scheduler> {
        let now = self.clock.now();
        let scheduler = self.scheduler.as_mut()?;
        scheduler.advance_clock(now.as_millis());
        Some(scheduler)
    }

    /// Records that the store has responded to a request.
    pub(super) fn record_store_response(&mut self) {
        self.store_contact.record_response(self.clock.now());
    }

    /// Reports whether the store has responded recently.
    pub(super) fn is_store_reachable(&self) -> bool {
        self.store_contact.is_reachable(self.now())
    }

    /// Returns whether this controller is healthy, and logs a change of the answer with its reasons.
    pub(super) fn report_health(&mut self) -> bool {
        let is_healthy = self.is_healthy();
        if self.reported_health.replace(is_healthy) != Some(is_healthy) {
            tracing::info!(
                is_healthy,
                replica_loaded = self.replica.initialized,
                machine_types = self.machine_types.len(),
                store_reachable = self.is_store_reachable(),
                isolated = self.peer_health.is_isolated(self.now()),
                "health changed"
            );
        }
        is_healthy
    }

    /// Reports whether the load balancer should send users to this controller.
    ///
    /// It should once this controller has read the store and the machine types. While the store does not answer, it still
    /// should, unless this controller is isolated: a controller that had lost the store and its peers, but reported itself
    /// healthy, kept its users and received further ones, since it had few connections.
    pub(super) fn is_healthy(&self) -> bool {
        let has_peers = !self.settings.platform.peers.is_empty();
        let isolated = has_peers && self.peer_health.is_isolated(self.now());
        self.replica.initialized
            && !self.machine_types.is_empty()
            && (self.is_store_reachable() || !isolated)
    }
}
