//! The state service: keys, records, a mirror of them kept by a watch, and the client.
//!
//! Keys live below one root so that several tenants can have one each later.

#[cfg(test)]
mod tests;

use crate::protocol::{self as wire, Change, Event, Guard, Item, JobSpec, MachineType, Txn};
use crate::scheduler::{Append, Hardware};
use ciborium::Value;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Everything of this deployment is below this prefix.
pub const ROOT: &str = "hollowswitch/";
/// Tasks covered by one progress record: its text stays near 1 KiB, well below any value limit.
pub const CHUNK: u32 = 4096;
/// Most entries of a `RecentMap`.
const RECENT: usize = 20_000;

/// Key of the leader's record, attached to its lease.
pub fn leader_key() -> String {
    format!("{ROOT}leader")
}
/// Key of the epoch record.
pub fn epoch_key() -> String {
    format!("{ROOT}epoch")
}
/// Key of the machine types last seen.
pub fn catalogue_key() -> String {
    format!("{ROOT}catalogue")
}
/// Key of an unfinished job.
pub fn live_key(job: &str) -> String {
    format!("{ROOT}live/{job}")
}
/// The unfinished job whose key this is.
pub fn live_job(key: &str) -> Option<&str> {
    key.strip_prefix(ROOT)?.strip_prefix("live/")
}
/// Key of a cancelled job of which tasks may still be somewhere.
pub fn stopping_key(job: &str) -> String {
    format!("{ROOT}stopping/{job}")
}
/// Key of a finished job.
pub fn over_key(job: &str) -> String {
    format!("{ROOT}over/{job}")
}
/// Key of a range of finished tasks.
pub fn done_key(job: &str, chunk: u32) -> String {
    format!("{ROOT}done/{job}/{chunk}")
}
/// Key of a slot of the start log.
pub fn starts_key(slot: u32) -> String {
    format!("{ROOT}starts/{slot}")
}
/// Key of a rental request and its machines.
pub fn rental_key(rental: &str) -> String {
    format!("{ROOT}hire/{rental}")
}

/// An unfinished job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LiveRecord {
    /// The job.
    pub spec: JobSpec,
    /// Time of day of the submission, in milliseconds.
    pub at_ms: u64,
}

/// A finished job; final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverRecord {
    /// Whether its user cancelled it.
    pub cancelled: bool,
    /// Its number of tasks.
    pub tasks: u32,
}

/// The node that leads, attached to its leader lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Node.
    pub node: String,
    /// Its incarnation: another one after every start of the process.
    pub incarnation: u64,
}

impl LeaderRecord {
    /// Whether this was an earlier process of the same node: one that has ended, since this one runs. It is told apart by
    /// its incarnation, so that its key and leader lease are never taken for one's own.
    pub fn ended_before(&self, me: &LeaderRecord) -> bool {
        self.node == me.node && self.incarnation != me.incarnation
    }
}

/// The current epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Number; grows by one with every change.
    pub number: u64,
    /// Who leads it.
    pub leader: LeaderRecord,
    /// Its members, among which the machines are divided.
    pub members: Vec<LeaderRecord>,
    /// Whether its leader keeps the start log: versions before it did not, and their new leader has to outwait every lease.
    #[serde(default)]
    pub logs_starts: bool,
}

/// A rental request, written before the cloud is called, and the machines it brought.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentalRecord {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot machines.
    pub spot: bool,
    /// How many were asked for.
    pub count: u32,
    /// Machines; none while the answer is unknown.
    pub machines: Option<Vec<String>>,
}

impl RentalRecord {
    /// What its machines are.
    pub fn hardware(&self) -> Hardware<'_> {
        Hardware { machine_type: &self.machine_type, zone: &self.zone, spot: self.spot }
    }
}

/// A versioned record.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The record.
    pub record: T,
    /// Version of its key.
    pub version: u64,
}

