//! A replica of the store in the memory of a controller, which a watch keeps up to date.
//!
//! The replica is a cache and may lag behind the store. Writes that are based on it therefore have guards on the versions that
//! it contained. Changes may arrive repeatedly or out of order: versions of a key that are not newer than the known one are
//! ignored.

use super::keys::{Key, KeyError};
use super::recent_map::RecentMap;
use super::records::{decode_record, hex_to_bitmap};
use super::{EpochRecord, FinalRecord, JobRecord, LeaderRecord, RentalRecord, Revision, Versioned};
use crate::protocol::{Event, MachineType};
use ciborium::Value;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;

/// A change of the replica that the controller has to act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaChange {
    /// An unfinished job was added, or its record was rewritten.
    JobAdded {
        /// Id of the job.
        job: String,
    },
    /// A job is no longer unfinished, because it is done or was cancelled.
    JobRemoved {
        /// Id of the job.
        job: String,
    },
    /// The leader key was deleted: leadership is vacant.
    LeaderRemoved,
    /// The machine types were rewritten, or the replica was replaced.
    CatalogueChanged,
}

/// A replica of the store.
#[derive(Debug, Default)]
pub struct Replica {
    /// Whether the replica has been loaded from the store.
    pub initialized: bool,
    /// Number of times the replica was replaced by a newly loaded one. Within a generation, the watch delivers every change.
    pub generation: u64,
    /// Revision up to which the replica contains every change.
    pub revision: Revision,
    /// Unfinished jobs by id.
    pub live: BTreeMap<String, Versioned<JobRecord>>,
    /// Cancelled jobs whose tasks may still run, by id.
    pub stopping: BTreeMap<String, Versioned<JobRecord>>,
    /// Bitmaps of finished tasks, by job and chunk.
    pub done: BTreeMap<(String, u32), Versioned<Vec<u8>>>,
    /// Texts of the start log, by slot. Only a new leader reads them.
    pub start_log: BTreeMap<u32, Versioned<String>>,
    /// Rental requests and their machines, by name of the request.
    pub rentals: BTreeMap<String, Versioned<RentalRecord>>,
    /// The leader, or `None` while leadership is vacant.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The current epoch, or the last one while leadership is vacant.
    pub epoch: Option<Versioned<EpochRecord>>,
    /// The machine types that the cloud offers.
    pub catalogue: Option<Versioned<Vec<MachineType>>>,
    /// Final states of jobs that users polled or that ended recently.
    final_states: RecentMap<FinalRecord>,
    /// Jobs that did not exist when the store was read, and that the watch has not added since.
    pub(super) absent: RecentMap<()>,
}

/// Reports whether a version of a key is newer than the known record, if there is one.
fn is_newer<T>(known: Option<&Versioned<T>>, version: Revision) -> bool {
    known.is_none_or(|known| known.version < version)
}

/// Reports whether a deletion is newer than the known record of a key. An older one deleted a record that the known one has
/// replaced.
fn removal_applies<T>(known: Option<&Versioned<T>>, removed_at: Revision) -> bool {
    known.is_some_and(|known| known.version < removed_at)
}

/// Inserts a record if it is newer than the known one, and returns whether it was inserted.
fn insert_if_newer<T>(
    records: &mut BTreeMap<String, Versioned<T>>,
    name: &str,
    record: T,
    version: Revision,
) -> bool {
    let newer = is_newer(records.get(name), version);
    if newer {
        records.insert(name.to_string(), Versioned { record, version });
    }
    newer
}

/// Decodes the record of a family with a single key, and replaces the known one if the record is newer. Returns whether it was
/// replaced, or `None` if the record cannot be decoded.
fn replace_if_newer<T: DeserializeOwned>(
    known: &mut Option<Versioned<T>>,
    value: &Value,
    version: Revision,
) -> Option<bool> {
    let record = decode_record(value)?;
    let newer = is_newer(known.as_ref(), version);
    if newer {
        *known = Some(Versioned { record, version });
    }
    Some(newer)
}

