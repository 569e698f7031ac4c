//! What a node knows and decides, without I/O: the loops of this module's siblings carry out what it asks for, and the
//! tests drive it with a scripted store, workers and peers.

use super::clock::Clock;
use super::scheduling_round::Due;
use crate::admission::rate::{RateMeter, TokenBucket};
use crate::admission::write_admission::{users_share, Pacer};
use crate::autoscaler::Fleet;
use crate::config::Settings;
use crate::coordination::leadership::{Authority, Leadership, LeadershipEvent, Term};
use crate::coordination::linearizable_reads::PendingReads;
use crate::coordination::peers::{CancellationNotices, PeerHealth};
use crate::protocol::MachineType;
use crate::scheduler::Scheduler;
use crate::store::{LeaderRecord, Mirror};
use crate::time::{duration, Timestamp};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Most unregistered machines that are remembered at a time, so that reports in made-up names cost bounded memory; some times
/// the largest fleet. The rest is remembered when it reports or is listed again.
pub(super) const UNREGISTERED_LIMIT: usize = 16_384;
/// Time between looks at what time alone brings.
pub(super) const TICK_MS: u64 = 100;
/// A longer time between two rounds means that the process stood still.
pub(super) const PAUSE_MS: u64 = 1000;
/// Least time between two rounds of placing and sending.
pub(super) const PASS_MS: u64 = 20;
/// Time between rounds of durable writes of the leader.
pub(super) const FLUSH_MS: u64 = 500;

/// Share of the cloud's request rate that a leader uses; the rest is for a node that has yet to read the machine types, and
/// for the leader before, whose calls may still be under way.
pub(super) const CLOUD_SHARE: f64 = 0.9;

/// Share of the store's request rate that users' single reads may take on all nodes together; the rest is for leader leases, watches,
/// the ordering of polls, changes and the leader's books.
const USER_READS: f64 = 0.25;

/// Over how long the leader's changes are measured.
const CHANGES_MS: u64 = 2000;

/// A machine that no rental in the store names.
pub(super) struct UnregisteredMachine {
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    /// Its worker's address and session, if it is known by a report only: that may be a late copy, long after the
    /// machine was released, so that the worker is asked first.
    pub(super) ask: Option<(String, u64)>,
}

/// What the loops share; borrowed for short moments only, never across a wait.
pub(super) struct ControllerState {
    pub(super) settings: Settings,
    pub(super) clock: Clock,
    pub(super) identity: LeaderRecord,
    pub(super) replica: Mirror,
    pub(super) leadership: Leadership,
    pub(super) scheduler: Option<Scheduler>,
    pub(super) fleet: Fleet,
    pub(super) machine_types: Vec<MachineType>,
    pub(super) reported_task_counts: HashMap<String, (u32, u32)>,
    pub(super) peer_health: PeerHealth,
    pub(super) cancellation_notices: CancellationNotices,
    pub(super) newest_epoch: u64,
    pub(super) store_answered_at: u64,
    pub(super) campaign_backoff_until: u64,
    pub(super) leading_since: u64,
    /// The epoch before this node's own kept no start log.
    pub(super) previous_epoch_without_start_log: bool,
    pub(super) released: HashMap<String, u64>,
    pub(super) gone: HashSet<String>,
    pub(super) unregistered: BTreeMap<String, UnregisteredMachine>,
    pub(super) rental_requests_made: u64,
    pub(super) pending_reads: PendingReads,
    pub(super) user_changes: Pacer,
    /// How often the cloud may be called.
    pub(super) cloud_calls: TokenBucket,
    /// How often users' questions may cost a read of the store each: those about jobs that are neither unfinished nor known
    /// to be final or absent.
    pub(super) user_reads: TokenBucket,
    pub(super) due: Due,
    /// The changes that this node makes as the leader.
    pub(super) own_changes: RateMeter,
    /// What the leader last told of its changes, and when.
    pub(super) leader_changes: Option<(f64, u64)>,
    /// When the last round of `pass` was.
    pub(super) passed_at: u64,
}