/// What a change of the mirror means to its node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorChange {
    /// A job appeared.
    Job(String),
    /// A job is no longer unfinished.
    JobGone(String),
    /// The leader key went away.
    LeaderGone,
    /// The machine types changed.
    Catalogue,
}

/// The mirror of the store at one revision.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Whether the store has been read.
    pub loaded: bool,
    /// How often it was replaced by a fresh one: in between the watch has brought every change.
    pub generation: u64,
    /// Revision up to which changes are in; an empty store has 0.
    pub revision: u64,
    /// Unfinished jobs.
    pub live: BTreeMap<String, Versioned<LiveRecord>>,
    /// Cancelled jobs of which tasks may still be somewhere.
    pub stopping: BTreeMap<String, Versioned<LiveRecord>>,
    /// Finished tasks by job and chunk.
    pub done: BTreeMap<(String, u32), Versioned<Vec<u8>>>,
    /// The start log by slot, as text: only a new leader reads it.
    pub starts: BTreeMap<u32, Versioned<String>>,
    /// Hires.
    pub rentals: BTreeMap<String, Versioned<RentalRecord>>,
    /// Leader.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// Epoch.
    pub epoch: Option<Versioned<EpochRecord>>,
    /// Machine types.
    pub catalogue: Option<Versioned<Vec<MachineType>>>,
    over: RecentMap<OverRecord>,
    /// Jobs that did not exist when the store was asked, and of which the watch has brought nothing since.
    absent: RecentMap<()>,
}

/// The entries of a map that were added last.
#[derive(Debug)]
struct RecentMap<V> {
    entries: HashMap<String, V>,
    /// Keys as they were added, the oldest first; some may have been removed since.
    order: VecDeque<String>,
}

impl<V> Default for RecentMap<V> {
    fn default() -> Self {
        RecentMap { entries: HashMap::new(), order: VecDeque::new() }
    }
}

impl<V> RecentMap<V> {
    fn insert(&mut self, key: &str, value: V) {
        if self.entries.insert(key.to_string(), value).is_some() {
            return;
        }
        self.order.push_back(key.to_string());
        if self.order.len() > RECENT {
            if let Some(oldest) = self.order.pop_front() {
                self.entries.remove(&oldest);
            }
        }
    }
}

fn record<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}

/// Bits as text: the store takes nothing binary.
pub fn bits_to_text(bits: &[u8]) -> String {
    bits.iter().fold(String::with_capacity(bits.len() * 2), |mut s, b| {
        for n in [b >> 4, b & 15] {
            s.push(char::from_digit(n as u32, 16).unwrap_or('0'));
        }
        s
    })
}

fn text_to_bits(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text.chars().map(|c| c.to_digit(16).map(|d| d as u8)).collect();
    let digits = digits?;
    (digits.len() % 2 == 0 && digits.len() <= CHUNK as usize / 4)
        .then(|| digits.chunks(2).map(|p| p[0] << 4 | p[1]).collect())
}

