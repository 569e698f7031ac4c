//! What a node knows of the store: a mirror of it at one revision, kept by a watch.

use super::records::{record, text_to_bits};
use super::{
    EpochRecord, LeaderRecord, LiveRecord, OverRecord, RentalRecord, Revision, Versioned, ROOT,
};
use crate::protocol::{Event, MachineType};
use ciborium::Value;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Most entries of a `RecentMap`.
pub(super) const RECENT_LIMIT: usize = 20_000;

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
    pub revision: Revision,
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
    pub(super) absent: RecentMap<()>,
}

/// The entries of a map that were added last.
#[derive(Debug)]
pub(super) struct RecentMap<V> {
    pub(super) entries: HashMap<String, V>,
    /// Keys as they were added, the oldest first; some may have been removed since.
    pub(super) order: VecDeque<String>,
}

impl<V> Default for RecentMap<V> {
    fn default() -> Self {
        RecentMap {
            entries: HashMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl<V> RecentMap<V> {
    fn insert(&mut self, key: &str, value: V) {
        if self.entries.insert(key.to_string(), value).is_some() {
            return;
        }
        self.order.push_back(key.to_string());
        if self.order.len() > RECENT_LIMIT {
            if let Some(oldest) = self.order.pop_front() {
                self.entries.remove(&oldest);
            }
        }
    }
}

impl Mirror {
    /// Takes in one key read in a listing or a watch; older versions than the known one are ignored.
    pub fn put(
        &mut self,
        key: &str,
        value: &Value,
        version: Revision,
        seen: &mut Vec<MirrorChange>,
    ) {
        fn newer<T>(old: Option<&Versioned<T>>, version: Revision) -> bool {
            old.is_none_or(|o| o.version < version)
        }
        let Some(rest) = key.strip_prefix(ROOT) else {
            return;
        };
        let (family, name) = rest.split_once('/').unwrap_or((rest, ""));
        let known = match family {
            "live" => record::<LiveRecord>(value).map(|record| {
                if newer(self.live.get(name), version) {
                    self.absent.entries.remove(name);
                    self.live
                        .insert(name.to_string(), Versioned { record, version });
                    seen.push(MirrorChange::Job(name.to_string()));
                }
            }),
            "stopping" => record::<LiveRecord>(value).map(|record| {
                if newer(self.stopping.get(name), version) {
                    self.stopping
                        .insert(name.to_string(), Versioned { record, version });
                }
            }),
            "over" => record::<OverRecord>(value).map(|r| self.remember_over(name, r)),
            "done" => name.split_once('/').and_then(|(job, chunk)| {
                let chunk: u32 = chunk.parse().ok()?;
                let at = (job.to_string(), chunk);
                let bits = text_to_bits(&record::<String>(value)?)?;
                if newer(self.done.get(&at), version) {
                    self.done.insert(
                        at,
                        Versioned {
                            record: bits,
                            version,
                        },
                    );
                }
                Some(())
            }),
            "starts" => record::<String>(value).and_then(|text| {
                let slot: u32 = name.parse().ok()?;
                if newer(self.starts.get(&slot), version) {
                    self.starts.insert(
                        slot,
                        Versioned {
                            record: text,
                            version,
                        },
                    );
                }
                Some(())
            }),
            "hire" => {
                record::<RentalRecord>(value).map(|record| self.put_rental(name, record, version))
            }
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
    pub fn put_rental(&mut self, name: &str, record: RentalRecord, version: Revision) {
        if self
            .rentals
            .get(name)
            .is_none_or(|known| known.version < version)
        {
            self.rentals
                .insert(name.to_string(), Versioned { record, version });
        }
    }

    fn delete(&mut self, key: &str, version: Revision, seen: &mut Vec<MirrorChange>) {
        let Some(rest) = key.strip_prefix(ROOT) else {
            return;
        };
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
            // One that brought no machines was taken in by `put_rental` with the version of its own deletion.
            "hire" if self.rentals.get(name).is_some_and(|v| v.version <= version) => {
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
    pub fn apply(&mut self, revision: Revision, events: &[Event]) -> Vec<MirrorChange> {
        let mut seen = Vec::new();
        for event in events {
            match event {
                Event::Put {
                    put,
                    value,
                    version,
                } => self.put(put, value, *version, &mut seen),
                Event::Delete { key, version } => self.delete(key, *version, &mut seen),
            }
        }
        self.revision = self.revision.max(revision);
        seen
    }

    /// Whether leadership may be claimed: nobody leads, or a node's own last process. That one's leader lease need not be waited
    /// for: what it may have started is in the log, and what it wrote last carries its epoch.
    #[must_use]
    pub fn free_to_claim(&self, me: &LeaderRecord) -> bool {
        self.leader
            .as_ref()
            .is_none_or(|l| l.record.ended_before(me))
    }

    /// Remembers a final state. Final states never change, so the memory may be forgetful but never wrong.
    pub fn remember_over(&mut self, job: &str, record: OverRecord) {
        self.absent.entries.remove(job);
        self.over.insert(job, record);
    }

    /// The store had no final state of a job, asked when this mirror was of a generation. If it still is, the watch has brought
    /// and will bring whatever becomes of the job, so that the store need not be asked again.
    pub fn remember_absent(&mut self, job: &str, generation: u64) {
        if self.generation == generation && !self.live.contains_key(job) && self.over(job).is_none()
        {
            self.absent.insert(job, ());
        }
    }

    /// Whether a job is known not to exist at the mirror's revision.
    #[must_use]
    pub fn absent(&self, job: &str) -> bool {
        self.absent.entries.contains_key(job)
    }

    /// A final state, if it is remembered.
    #[must_use]
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
