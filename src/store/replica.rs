//! What a controller knows of the store: a replica at one revision, kept by a watch.
//!
//! The replica is a cache: it may lag behind the store, and every write is guarded by the versions that it was decided on.
//! Changes that arrive twice or out of order do no harm, since a key's older versions are ignored.

use super::keys::{Key, KeyError};
use super::recent_map::RecentMap;
use super::records::{read_record, text_to_bits};
use super::{
    EpochRecord, FinalRecord, LeaderRecord, LiveRecord, RentalRecord, Revision, Versioned,
};
use crate::protocol::{Event, MachineType};
use ciborium::Value;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;

/// A change of the replica that its controller has to act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaChange {
    /// An unfinished job was added, or its record was written again.
    JobAdded {
        /// The job's id.
        job: String,
    },
    /// A job is no longer unfinished.
    JobRemoved {
        /// The job's id.
        job: String,
    },
    /// The leader's key was removed: nobody leads.
    LeaderRemoved,
    /// The machine types were written.
    CatalogueChanged,
}

/// A replica of the store at one revision.
#[derive(Debug, Default)]
pub struct Replica {
    /// Whether the whole store has been read.
    pub initialized: bool,
    /// How often the replica was replaced by one that was read anew. Within one generation the watch has brought every change.
    pub generation: u64,
    /// Revision up to which all changes are in.
    pub revision: Revision,
    /// Unfinished jobs by id.
    pub live: BTreeMap<String, Versioned<LiveRecord>>,
    /// Cancelled jobs of which tasks may still be somewhere, by id.
    pub stopping: BTreeMap<String, Versioned<LiveRecord>>,
    /// Bits of finished tasks by job and chunk.
    pub done: BTreeMap<(String, u32), Versioned<Vec<u8>>>,
    /// The text of the start log by slot: only a new leader reads it.
    pub starts: BTreeMap<u32, Versioned<String>>,
    /// Rental requests and their machines by request name.
    pub rentals: BTreeMap<String, Versioned<RentalRecord>>,
    /// The leader, while there is one.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The current epoch, or the last one.
    pub epoch: Option<Versioned<EpochRecord>>,
    /// The machine types.
    pub catalogue: Option<Versioned<Vec<MachineType>>>,
    /// Final states of jobs that were asked about or ended recently.
    final_states: RecentMap<FinalRecord>,
    /// Jobs that did not exist when the store was asked, and of which the watch has brought nothing since.
    pub(super) absent: RecentMap<()>,
}

/// Whether a version of a key is later than the known one, if there is one.
fn is_newer<T>(known: Option<&Versioned<T>>, version: Revision) -> bool {
    known.is_none_or(|known| known.version < version)
}

/// Whether a removal is later than the known version of a key. Older ones belong to an earlier life of the key.
fn is_removed<T>(known: Option<&Versioned<T>>, removed_at: Revision) -> bool {
    known.is_some_and(|known| known.version < removed_at)
}

