//! What a node knows and decides, without I/O: the loops of this module's siblings carry out what it asks for, and the
//! tests drive it with a scripted store, workers and peers.

use super::WorkerAnswer;
use crate::admission::rate::{RateMeter, TokenBucket};
use crate::admission::write_admission::{users_share, Pacer};
use crate::autoscaler::Fleet;
use crate::config::Settings;
use crate::coordination::leadership::{Authority, Event, Leadership, Term};
use crate::coordination::peers::{
    CancellationNotices, Cancelled, CancelledJob, Notice, PeerHealth, View,
};
use crate::protocol as wire;
use crate::protocol::{JobSpec, JobState, JobView, Kind, MachineType, Report};
use crate::scheduler::{Arrival, Direct, Origin, Params, ReportOutcome, Scheduler};
use crate::store::{LeaderRecord, Mirror, MirrorChange, OverRecord, Versioned};
use crate::time::millis;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

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
/// How long the leader's word of its changes counts.
const LEADER_VIEW_TTL_MS: u64 = 3000;

/// Where the time comes from.
pub(super) enum Clock {
    /// The steady clock and the time of day.
    Steady(Instant),
    /// A test's.
    #[cfg(test)]
    Scripted(std::rc::Rc<std::cell::Cell<u64>>),
}

/// When the leader's next round of each kind is due.
#[derive(Default)]
pub(super) struct Due {
    pub(super) tick: u64,
    pub(super) reconsider: u64,
    pub(super) place: u64,
    pub(super) probe: u64,
}

/// What a leader's round brings.
pub(super) enum Pass {
    /// Nothing may be sent.
    Nothing,
    /// Messages for workers.
    Sends(Vec<Direct>),
    /// Leadership is to be given up, for this reason.
    GiveUp(&'static str),
}

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
    pub(super) me: LeaderRecord,
    pub(super) mirror: Mirror,
    pub(super) lead: Leadership,
    pub(super) scheduler: Option<Scheduler>,
    pub(super) fleet: Fleet,
    pub(super) types: Vec<MachineType>,
    pub(super) counts: HashMap<String, (u32, u32)>,
    pub(super) peer_health: PeerHealth,
    pub(super) notices: CancellationNotices,
    pub(super) newest_epoch: u64,
    pub(super) state_ok_at: u64,
    pub(super) no_campaign_until: u64,
    pub(super) leads_since: u64,
    /// The epoch before this node's own kept no start log.
    pub(super) unlogged: bool,
    pub(super) released: HashMap<String, u64>,
    pub(super) gone: HashSet<String>,
    pub(super) unregistered: BTreeMap<String, UnregisteredMachine>,
    pub(super) rentals: u64,
    pub(super) readers: Vec<oneshot::Sender<u64>>,
    pub(super) pacer: Pacer,
    /// How often the cloud may be called.
    pub(super) cloud_calls: TokenBucket,
    /// How often users' questions may cost a read of the store each: those about jobs that are neither unfinished nor known
    /// to be final or absent.
    pub(super) user_reads: TokenBucket,
    pub(super) due: Due,
    /// The changes that this node makes as the leader.
    pub(super) own_changes: RateMeter,
    /// What the leader last told of its changes, and when.
    leader_changes: Option<(f64, u64)>,
    /// When the last round of `pass` was.
    passed_at: u64,
}