impl Mirror {
    /// Takes in one key read in a listing or a watch; older versions than the known one are ignored.
    pub fn put(&mut self, key: &str, value: &Value, version: u64, seen: &mut Vec<MirrorChange>) {
        fn newer<T>(old: Option<&Versioned<T>>, version: u64) -> bool {
            old.is_none_or(|o| o.version < version)
        }
        let Some(rest) = key.strip_prefix(ROOT) else { return };
        let (family, name) = rest.split_once('/').unwrap_or((rest, ""));
        let known = match family {
            "live" => record::<LiveRecord>(value).map(|record| {
                if newer(self.live.get(name), version) {
                    self.absent.entries.remove(name);
                    self.live.insert(name.to_string(), Versioned { record, version });
                    seen.push(MirrorChange::Job(name.to_string()));
                }
            }),
            "stopping" => record::<LiveRecord>(value).map(|record| {
                if newer(self.stopping.get(name), version) {
                    self.stopping.insert(name.to_string(), Versioned { record, version });
                }
            }),
            "over" => record::<OverRecord>(value).map(|r| self.remember_over(name, r)),
            "done" => name.split_once('/').and_then(|(job, chunk)| {
                let chunk: u32 = chunk.parse().ok()?;
                let at = (job.to_string(), chunk);
                let bits = text_to_bits(&record::<String>(value)?)?;
                if newer(self.done.get(&at), version) {
                    self.done.insert(at, Versioned { record: bits, version });
                }
                Some(())
            }),
            "starts" => record::<String>(value).and_then(|text| {
                let slot: u32 = name.parse().ok()?;
                if newer(self.starts.get(&slot), version) {
                    self.starts.insert(slot, Versioned { record: text, version });
                }
                Some(())
            }),
            "hire" => record::<RentalRecord>(value).map(|record| self.put_rental(name, record, version)),
            "leader" => record::<LeaderRecord>(value).map(|record| {
                if newer(self.leader.as_ref(), version) {
                    self.leader = Some(Versioned { record, version });
                }
            }),
            "epoch" => record::<EpochRecord>(value).map(|record| {
                if newer(self.epoch.as_ref(), version) {
                    self.epoch = Some(Versioned { record, version });
                }
            }),
            "catalogue" => record::<Vec<MachineType>>(value).map(|record| {
                if newer(self.catalogue.as_ref(), version) {
                    self.catalogue = Some(Versioned { record, version });
                    seen.push(MirrorChange::Catalogue);
                }
            }),
            _ => None,
        };
        if known.is_none() {
            tracing::error!(key, "record not understood, left alone");
        }
    }

    /// Takes in a rental request, read or just written by this node; a version older than the known one is ignored.
    pub fn put_rental(&mut self, name: &str, record: RentalRecord, version: u64) {
        if self.rentals.get(name).is_none_or(|known| known.version < version) {
            self.rentals.insert(name.to_string(), Versioned { record, version });
        }
    }

    fn delete(&mut self, key: &str, version: u64, seen: &mut Vec<MirrorChange>) {
        let Some(rest) = key.strip_prefix(ROOT) else { return };
        let (family, name) = rest.split_once('/').unwrap_or((rest, ""));
        match family {
            "live" if self.live.get(name).is_some_and(|v| v.version < version) => {
                self.live.remove(name);
                seen.push(MirrorChange::JobGone(name.to_string()));
            }
            "stopping" if self.stopping.get(name).is_some_and(|v| v.version < version) => {
                self.stopping.remove(name);
            }
            "done" => {
                if let Some((job, chunk)) = name.split_once('/') {
                    let at = (job.to_string(), chunk.parse().unwrap_or(u32::MAX));
                    if self.done.get(&at).is_some_and(|v| v.version < version) {
                        self.done.remove(&at);
                    }
                }
            }
            "starts" => {
                let slot = name.parse().unwrap_or(u32::MAX);
                if self.starts.get(&slot).is_some_and(|v| v.version < version) {
                    self.starts.remove(&slot);
                }
            }
            "hire" if self.rentals.get(name).is_some_and(|v| v.version < version) => {
                self.rentals.remove(name);
            }
            "leader" if self.leader.as_ref().is_some_and(|v| v.version < version) => {
                self.leader = None;
                seen.push(MirrorChange::LeaderGone);
            }
            _ => {}
        }
    }

    /// Takes in the changes of a watch.
    pub fn apply(&mut self, revision: u64, events: &[Event]) -> Vec<MirrorChange> {
        let mut seen = Vec::new();
        for event in events {
            match event {
                Event::Put { put, value, version } => self.put(put, value, *version, &mut seen),
                Event::Delete { key, version } => self.delete(key, *version, &mut seen),
            }
        }
        self.revision = self.revision.max(revision);
        seen
    }

    /// Whether leadership may be claimed: nobody leads, or a node's own last process. That one's leader lease need not be waited
    /// for: what it may have started is in the log, and what it wrote last carries its epoch.
    pub fn free_to_claim(&self, me: &LeaderRecord) -> bool {
        self.leader.as_ref().is_none_or(|l| l.record.ended_before(me))
    }