/// Inserts a record unless the known one is as new. True if it was inserted.
fn insert_newer<T>(
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

/// Reads a record into a single key's place unless the known one is as new. `None` if it cannot be read, else whether it was
/// newer.
fn read_newer<T: DeserializeOwned>(
    known: &mut Option<Versioned<T>>,
    value: &Value,
    version: Revision,
) -> Option<bool> {
    let record = read_record(value)?;
    let newer = is_newer(known.as_ref(), version);
    if newer {
        *known = Some(Versioned { record, version });
    }
    Some(newer)
}

impl Replica {
    /// Applies a key that was read in a listing or brought by a watch, and adds what has changed to `changes`. A version older
    /// than the known one is ignored. A record that cannot be read is left alone and logged.
    pub fn put(
        &mut self,
        key: &str,
        value: &Value,
        version: Revision,
        changes: &mut Vec<ReplicaChange>,
    ) {
        let understood = match Key::parse(key) {
            Ok(parsed) => self.put_record(parsed, value, version, changes),
            Err(KeyError::OutsideRoot) => return,
            Err(KeyError::Unknown) => None,
        };
        if understood.is_none() {
            tracing::error!(key, "record not understood, left alone");
        }
    }

    /// `None` if the value holds no record of the key's family.
    fn put_record(
        &mut self,
        key: Key,
        value: &Value,
        version: Revision,
        changes: &mut Vec<ReplicaChange>,
    ) -> Option<()> {
        match key {
            Key::Leader => {
                read_newer(&mut self.leader, value, version)?;
            }
            Key::Epoch => {
                read_newer(&mut self.epoch, value, version)?;
            }
            Key::Catalogue => {
                if read_newer(&mut self.catalogue, value, version)? {
                    changes.push(ReplicaChange::CatalogueChanged);
                }
            }
            Key::Live(job) => {
                if insert_newer(&mut self.live, job, read_record(value)?, version) {
                    self.absent.remove(job);
                    let job = job.to_string();
                    changes.push(ReplicaChange::JobAdded { job });
                }
            }
            Key::Stopping(job) => {
                insert_newer(&mut self.stopping, job, read_record(value)?, version);
            }
            Key::Final(job) => self.remember_final(job, read_record(value)?),
            Key::Done { job, chunk } => self.put_done(job, chunk, value, version)?,
            Key::Starts(slot) => self.put_start_log_slot(slot, value, version)?,
            Key::Rental(request) => self.put_rental(request, read_record(value)?, version),
        }
        Some(())
    }

    fn put_done(&mut self, job: &str, chunk: u32, value: &Value, version: Revision) -> Option<()> {
        let bits = text_to_bits(&read_record::<String>(value)?)?;
        let key = (job.to_string(), chunk);
        if is_newer(self.done.get(&key), version) {
            let record = bits;
            self.done.insert(key, Versioned { record, version });
        }
        Some(())
    }

    fn put_start_log_slot(&mut self, slot: u32, value: &Value, version: Revision) -> Option<()> {
        let record = read_record(value)?;
        if is_newer(self.starts.get(&slot), version) {
            self.starts.insert(slot, Versioned { record, version });
        }
        Some(())
    }

    /// Applies a rental request, read or just written by this controller. A version older than the known one is ignored: the
    /// watch may lag behind this controller's own write, and each request was once sent to the cloud a second time.
    pub fn put_rental(&mut self, request: &str, record: RentalRecord, version: Revision) {
        insert_newer(&mut self.rentals, request, record, version);
    }

    fn remove(&mut self, key: &str, removed_at: Revision, changes: &mut Vec<ReplicaChange>) {
        let Ok(key) = Key::parse(key) else {
            return;
        };
        match key {
            Key::Leader if is_removed(self.leader.as_ref(), removed_at) => {
                self.leader = None;
                changes.push(ReplicaChange::LeaderRemoved);
            }
            Key::Live(job) if is_removed(self.live.get(job), removed_at) => {
                self.live.remove(job);
                let job = job.to_string();
                changes.push(ReplicaChange::JobRemoved { job });
            }
            Key::Stopping(job) if is_removed(self.stopping.get(job), removed_at) => {
                self.stopping.remove(job);
            }
            Key::Done { job, chunk } => {
                let key = (job.to_string(), chunk);
                if is_removed(self.done.get(&key), removed_at) {
                    self.done.remove(&key);
                }
            }
            Key::Starts(slot) if is_removed(self.starts.get(&slot), removed_at) => {
                self.starts.remove(&slot);
            }
            Key::Rental(request) => self.remove_rental(request, removed_at),
            // Final states, the epoch and the machine types are never removed.
            _ => {}
        }
    }

    /// A request that brought no machines was applied by `put_rental` with the version of its own removal.
    fn remove_rental(&mut self, request: &str, removed_at: Revision) {
        let known = self.rentals.get(request);
        if known.is_some_and(|known| known.version <= removed_at) {
            self.rentals.remove(request);
        }
    }

    /// Applies the changes that a watch has brought, which are all of them up to `revision`.
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

    /// Whether leadership may be claimed: nobody leads, or an earlier process of the same controller does. Its leader lease
    /// need not be waited for: what it may have started is in the start log, and what it wrote last carries its epoch.
    #[must_use]
    pub fn free_to_claim(&self, candidate: &LeaderRecord) -> bool {
        self.leader
            .as_ref()
            .is_none_or(|leader| leader.record.ended_before(candidate))
    }

    /// Remembers the final state of a job. Final states never change, so that it is no harm if some are forgotten again.
    pub fn remember_final(&mut self, job: &str, record: FinalRecord) {
        self.absent.remove(job);
        self.final_states.insert(job, record);
    }

    /// Remembers that a job does not exist: the store had neither its record nor a final state of it when it was asked, in the
    /// given generation of this replica. If the generation is still the same, the watch has brought and will bring whatever
    /// becomes of the job, so that the store need not be asked again.
    pub fn remember_absent(&mut self, job: &str, generation: u64) {
        let unchanged = self.generation == generation;
        if unchanged && !self.live.contains_key(job) && self.final_state(job).is_none() {
            self.absent.insert(job, ());
        }
    }

    /// Whether a job is known not to exist at this replica's revision.
    #[must_use]
    pub fn is_absent(&self, job: &str) -> bool {
        self.absent.contains(job)
    }

    /// The final state of a job, if it is remembered.
    #[must_use]
    pub fn final_state(&self, job: &str) -> Option<FinalRecord> {
        self.final_states.get(job).copied()
    }

    /// Replaces this replica by one that was read anew, and tells what differs.
    ///
    /// Final states are kept, since they never change. Jobs that were absent may have come and gone unseen: they are
    /// forgotten.
    pub fn replace(&mut self, mut fresh: Replica) -> Vec<ReplicaChange> {
        let changes = self.differences(&fresh);
        for (job, record) in self.final_states.drain() {
            fresh.remember_final(&job, record);
        }
        fresh.generation = self.generation + 1;
        *self = fresh;
        changes
    }

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