impl Replica {
    /// Applies a key that was read from a page or delivered by a watch, and appends the resulting changes to `changes`. A version
    /// that is not newer than the known one is ignored. A record that cannot be decoded is logged and ignored.
    pub fn put(
        &mut self,
        key: &str,
        value: &Value,
        version: Revision,
        changes: &mut Vec<ReplicaChange>,
    ) {
        let decoded = match Key::parse(key) {
            Ok(parsed) => self.put_record(parsed, value, version, changes),
            Err(KeyError::OutsideRoot) => return,
            Err(KeyError::Unknown) => None,
        };
        if decoded.is_none() {
            tracing::error!(key, "record not understood, left alone");
        }
    }

    /// Applies the record of a parsed key. Returns `None` if the value is not a record of the key's family.
    fn put_record(
        &mut self,
        key: Key,
        value: &Value,
        version: Revision,
        changes: &mut Vec<ReplicaChange>,
    ) -> Option<()> {
        match key {
            Key::Leader => {
                replace_if_newer(&mut self.leader, value, version)?;
            }
            Key::Epoch => {
                replace_if_newer(&mut self.epoch, value, version)?;
            }
            Key::Catalogue => {
                if replace_if_newer(&mut self.catalogue, value, version)? {
                    changes.push(ReplicaChange::CatalogueChanged);
                }
            }
            Key::Live(job) => {
                if insert_if_newer(&mut self.live, job, decode_record(value)?, version) {
                    self.absent.remove(job);
                    let job = job.to_string();
                    changes.push(ReplicaChange::JobAdded { job });
                }
            }
            Key::Stopping(job) => {
                insert_if_newer(&mut self.stopping, job, decode_record(value)?, version);
            }
            Key::Final(job) => self.remember_final(job, decode_record(value)?),
            Key::Done { job, chunk } => self.put_done(job, chunk, value, version)?,
            Key::StartLog(slot) => self.put_start_log_slot(slot, value, version)?,
            Key::Rental(request) => self.put_rental(request, decode_record(value)?, version),
        }
        Some(())
    }

    fn put_done(&mut self, job: &str, chunk: u32, value: &Value, version: Revision) -> Option<()> {
        let bits = hex_to_bitmap(&decode_record::<String>(value)?)?;
        let key = (job.to_string(), chunk);
        if is_newer(self.done.get(&key), version) {
            let record = bits;
            self.done.insert(key, Versioned { record, version });
        }
        Some(())
    }

    fn put_start_log_slot(&mut self, slot: u32, value: &Value, version: Revision) -> Option<()> {
        let record = decode_record(value)?;
        if is_newer(self.start_log.get(&slot), version) {
            self.start_log.insert(slot, Versioned { record, version });
        }
        Some(())
    }

    /// Applies a rental request that was read from the store or just written by this controller. A version that is not newer than
    /// the known one is ignored, since the watch may lag behind this controller's own write. If it took effect, the request
    /// would seem unanswered and be sent to the cloud a second time.
    pub fn put_rental(&mut self, request: &str, record: RentalRecord, version: Revision) {
        insert_if_newer(&mut self.rentals, request, record, version);
    }

    fn remove(&mut self, key: &str, removed_at: Revision, changes: &mut Vec<ReplicaChange>) {
        let Ok(key) = Key::parse(key) else {
            return;
        };
        match key {
            Key::Leader if removal_applies(self.leader.as_ref(), removed_at) => {
                self.leader = None;
                changes.push(ReplicaChange::LeaderRemoved);
            }
            Key::Live(job) if removal_applies(self.live.get(job), removed_at) => {
                self.live.remove(job);
                let job = job.to_string();
                changes.push(ReplicaChange::JobRemoved { job });
            }
            Key::Stopping(job) if removal_applies(self.stopping.get(job), removed_at) => {
                self.stopping.remove(job);
            }
            Key::Done { job, chunk } => {
                let key = (job.to_string(), chunk);
                if removal_applies(self.done.get(&key), removed_at) {
                    self.done.remove(&key);
                }
            }
            Key::StartLog(slot) if removal_applies(self.start_log.get(&slot), removed_at) => {
                self.start_log.remove(&slot);
            }
            Key::Rental(request) => self.remove_rental(request, removed_at),
            // An outdated deletion, or a key that is never deleted: a final state, the epoch or the machine types.
            _ => {}
        }
    }

