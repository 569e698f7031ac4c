//! What a controller knows and decides, without I/O: the loops carry out what it asks for, and the tests drive it with a
//! simulated store, workers and peers.
//!
//! Each part of the state that has an invariant of its own is a type with private fields in one of the modules below. The
//! other modules below hold the steps that join these parts, each beside the types of its outcome.

mod adoption;
mod cancellations;
mod durable_writes;
mod epoch_start;
mod heartbeats;
mod leader_report;
mod leadership_status;
mod machine_list;
mod peer_views;
mod releases;
mod rental_reconciliation;
mod rentals;
mod replica_changes;
mod request_limits;
mod round_timing;
mod scheduling_round;
mod start_log;
mod store_contact;

pub(super) use durable_writes::FLUSH_INTERVAL;
pub(super) use epoch_start::EpochClaim;
pub(super) use rental_reconciliation::{UnregisteredMachine, WorkerContact};
pub(super) use rentals::OpenRental;
pub(super) use replica_changes::LeaderKeyChange;
pub(super) use round_timing::MIN_ROUND_INTERVAL;
pub(super) use scheduling_round::{RoundOutcome, SendLimits, StepDownReason};
pub(super) use start_log::StartLogWrite;

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
use crate::coordination::leadership::{Authority, Leadership, LeadershipEvent, Term};
use crate::coordination::linearizable_reads::PendingReads;
use crate::coordination::peers::PeerHealth;
use crate::protocol::MachineType;
use crate::scheduler::Scheduler;
use crate::store::{LeaderRecord, Replica, StoreError, TxnOutcome};
use crate::time::Timestamp;
use std::time::Duration;

/// The state of a controller.
pub(super) struct ControllerState {
    pub(super) settings: Settings,
    clock: Clock,
    /// The replica of the store.
    pub(super) replica: Replica,
    leadership_status: LeadershipStatus,
    /// The scheduler, while this controller leads and has read the store.
    pub(super) scheduler: Option<Scheduler>,
    store_contact: StoreContact,
    request_limits: RequestLimits,
    round_deadlines: RoundDeadlines,
    pause_detector: PauseDetector,
    autoscaler: Autoscaler,
    pub(super) machine_types: Vec<MachineType>,
    leader_report: LeaderReport,
    peer_health: PeerHealth,
    pub(super) cancellations: Cancellations,
    rental_reconciliation: RentalReconciliation,
    /// Number of rental requests that this process has made: part of their names.
    rental_requests_made: u64,
    pub(super) pending_reads: PendingReads,
}

impl ControllerState {
    /// The state of a controller that has yet to read the store.
    pub(super) fn new(settings: Settings, incarnation: u64, clock: Clock) -> ControllerState {
        let identity = LeaderRecord {
            node: settings.platform.node.clone(),
            incarnation,
        };
        let lease_ttl = settings.operator.leader_lease();
        let grace_period = settings.grace_period();
        let leadership = Leadership::new(lease_ttl, grace_period);
        ControllerState {
            request_limits: RequestLimits::new(&settings),
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
            pending_reads: PendingReads::default(),
        }
    }

    /// The settings, which never change.
    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The clock, which tests set.
    #[cfg(test)]
    pub(super) fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The time of the steady clock.
    pub(super) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The time of day, in milliseconds since the Unix epoch.
    pub(super) fn unix_millis(&self) -> u64 {
        self.clock.unix_millis()
    }

    /// The replica of the store.
    pub(super) fn replica(&self) -> &Replica {
        &self.replica
    }

    /// What this process writes into the leader key.
    pub(super) fn identity(&self) -> &LeaderRecord {
        self.leadership_status.identity()
    }

    /// The state machine of the leadership.
    pub(super) fn leadership(&self) -> &Leadership {
        self.leadership_status.leadership()
    }

    /// What this controller may do now.
    pub(super) fn authority(&self) -> Authority {
        self.leadership_status.authority(self.now())
    }

    /// The term, while this controller leads.
    pub(super) fn term(&self) -> Option<Term> {
        self.leadership_status.term()
    }

    /// Number of the newest epoch that this controller has heard of.
    pub(super) fn newest_epoch(&self) -> u64 {
        self.leadership_status.newest_epoch()
    }

    /// When the scheduler of the present or latest term was built.
    pub(super) fn leading_since(&self) -> Timestamp {
        self.leadership_status.leading_since()
    }

    /// Whether what was decided in a term may still be sent.
    ///
    /// This is asked again right before each send. The process may have been paused since the decision, while a cancellation
    /// was confirmed or another controller became the leader.
    pub(super) fn may_send(&self, term: Option<Term>) -> bool {
        term.is_some() && self.term() == term && self.authority() == Authority::Full
    }

    /// Whether leadership is vacant, as far as the replica shows.
    pub(super) fn may_claim_leadership(&self) -> bool {
        self.leadership_status.may_claim(&self.replica)
    }

