//! Compare-and-swap transactions. The guards of each compare the versions of the keys that the decision was based on, so that a
//! transaction that arrives late or repeatedly changes nothing.

use super::{
    epoch_key, final_key, leader_key, live_key, rental_key, start_log_key, stopping_key, Epoch,
    EpochRecord, FinalRecord, JobRecord, LeaderRecord, RentalRecord, Replica, Revision, Versioned,
};
use crate::protocol::{Change, Guard, Txn};
use ciborium::Value;
use serde::Serialize;

/// Parameters of a write of one slot of the start log.
#[derive(Debug, Clone, Copy)]
pub struct StartLogWrite<'a> {
    /// Number of the slot.
    pub slot: u32,
    /// Version that the slot must have for the write to apply; [`Revision::ZERO`] for a new slot.
    pub version: Revision,
    /// New contents of the slot.
    pub text: &'a str,
    /// Jobs of the new starts; the write applies only if all of them are unfinished.
    pub jobs: &'a [LoggedJob],
}

/// A job whose starts are added by a write of the start log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoggedJob {
    /// Id of the job.
    pub id: String,
    /// Version of the job's record. The guard on it ensures that the job is unfinished when its starts become durable.
    pub version: Revision,
}

/// Returns the condition that a key has this version, or that it does not exist if the version is [`Revision::ZERO`].
#[must_use]
pub fn guard(key: String, version: Revision) -> Guard {
    Guard { key, version }
}

/// Returns the change that writes a record. If a lease is given, the store deletes the key when that lease ends.
#[must_use]
pub fn put<T: Serialize>(key: String, record: &T, lease: Option<u64>) -> Change {
    // Serialization cannot fail, since the records of this module are plain maps. `Null` would be rejected by every reader.
    Change::Put {
        put: key,
        value: Value::serialized(record).unwrap_or(Value::Null),
        lease,
    }
}

/// Returns the transaction that claims the next epoch under a leader lease, and the record of that epoch, or `None` if
/// leadership is not vacant, see [`Replica::may_claim_leadership`].
///
/// The check that leadership is vacant must use the same replica as the guards. With a check on an earlier state, a controller
/// could claim leadership with the versions that another controller's claim had written in the meantime, although that
/// controller's leader lease had not expired.
#[must_use]
pub fn claim_txn(
    replica: &Replica,
    candidate: &LeaderRecord,
    lease_id: u64,
) -> Option<(Txn, EpochRecord)> {
    if !replica.may_claim_leadership(candidate) {
        return None;
    }
    let epoch = replica.epoch.as_ref();
    let record = EpochRecord {
        number: epoch
            .map_or(Epoch::ZERO, |epoch| epoch.record.number)
            .next(),
        leader: candidate.clone(),
        members: vec![candidate.clone()],
        logs_starts: true,
    };
    let txn = Txn {
        guards: vec![
            guard(leader_key(), version_of(replica.leader.as_ref())),
            guard(epoch_key(), version_of(epoch)),
        ],
        apply: vec![
            put(leader_key(), candidate, Some(lease_id)),
            put(epoch_key(), &record, None),
        ],
    };
    Some((txn, record))
}

/// Returns the version of a key in the replica; [`Revision::ZERO`] if the replica does not contain it.
fn version_of<T>(known: Option<&Versioned<T>>) -> Revision {
    known.map_or(Revision::ZERO, |known| known.version)
}

/// Returns the transaction that accepts a job. It fails if the job is unfinished or final, so that a repeated submission changes
/// nothing.
#[must_use]
pub fn submit_txn(id: &str, record: &JobRecord) -> Txn {
    Txn {
        guards: vec![
            guard(live_key(id), Revision::ZERO),
            guard(final_key(id), Revision::ZERO),
        ],
        apply: vec![put(live_key(id), record, None)],
    }
}

/// Returns the transaction that cancels an unfinished job. The record moves to the jobs being stopped, where it remains until
/// none of the tasks can run any more.
#[must_use]
pub fn cancel_txn(id: &str, live: &Versioned<JobRecord>) -> Txn {
    let record = FinalRecord {
        cancelled: true,
        tasks: live.record.spec.tasks,
    };
    Txn {
        guards: vec![
            guard(live_key(id), live.version),
            guard(final_key(id), Revision::ZERO),
        ],
        apply: vec![
            Change::Delete { key: live_key(id) },
            put(stopping_key(id), &live.record, None),
            put(final_key(id), &record, None),
        ],
    }
}

/// Returns the transaction that makes a job final after all of its tasks are done, guarded by the leader's epoch.
#[must_use]
pub fn complete_txn(epoch: &Guard, id: &str, version: Revision, tasks: u32) -> Txn {
    let record = FinalRecord {
        cancelled: false,
        tasks,
    };
    Txn {
        guards: vec![
            epoch.clone(),
            guard(live_key(id), version),
            guard(final_key(id), Revision::ZERO),
        ],
        apply: vec![
            Change::Delete { key: live_key(id) },
            put(final_key(id), &record, None),
        ],
    }
}

/// Returns the transaction that writes a rental request, guarded by the leader's epoch. The request is either new (version
/// [`Revision::ZERO`]) or answered by the cloud. An answered request without machines is deleted.
#[must_use]
pub fn rental_txn(epoch: &Guard, request: &str, version: Revision, record: &RentalRecord) -> Txn {
    Txn {
        guards: vec![epoch.clone(), guard(rental_key(request), version)],
        apply: vec![rental_change(request, record)],
    }
}

/// Returns the change that writes the record of a rental request. The record of an answered one without machines is deleted.
#[must_use]
pub fn rental_change(request: &str, record: &RentalRecord) -> Change {
    let key = rental_key(request);
    if record.machines.as_ref().is_some_and(Vec::is_empty) {
        return Change::Delete { key };
    }
    put(key, record, None)
}

/// Returns the transaction that makes starts durable in a slot of the start log, guarded by the leader's epoch. It applies only
/// while each of their jobs is unfinished: once a cancellation is durable, no start of the job can be logged, and a start that
/// is not logged is never sent.
#[must_use]
pub fn start_log_txn(epoch: &Guard, write: StartLogWrite) -> Txn {
    let key = start_log_key(write.slot);
    let jobs = write.jobs.iter();
    let mut guards = vec![epoch.clone(), guard(key.clone(), write.version)];
    guards.extend(jobs.map(|job| guard(live_key(&job.id), job.version)));
    Txn {
        guards,
        apply: vec![put(key, &write.text, None)],
    }
}