    /// Removes a rental request. Unlike other records it is removed by a deletion of the same version: the transaction that
    /// records that no machines were rented deletes the key, and its revision was passed to `put_rental`.
    fn remove_rental(&mut self, request: &str, removed_at: Revision) {
        let known = self.rentals.get(request);
        if known.is_some_and(|known| known.version <= removed_at) {
            self.rentals.remove(request);
        }
    }

    /// Applies the events of a watch, which are complete up to `revision`, and returns the resulting changes.
    pub fn apply(&mut self, revision: Revision, events: &[Event]) -> Vec<ReplicaChange> {
        let mut changes = Vec::new();
        for event in events {
            match event {
                Event::Put {
                    put,
                    value,
                    version,
                } => self.put(put, value, *version, &mut changes),
                Event::Delete { key, version } => self.remove(key, *version, &mut changes),
            }
        }
        self.revision = self.revision.max(revision);
        changes
    }

    /// Reports whether `candidate` may claim leadership: there is no leader, or the leader is an earlier process of the same
    /// controller. The leader lease of that process need not expire first, since every task that it may have started is in the
    /// start log, and its late writes fail on the guard on its epoch.
    #[must_use]
    pub fn may_claim_leadership(&self, candidate: &LeaderRecord) -> bool {
        self.leader
            .as_ref()
            .is_none_or(|leader| leader.record.is_previous_incarnation_of(candidate))
    }

    /// Caches the final state of a job. Since final states never change, a cached one is always valid and can be evicted at any
    /// time.
    pub fn remember_final(&mut self, job: &str, record: FinalRecord) {
        self.absent.remove(job);
        self.final_states.insert(job, record);
    }

    /// Caches that a job does not exist. When the store was read, in the given generation of this replica, it contained neither
    /// the job's record nor its final state. While the generation stays the same, the watch delivers every later change of the
    /// job, so that the store need not be read again.
    pub fn remember_absent(&mut self, job: &str, generation: u64) {
        let unchanged = self.generation == generation;
        if unchanged && !self.live.contains_key(job) && self.final_state(job).is_none() {
            self.absent.insert(job, ());
        }
    }

    /// Reports whether a job is known not to exist at the revision of the replica.
    #[must_use]
    pub fn is_absent(&self, job: &str) -> bool {
        self.absent.contains(job)
    }

    /// Returns the final state of a job, if it is cached.
    #[must_use]
    pub fn final_state(&self, job: &str) -> Option<FinalRecord> {
        self.final_states.get(job).copied()
    }

    /// Replaces this replica by a newly loaded one, and returns the changes between the two.
    ///
    /// Cached final states are kept, since they never change. Cached absences are dropped, since those jobs may have been
    /// submitted and ended unnoticed.
    pub fn replace(&mut self, mut fresh: Replica) -> Vec<ReplicaChange> {
        let changes = self.differences(&fresh);
        for (job, record) in self.final_states.drain() {
            fresh.remember_final(&job, record);
        }
        fresh.generation = self.generation + 1;
        *self = fresh;
        changes
    }

    /// Returns the changes that lead from this replica to `fresh`. Machine types always count as changed.
    fn differences(&self, fresh: &Replica) -> Vec<ReplicaChange> {
        let missing_in = |other: &Replica, job: &&String| !other.live.contains_key(*job);
        let removed = self.live.keys().filter(|job| missing_in(fresh, job));
        let added = fresh.live.keys().filter(|job| missing_in(self, job));
        let removed = removed.map(|job| ReplicaChange::JobRemoved { job: job.clone() });
        let added = added.map(|job| ReplicaChange::JobAdded { job: job.clone() });
        let mut changes: Vec<ReplicaChange> = removed.chain(added).collect();
        if self.leader.is_some() && fresh.leader.is_none() {
            changes.push(ReplicaChange::LeaderRemoved);
        }
        changes.push(ReplicaChange::CatalogueChanged);
        changes
    }
}