impl ControllerState {
    /// A node that has yet to read the store.
    pub(super) fn new(settings: Settings, incarnation: u64, clock: Clock) -> ControllerState {
        let identity = LeaderRecord {
            node: settings.platform.node.clone(),
            incarnation,
        };
        let lease_ttl = duration(settings.operator.hold_s);
        let state = &settings.platform.deployment.state;
        let user_changes = users_share(state.write_rps, settings.platform.peers.len() + 1, None);
        let user_reads = state.rps * USER_READS / (settings.platform.peers.len() + 1) as f64;
        let cloud_rps = settings.platform.deployment.cloud.rps * CLOUD_SHARE;
        ControllerState {
            leadership: Leadership::new(lease_ttl, Duration::from_millis(settings.grace_ms())),
            settings,
            clock,
            identity,
            replica: Mirror::default(),
            scheduler: None,
            fleet: Fleet::default(),
            machine_types: Vec::new(),
            reported_task_counts: HashMap::new(),
            peer_health: PeerHealth::default(),
            cancellation_notices: CancellationNotices::default(),
            newest_epoch: 0,
            store_answered_at: 0,
            campaign_backoff_until: 0,
            leading_since: 0,
            previous_epoch_without_start_log: false,
            released: HashMap::new(),
            gone: HashSet::new(),
            unregistered: BTreeMap::new(),
            rental_requests_made: 0,
            pending_reads: PendingReads::default(),
            user_changes: Pacer::new(user_changes),
            cloud_calls: TokenBucket::new(cloud_rps, cloud_rps),
            user_reads: TokenBucket::new(user_reads, user_reads),
            due: Due::default(),
            own_changes: RateMeter::new(CHANGES_MS),
            leader_changes: None,
            passed_at: 0,
        }
    }

    /// Milliseconds of this node's steady clock.
    pub(super) fn now(&self) -> u64 {
        match &self.clock {
            Clock::Steady(begun) => begun.elapsed().as_millis() as u64 + 1000,
            #[cfg(test)]
            Clock::Scripted(now) => now.get(),
        }
    }

    /// Milliseconds of the time of day.
    pub(super) fn wall(&self) -> u64 {
        match &self.clock {
            Clock::Steady(_) => SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64),
            #[cfg(test)]
            Clock::Scripted(now) => now.get(),
        }
    }

    pub(super) fn authority(&self) -> Authority {
        self.leadership
            .authority(Timestamp::from_millis(self.now()))
    }

    /// Whether what was decided in a term may still be sent. Asked again right before each send: the process may have stood
    /// still since the decision, while a cancellation was confirmed or another node began to lead.
    pub(super) fn may_send(&self, term: Option<Term>) -> bool {
        term.is_some() && self.term() == term && self.authority() == Authority::Full
    }

    /// The term, while leading.
    pub(super) fn term(&self) -> Option<Term> {
        self.leadership.term()
    }

    pub(super) fn free_to_claim(&self) -> bool {
        self.replica.free_to_claim(&self.identity)
    }

    pub(super) fn lead_event(&mut self, event: LeadershipEvent) {
        if self.leadership.apply(event) && self.term().is_none() {
            self.scheduler = None;
            self.unregistered.clear();
            self.gone.clear();
        }
    }

    pub(super) fn state_ok(&self) -> bool {
        self.now() < self.store_answered_at + 2500
    }

    /// Whether this node should get users: it is loaded, and if the state service does not answer it, then not it alone.
    /// A node that had lost the service and the others kept its users, and with its few connections was given more.
    pub(super) fn healthy(&self) -> bool {
        let alone = !self.settings.platform.peers.is_empty() && self.peer_health.alone(self.now());
        self.replica.loaded && !self.machine_types.is_empty() && (self.state_ok() || !alone)
    }
}