    /// Remembers a final state. Final states never change, so the memory may be forgetful but never wrong.
    pub fn remember_over(&mut self, job: &str, record: OverRecord) {
        self.absent.entries.remove(job);
        self.over.insert(job, record);
    }

    /// The store had no final state of a job, asked when this mirror was of a generation. If it still is, the watch has brought
    /// and will bring whatever becomes of the job, so that the store need not be asked again.
    pub fn remember_absent(&mut self, job: &str, generation: u64) {
        if self.generation == generation && !self.live.contains_key(job) && self.over(job).is_none() {
            self.absent.insert(job, ());
        }
    }

    /// Whether a job is known not to exist at the mirror's revision.
    pub fn absent(&self, job: &str) -> bool {
        self.absent.entries.contains_key(job)
    }

    /// A final state, if it is remembered.
    pub fn over(&self, job: &str) -> Option<OverRecord> {
        self.over.entries.get(job).copied()
    }

    /// Replaces the mirror by a fresh one, telling what differs.
    pub fn replace(&mut self, mut fresh: Mirror) -> Vec<MirrorChange> {
        let mut seen = Vec::new();
        for job in self.live.keys().filter(|j| !fresh.live.contains_key(*j)) {
            seen.push(MirrorChange::JobGone(job.clone()));
        }
        for job in fresh.live.keys().filter(|j| !self.live.contains_key(*j)) {
            seen.push(MirrorChange::Job(job.clone()));
        }
        if self.leader.is_some() && fresh.leader.is_none() {
            seen.push(MirrorChange::LeaderGone);
        }
        seen.push(MirrorChange::Catalogue);
        // What was absent may have come and gone unseen; final states never change.
        for job in std::mem::take(&mut self.over.order) {
            if let Some(r) = self.over.entries.remove(&job) {
                fresh.remember_over(&job, r);
            }
        }
        fresh.generation = self.generation + 1;
        *self = fresh;
        seen
    }
}

/// A guard.
pub fn guard(key: String, version: u64) -> Guard {
    Guard { key, version }
}

/// A put of a record.
pub fn put<T: Serialize>(key: String, record: &T, lease: Option<u64>) -> Change {
    // The records of this module are plain maps; `Null` would be refused by every reader above.
    Change::Put { put: key, value: Value::serialized(record).unwrap_or(Value::Null), lease }
}

/// Claims the next epoch under a leader lease; nothing if somebody leads. That is asked of the same mirror as the guards are: a
/// node whose mirror had meanwhile shown it another's claim once took the leadership from it, with its leader lease still running.
pub fn claim_txn(mirror: &Mirror, me: &LeaderRecord, lease: u64) -> Option<(Txn, EpochRecord)> {
    if !mirror.free_to_claim(me) {
        return None;
    }
    let epoch = mirror.epoch.as_ref();
    let number = epoch.map_or(0, |e| e.record.number) + 1;
    let record = EpochRecord { number, leader: me.clone(), members: vec![me.clone()], logs_starts: true };
    let leader = mirror.leader.as_ref().map_or(0, |l| l.version);
    let txn = Txn {
        guards: vec![guard(leader_key(), leader), guard(epoch_key(), epoch.map_or(0, |e| e.version))],
        apply: vec![put(leader_key(), me, Some(lease)), put(epoch_key(), &record, None)],
    };
    Some((txn, record))
}

/// Accepts a job that is neither unfinished nor finished.
pub fn submit_txn(id: &str, record: &LiveRecord) -> Txn {
    Txn { guards: vec![guard(live_key(id), 0), guard(over_key(id), 0)], apply: vec![put(live_key(id), record, None)] }
}