impl ControllerState {
    /// A node that has yet to read the store.
    pub(super) fn new(settings: Settings, incarnation: u64, clock: Clock) -> ControllerState {
        let me = LeaderRecord {
            node: settings.platform.node.clone(),
            incarnation,
        };
        let ttl = millis(settings.operator.hold_s);
        let state = &settings.platform.deployment.state;
        let user_changes = users_share(state.write_rps, settings.platform.peers.len() + 1, None);
        let user_reads = state.rps * USER_READS / (settings.platform.peers.len() + 1) as f64;
        let cloud_rps = settings.platform.deployment.cloud.rps * CLOUD_SHARE;
        ControllerState {
            lead: Leadership::new(ttl, settings.grace_ms()),
            settings,
            clock,
            me,
            mirror: Mirror::default(),
            scheduler: None,
            fleet: Fleet::default(),
            types: Vec::new(),
            counts: HashMap::new(),
            peer_health: PeerHealth::default(),
            notices: CancellationNotices::default(),
            newest_epoch: 0,
            state_ok_at: 0,
            no_campaign_until: 0,
            leads_since: 0,
            unlogged: false,
            released: HashMap::new(),
            gone: HashSet::new(),
            unregistered: BTreeMap::new(),
            rentals: 0,
            readers: Vec::new(),
            pacer: Pacer::new(user_changes),
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
        self.lead.authority(self.now())
    }

    /// Whether what was decided in a term may still be sent. Asked again right before each send: the process may have stood
    /// still since the decision, while a cancellation was confirmed or another node began to lead.
    pub(super) fn may_send(&self, term: Option<Term>) -> bool {
        term.is_some() && self.term() == term && self.authority() == Authority::Full
    }

    /// Whether direct commands that were decided in a term may still be sent.
    pub(super) fn may_send_direct(&self, term: Option<Term>, direct: &Direct) -> bool {
        self.may_send(term)
            && self
                .scheduler
                .as_ref()
                .is_some_and(|s| s.still_wanted(direct))
    }

    /// The moment at which an answer to a worker that is decided now becomes void.
    pub(super) fn answer_valid_until(&self) -> Option<Instant> {
        let now = self.now();
        let left_ms = self.lead.authority_ends(now).saturating_sub(now);
        Instant::now().checked_add(Duration::from_millis(left_ms))
    }

    /// The term, while leading.
    pub(super) fn term(&self) -> Option<Term> {
        self.lead.term()
    }

    pub(super) fn free_to_claim(&self) -> bool {
        self.mirror.free_to_claim(&self.me)
    }

    pub(super) fn lead_event(&mut self, event: Event) {
        if self.lead.apply(event) && self.term().is_none() {
            self.scheduler = None;
            self.unregistered.clear();
            self.gone.clear();
        }
    }

    pub(super) fn take_types(&mut self, types: &[MachineType]) {
        self.types = types.to_vec();
        if let Some(p) = &mut self.scheduler {
            p.set_types(types);
        }
    }

    /// The mirror was read anew. True if the leader's key went away.
    pub(super) fn loaded(&mut self, fresh: Mirror) -> bool {
        let seen = self.mirror.replace(fresh);
        self.mirrored(seen)
    }

    /// A watch was answered. True if the leader's key went away.
    pub(super) fn watched(&mut self, revision: u64, events: &[wire::Event]) -> bool {
        let seen = self.mirror.apply(revision, events);
        self.mirrored(seen)
    }

    fn mirrored(&mut self, seen: Vec<MirrorChange>) -> bool {
        // What has changed is in the scheduler before any authority follows from it.
        let vacant = self.seen(seen);
        let revision = self.mirror.revision;
        self.lead_event(Event::Mirrored(revision));
        vacant
    }

    /// Takes in what has changed in the mirror. True if the leader's key went away.
    fn seen(&mut self, seen: Vec<MirrorChange>) -> bool {
        let mut vacant = false;
        let wall = self.wall();
        let now = self.now();
        for s in seen {
            match s {
                MirrorChange::Job(id) => {
                    let (Some(scheduler), Some(v)) =
                        (self.scheduler.as_mut(), self.mirror.live.get(&id))
                    else {
                        continue;
                    };
                    // Another's word of its cancellation may be here before the mirror has seen it come and go.
                    if self.mirror.over(&id).is_some() {
                        continue;
                    }
                    scheduler.at(now);
                    let done = done_rows(&self.mirror, &id);
                    scheduler.add_job(v.record.clone(), v.version, &done, wall, false);
                }
                MirrorChange::JobGone(id) => {
                    self.counts.remove(&id);
                    if let Some(scheduler) = self.scheduler.as_mut() {
                        scheduler.at(now);
                        scheduler.drop_job(&id);
                    }
                }
                MirrorChange::LeaderGone => vacant = true,
                MirrorChange::Catalogue => {
                    if let Some(c) = &self.mirror.catalogue {
                        let types = c.record.clone();
                        self.take_types(&types);
                    }
                }
            }
        }
        let number = self.mirror.epoch.as_ref().map_or(0, |e| e.record.number);
        self.newest_epoch = self.newest_epoch.max(number);
        if self
            .term()
            .is_some_and(|term| self.newest_epoch > term.epoch)
        {
            self.lead_event(Event::Ended);
        }
        vacant
    }

    /// Builds the scheduler of a new epoch from the store.
    pub(super) fn rebuild(&mut self, epoch: u64) {
        let (now, wall) = (self.now(), self.wall());
        let mut scheduler = Scheduler::new(Params::new(&self.settings), epoch, now);
        scheduler.set_types(&self.types);
        for h in self.mirror.rentals.values() {
            let h = &h.record;
            for machine in h.machines.iter().flatten() {
                scheduler.add_machine(machine, h.hardware(), Origin::Inherited);
            }
        }
        for (id, v) in &self.mirror.live {
            let ended = self.mirror.over(id).is_some();
            scheduler.add_job(
                v.record.clone(),
                v.version,
                &done_rows(&self.mirror, id),
                wall,
                ended,
            );
        }
        for (id, v) in &self.mirror.stopping {
            scheduler.add_job(
                v.record.clone(),
                v.version,
                &done_rows(&self.mirror, id),
                wall,
                true,
            );
        }
        scheduler.inherit(
            self.mirror
                .starts
                .iter()
                .map(|(slot, v)| (*slot, v.version, v.record.as_str())),
        );
        if self.unlogged {
            scheduler.wait_for_lease_expiry();
        }
        self.leads_since = now;
        let (jobs, rentals) = (self.mirror.live.len(), self.mirror.rentals.len());
        tracing::info!(
            epoch,
            jobs,
            rentals,
            unsettled = scheduler.unsettled(),
            "epoch begins"
        );
        self.scheduler = Some(scheduler);
    }

    pub(super) fn view(&self, id: &str) -> Option<JobView> {
        if let Some(over) = self.mirror.over(id) {
            return Some(over_view(id, over));
        }
        let counts = self
            .scheduler
            .as_ref()
            .and_then(|p| p.counts(id))
            .or(self.counts.get(id).copied());
        self.mirror.live.get(id)?;
        let (done, running) = counts.unwrap_or_default();
        let state = if running > 0 {
            JobState::Running
        } else {
            JobState::Queued
        };
        Some(JobView {
            id: id.into(),
            state,
            done: Some(done),
            running: Some(running),
        })
    }

    pub(super) fn own_view(&self) -> View {
        let counts = self
            .scheduler
            .as_ref()
            .filter(|_| self.authority() != Authority::None)
            .map(Scheduler::all_counts);
        let (node, revision) = (self.me.node.clone(), self.mirror.revision);
        let leader_changes_per_s = self.term().map(|_| self.own_changes.per_s(self.now()));
        View {
            node,
            epoch: self.newest_epoch,
            revision,
            state_ok: self.state_ok(),
            leader_changes_per_s,
            counts,
        }
    }

    pub(super) fn state_ok(&self) -> bool {
        self.now() < self.state_ok_at + 2500
    }

    pub(super) fn take_view(&mut self, v: View) {
        let now = self.now();
        if v.epoch > self.newest_epoch {
            self.newest_epoch = v.epoch;
        }
        if self
            .term()
            .is_some_and(|term| self.newest_epoch > term.epoch)
        {
            self.lead_event(Event::Ended);
        }
        if let Some(changes_per_s) = v
            .leader_changes_per_s
            .filter(|_| v.epoch >= self.newest_epoch)
        {
            self.leader_changes = Some((changes_per_s, now));
        }
        if let Some(counts) = v
            .counts
            .filter(|_| self.scheduler.is_none() && v.epoch >= self.newest_epoch)
        {
            self.counts = counts
                .into_iter()
                .map(|(id, done, running)| (id, (done, running)))
                .collect();
        }
        self.notices.mirrored(&v.node, v.revision);
        self.peer_health.told(v.node, v.state_ok, now);
    }

    /// Adjusts the pace of users' changes to what the leader leaves.
    pub(super) fn adjust_pace(&mut self) {
        let now = self.now();
        let fresh = self
            .leader_changes
            .filter(|(_, at)| now < at + LEADER_VIEW_TTL_MS)
            .map(|(changes, _)| changes);
        let leader = if self.term().is_some() {
            Some(self.own_changes.per_s(now))
        } else {
            fresh
        };
        let platform = &self.settings.platform;
        let most = users_share(
            platform.deployment.state.write_rps,
            platform.peers.len() + 1,
            leader,
        );
        self.pacer.set_most(most);
    }

    /// A cancellation is known to be durable, perhaps sooner than the mirror shows it: what runs of the job is stopped,
    /// nothing of it is started or believed to be done any more.
    pub(super) fn cancelled(&mut self, id: &str, tasks: u32) {
        let now = self.now();
        self.mirror.remember_over(
            id,
            OverRecord {
                cancelled: true,
                tasks,
            },
        );
        if let Some(scheduler) = self.scheduler.as_mut() {
            scheduler.at(now);
            scheduler.drop_job(id);
        }
    }

    /// A cancellation is durable at a revision; the others have to be told of it.
    pub(super) fn note_cancellation(&mut self, cancelled: CancelledJob) -> Notice {
        self.cancelled(&cancelled.job, cancelled.tasks);
        let known = self.notices.find(&cancelled.job);
        known.unwrap_or_else(|| self.notices.add(cancelled))
    }

    /// A final state that was read from the store. Where it is a cancellation that the leader may not know of yet, it has to
    /// be told.
    pub(super) fn learn_final_state(&mut self, id: &str, read: &Versioned<OverRecord>) {
        if read.record.cancelled && self.leader_may_miss(read.version) {
            let cancelled = CancelledJob {
                job: id.to_string(),
                tasks: read.record.tasks,
                revision: read.version,
            };
            self.note_cancellation(cancelled);
        } else {
            self.mirror.remember_over(id, read.record);
        }
    }

    /// Another node's word of cancellations; tells how far this one's mirror is. It is passed on: the path from that node
    /// to the leader may be cut, and a user whose request is repeated here is answered once the leader knows, too.
    pub(super) fn take_cancelled(&mut self, told: &Cancelled) -> u64 {
        for cancelled in told
            .jobs
            .iter()
            .filter(|cancelled| wire::job_id(&cancelled.job))
        {
            if self.leader_may_miss(cancelled.revision) {
                self.note_cancellation(cancelled.clone());
            } else {
                self.cancelled(&cancelled.job, cancelled.tasks);
            }
        }
        self.mirror.revision
    }

    /// The notice of a job's cancellation while a leader may not know of it.
    pub(super) fn unsettled_cancellation(&self, job: &str) -> Option<Notice> {
        self.notices
            .find(job)
            .filter(|notice| !self.stops_known(*notice))
    }

    /// Whether a leader may start tasks of a job whose cancellation became durable at a revision, for all that the mirrors
    /// tell: the leader of then may not have heard of it. A later one has read the store since.
    pub(super) fn leader_may_miss(&self, revision: u64) -> bool {
        let leader_misses = self.mirror.leader.as_ref().is_some_and(|leader| {
            leader.record != self.me
                && leader.version <= revision
                && self.notices.mirrored_by(&leader.record.node) < revision
        });
        self.mirror.revision < revision || leader_misses
    }

    /// Whether no leader can start anything any more of a job whose cancellation is durable: the leader of then has been
    /// told, or its leader lease has ended.
    pub(super) fn stops_known(&self, notice: Notice) -> bool {
        let told =
            |leader: &Versioned<LeaderRecord>| self.notices.was_told(&leader.record.node, notice);
        let mirrored = self.mirror.revision >= notice.revision();
        mirrored
            && (!self.leader_may_miss(notice.revision())
                || self.mirror.leader.as_ref().is_some_and(told))
    }

    /// Notes that this node runs. After it stood still, or had no processor, what it has not heard meanwhile says nothing of
    /// the state service and of the other nodes: a node that woke up once told the balancer that it was cut off.
    pub(super) fn notice_pause(&mut self) {
        let now = self.now();
        let gap = now.saturating_sub(self.passed_at);
        if self.passed_at > 0 && gap > PAUSE_MS {
            let pause = gap - TICK_MS;
            tracing::info!(pause, "stood still");
            self.state_ok_at = (self.state_ok_at + pause).min(now);
            self.peer_health.stood_still(pause, now);
        }
        self.passed_at = now;
    }

    /// Whether this node should get users: it is loaded, and if the state service does not answer it, then not it alone.
    /// A node that had lost the service and the others kept its users, and with its few connections was given more.
    pub(super) fn healthy(&self) -> bool {
        let alone = !self.settings.platform.peers.is_empty() && self.peer_health.alone(self.now());
        self.mirror.loaded && !self.types.is_empty() && (self.state_ok() || !alone)
    }

    pub(super) fn report(&mut self, r: &Report) -> WorkerAnswer {
        let now = self.now();
        let authority = self.authority();
        let leader = self.mirror.leader.as_ref().map(|l| l.record.node.clone());
        let elsewhere = |l: Option<String>, me: &str| match l.filter(|l| l != me) {
            Some(l) => WorkerAnswer::Elsewhere(Some(l)),
            None => WorkerAnswer::Later,
        };
        if authority == Authority::None {
            return elsewhere(leader, &self.me.node);
        }
        let Some(scheduler) = self.scheduler.as_mut() else {
            return WorkerAnswer::Later;
        };
        scheduler.at(now);
        match scheduler.report(
            r,
            Arrival::Report {
                may_start: authority == Authority::Full,
            },
        ) {
            ReportOutcome::Reply(reply) => WorkerAnswer::Reply(reply),
            ReportOutcome::Superseded => {
                self.lead_event(Event::Ended);
                WorkerAnswer::Later
            }
            ReportOutcome::UnregisteredMachine => {
                if !self.released.contains_key(&r.machine)
                    && self.unregistered.len() < UNREGISTERED_LIMIT
                {
                    let (machine_type, zone) = (r.machine_type.clone(), r.zone.clone());
                    let ask = Some((r.address.clone(), r.session));
                    self.unregistered.insert(
                        r.machine.clone(),
                        UnregisteredMachine {
                            machine_type,
                            zone,
                            spot: r.spot,
                            ask,
                        },
                    );
                }
                WorkerAnswer::Later
            }
        }
    }

    /// Whether a round should follow a report at once. Nothing follows from one that tells nothing new.
    pub(super) fn needs_pass(&self) -> bool {
        self.scheduler.as_ref().is_some_and(Scheduler::needs_pass)
    }

    /// The checks behind a 422.
    pub(super) fn impossible(&self, s: &JobSpec) -> Option<&'static str> {
        let Some(team) = self
            .settings
            .platform
            .deployment
            .teams
            .iter()
            .find(|t| t.name == s.team)
        else {
            return Some("unknown team");
        };
        let fits = self.types.iter().any(|t| {
            s.types.as_ref().is_none_or(|l| l.contains(&t.name))
                && s.zone.as_ref().is_none_or(|z| t.zones.contains(z))
                && s.cpus <= t.cpus
                && s.gpus <= t.gpus
                && s.memory_gb <= t.memory_gb
        });
        if !fits {
            return Some("no allowed machine type is large enough");
        }
        let at_once = if s.kind == Kind::Array {
            1.0
        } else {
            f64::from(s.tasks)
        };
        let over = |each: f64, most: f64| most > 0.0 && each * at_once > most + 1e-9;
        (over(s.cpus, team.cpus_max) || over(s.gpus, team.gpus_max))
            .then_some("more than the team's limit")
    }
}

pub(super) fn done_rows(mirror: &Mirror, job: &str) -> Vec<(u32, Vec<u8>)> {
    let from = (job.to_string(), 0);
    let rows = mirror.done.range(from..).take_while(|((j, _), _)| j == job);
    rows.map(|((_, chunk), v)| (*chunk, v.record.clone()))
        .collect()
}

pub(super) fn over_view(id: &str, over: OverRecord) -> JobView {
    let (state, done) = if over.cancelled {
        (JobState::Cancelled, 0)
    } else {
        (JobState::Done, over.tasks)
    };
    JobView {
        id: id.into(),
        state,
        done: Some(done),
        running: Some(0),
    }
}