    /// Whether this controller may start a campaign.
    pub(super) fn may_campaign(&self) -> bool {
        self.leadership_status
            .may_campaign(&self.replica, self.now())
    }

    /// Applies an event to the leadership. What belongs to a term ends with it.
    pub(super) fn apply_leadership_event(&mut self, event: LeadershipEvent) {
        if self.leadership_status.apply(event) {
            self.scheduler = None;
            self.rental_reconciliation.clear_on_step_down();
        }
    }

    /// Records the number of an epoch. A later one ends this controller's term.
    pub(super) fn observe_epoch(&mut self, epoch: u64) {
        if self.leadership_status.observe_epoch(epoch) {
            self.apply_leadership_event(LeadershipEvent::TermEnded);
        }
    }

    /// Handles the result of a renewal of the leader lease. Returns why this controller should step down, if it should.
    pub(super) fn handle_lease_renewal(
        &mut self,
        requested_at: Timestamp,
        renewed: Result<(), StoreError>,
    ) -> Option<StepDownReason> {
        match renewed {
            Ok(()) => {
                self.apply_leadership_event(LeadershipEvent::LeaseRenewed { requested_at });
                let lags = self.scheduler.is_some() && self.authority() == Authority::None;
                return lags.then_some(StepDownReason::ReplicaLags);
            }
            Err(StoreError::NotFound) => self.apply_leadership_event(LeadershipEvent::TermEnded),
            Err(_) if self.authority() == Authority::None => {
                self.apply_leadership_event(LeadershipEvent::TermEnded);
            }
            // The authority lasts for a while without renewals.
            Err(_) => {}
        }
        None
    }

    /// Ends the leadership and starts no campaign for a time.
    pub(super) fn step_down(&mut self, backoff: Duration) {
        self.back_off_campaigns(backoff);
        self.apply_leadership_event(LeadershipEvent::TermEnded);
    }

    /// Starts no campaign for a time.
    pub(super) fn back_off_campaigns(&mut self, backoff: Duration) {
        let now = self.now();
        self.leadership_status.back_off_campaigns(backoff, now);
    }

    /// The scheduler, with its clock set to now.
    pub(super) fn scheduler_at_now(&mut self) -> Option<&mut Scheduler> {
        let now = self.clock.now();
        let scheduler = self.scheduler.as_mut()?;
        scheduler.at(now.as_millis());
        Some(scheduler)
    }

    /// Whether a read that was sent longer ago than a tolerance was answered with a revision that the replica still lacks.
    pub(super) fn replica_lags(&self, tolerance: Duration) -> bool {
        let sent_before = self.now().saturating_sub(tolerance);
        self.leadership().lags_behind_read_sent_before(sent_before)
    }

    /// The store has answered.
    pub(super) fn record_store_answer(&mut self) {
        self.store_contact.record_answer(self.clock.now());
    }

    /// Whether the store has answered lately.
    pub(super) fn is_store_reachable(&self) -> bool {
        self.store_contact.is_reachable(self.now())
    }

    /// Records changes of the store that this controller makes as the leader.
    pub(super) fn record_own_changes(&mut self, changes: usize) {
        self.request_limits
            .record_own_changes(changes, self.clock.now());
    }

    /// Takes a call of the cloud, or tells when one will be allowed.
    pub(super) fn take_cloud_call(&mut self) -> Result<(), Duration> {
        self.request_limits.take_cloud_call(self.clock.now())
    }

    /// Takes a read of the store on behalf of a user, or tells when one will be allowed.
    pub(super) fn take_user_read(&mut self) -> Result<(), Duration> {
        self.request_limits.take_user_read(self.clock.now())
    }

    /// Takes changes of the store by a user, or tells when to repeat the request.
    pub(super) fn take_user_changes(&mut self, changes: u32) -> Result<(), Duration> {
        let limit = self.user_change_limit();
        self.request_limits
            .take_user_changes(changes, limit, self.clock.now())
    }

    /// Adapts the rate of users' changes to the store's answer to one of their transactions.
    pub(super) fn record_user_transaction(&mut self, decided: &Result<TxnOutcome, StoreError>) {
        match decided {
            Err(StoreError::RateLimited) => self.request_limits.record_user_changes_refused(),
            Ok(_) => self.request_limits.record_user_changes_decided(),
            // Other failures say nothing about the rate.
            Err(_) => {}
        }
    }

    /// Whether this controller should get users.
    ///
    /// It should once it has read the store and the machine types. If the store does not answer it, it still should unless
    /// it is isolated: a controller that had lost the store and its peers once kept its users, and was given more, since it
    /// had few connections.
    pub(super) fn is_healthy(&self) -> bool {
        let has_peers = !self.settings.platform.peers.is_empty();
        let isolated = has_peers && self.peer_health.is_isolated(self.now());
        self.replica.initialized
            && !self.machine_types.is_empty()
            && (self.is_store_reachable() || !isolated)
    }
}