/// Cancels an unfinished job. Its record is kept among those being stopped until none of its tasks can be anywhere.
pub fn abort_txn(id: &str, live: &Versioned<LiveRecord>) -> Txn {
    let over = OverRecord { cancelled: true, tasks: live.record.spec.tasks };
    Txn {
        guards: vec![guard(live_key(id), live.version), guard(over_key(id), 0)],
        apply: vec![
            Change::Delete { key: live_key(id) },
            put(stopping_key(id), &live.record, None),
            put(over_key(id), &over, None),
        ],
    }
}

/// Makes a job with every task done final, in the leader's epoch.
pub fn complete_txn(epoch: &Guard, id: &str, version: u64, tasks: u32) -> Txn {
    let over = OverRecord { cancelled: false, tasks };
    Txn {
        guards: vec![epoch.clone(), guard(live_key(id), version), guard(over_key(id), 0)],
        apply: vec![Change::Delete { key: live_key(id) }, put(over_key(id), &over, None)],
    }
}

/// Writes a rental in the leader's epoch: a new one (`version` 0) or an answered one; without machines it is dropped.
pub fn rental_txn(epoch: &Guard, name: &str, version: u64, record: &RentalRecord) -> Txn {
    let key = rental_key(name);
    let empty = record.machines.as_ref().is_some_and(|m| m.is_empty());
    let change = if empty { Change::Delete { key: key.clone() } } else { put(key.clone(), record, None) };
    Txn { guards: vec![epoch.clone(), guard(key, version)], apply: vec![change] }
}

/// Makes starts durable in a slot of the start log, in the leader's epoch, and only while each of their jobs is unfinished:
/// of a job whose cancellation is durable nothing is logged any more, and so nothing sent.
pub fn log_txn(epoch: &Guard, append: &Append) -> Txn {
    let key = starts_key(append.slot);
    let mut guards = vec![epoch.clone(), guard(key.clone(), append.version)];
    guards.extend(append.jobs.iter().map(|(id, version)| guard(live_key(id), *version)));
    Txn { guards, apply: vec![put(key, &append.text, None)] }
}

/// How a call to the state service can end without an answer to rely on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Over the rate; surely not executed (429).
    #[error("busy")]
    Busy,
    /// Refused and surely not executed (503).
    #[error("refused")]
    Refused,
    /// No answer: executed, or to be executed later, or not at all.
    #[error("no answer")]
    Unknown,
    /// The thing asked for does not exist or no longer does (404, 410, no such lease).
    #[error("gone")]
    Gone,
}

/// The outcome of a transaction that was decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decided {
    /// Applied at this revision.
    Applied(u64),
    /// Conditions failed, for these keys.
    Failed(Vec<String>),
}

/// The state service's client.
#[derive(Clone)]
pub struct StoreClient {
    http: awc::Client,
    base: String,
}

/// Time allowed for an ordinary call.
const CALL: Duration = Duration::from_millis(1500);
const ANSWER_LIMIT: usize = 16 << 20;

impl StoreClient {
    /// A client of the service at `addr`.
    pub fn new(http: awc::Client, addr: SocketAddr) -> Self {
        StoreClient { http, base: format!("http://{addr}") }
    }

    async fn call(
        &self,
        method: awc::http::Method,
        path: &str,
        body: Option<Vec<u8>>,
        within: Duration,
    ) -> Result<(u16, Vec<u8>), StoreError> {
        let answer = crate::worker::exchange(
            &self.http,
            method,
            &format!("{}{path}", self.base),
            body,
            within,
            ANSWER_LIMIT,
            false,
        )
        .await
        .ok_or(StoreError::Unknown)?;
        match answer.0 {
            429 => Err(StoreError::Busy),
            503 => Err(StoreError::Refused),
            404 | 410 => Err(StoreError::Gone),
            _ => Ok(answer),
        }
    }

    async fn read<T: DeserializeOwned>(&self, path: &str, within: Duration) -> Result<T, StoreError> {
        let (status, body) = self.call(awc::http::Method::GET, path, None, within).await?;
        if status != 200 {
            return Err(StoreError::Unknown);
        }
        wire::decode(&body).ok_or(StoreError::Unknown)
    }

    async fn post(&self, path: &str, body: Vec<u8>, within: Duration) -> Result<(u16, Vec<u8>), StoreError> {
        self.call(awc::http::Method::POST, path, Some(body), within).await
    }

    /// Reads a key; `Gone` if it does not exist.
    pub async fn get<T: DeserializeOwned>(&self, key: &str) -> Result<Versioned<T>, StoreError> {
        let item: Item = self.read(&format!("/keys/{key}"), CALL).await?;
        let record = record(&item.value).ok_or(StoreError::Unknown)?;
        Ok(Versioned { record, version: item.version })
    }

    /// Runs a transaction.
    pub async fn txn(&self, txn: &Txn) -> Result<Decided, StoreError> {
        let (status, body) = self.post("/multi", wire::encode(txn), CALL).await?;
        let reply = wire::decode::<wire::TxnReply>(&body);
        match (status, reply) {
            (200, Some(r)) => Ok(Decided::Applied(r.revision)),
            (409, Some(r)) => Ok(Decided::Failed(r.failed)),
            (400, _) => Err(StoreError::Gone),
            _ => Err(StoreError::Unknown),
        }
    }

    /// Runs a compare-only transaction for the revision it tells, whatever it finds.
    pub async fn barrier(&self, txn: &Txn) -> Result<u64, StoreError> {
        let (status, body) = self.post("/multi", wire::encode(txn), CALL).await?;
        match (status, wire::decode::<wire::TxnReply>(&body)) {
            (200 | 409, Some(r)) => Ok(r.revision),
            _ => Err(StoreError::Unknown),
        }
    }

    /// Opens a lease.
    pub async fn open_lease(&self, ttl_ms: u64) -> Result<u64, StoreError> {
        let (status, body) = self.post("/holds", wire::encode(&wire::LeaseRequest { ttl_ms }), CALL).await?;
        match (status, wire::decode::<wire::LeaseReply>(&body)) {
            (200, Some(r)) => Ok(r.lease),
            _ => Err(StoreError::Unknown),
        }
    }

    /// Renews a lease.
    pub async fn renew(&self, lease: u64, within: Duration) -> Result<(), StoreError> {
        match self.post(&format!("/holds/{lease}/extend"), Vec::new(), within).await?.0 {
            200 => Ok(()),
            _ => Err(StoreError::Unknown),
        }
    }

    /// Gives a lease up.
    pub async fn close_lease(&self, lease: u64) {
        let _ = self.call(awc::http::Method::DELETE, &format!("/holds/{lease}"), None, CALL).await;
    }

    /// Waits for changes after a revision.
    pub async fn watch(&self, after: u64, hold_ms: u64) -> Result<wire::Watched, StoreError> {
        let path = format!("/watch?starts={ROOT}&after={after}&holdMs={hold_ms}");
        self.read(&path, Duration::from_millis(hold_ms) + CALL).await
    }

    /// Reads everything that a mirror holds; final states are read only when asked for.
    pub async fn load(&self) -> Result<Mirror, StoreError> {
        let mut mirror = Mirror::default();
        let mut first = None;
        let mut seen = Vec::new();
        for family in ["catalogue", "done/", "epoch", "hire/", "leader", "live/", "starts/", "stopping/"] {
            let mut after = String::new();
            loop {
                let path = format!("/keys?starts={ROOT}{family}&after={after}&limit=200");
                let page: wire::Page = self.read(&path, CALL * 2).await?;
                // Changes between the pages are seen by the watch, which begins at the first page's revision.
                first.get_or_insert(page.revision);
                for item in &page.items {
                    mirror.put(&item.key, &item.value, item.version, &mut seen);
                }
                match page.items.last() {
                    Some(last) if page.more => after = last.key.clone(),
                    _ => break,
                }
            }
        }
        mirror.revision = first.unwrap_or(0);
        mirror.loaded = true;
        Ok(mirror)
    }
}
