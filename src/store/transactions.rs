//! The compare-and-swap transactions. Each compares the versions of the keys that it was decided on (its guards), so that a late
//! or repeated one changes nothing.

use super::{
    epoch_key, final_key, leader_key, live_key, rental_key, starts_key, stopping_key, Epoch,
    EpochRecord, FinalRecord, LeaderRecord, LiveRecord, RentalRecord, Replica, Revision, Versioned,
};
use crate::protocol::{Change, Guard, Txn};
use ciborium::Value;
use serde::Serialize;

/// A write of a slot of the start log.
#[derive(Debug, Clone, Copy)]
pub struct StartLogWrite<'a> {
    /// Slot.
    pub slot: u32,
    /// Version that the slot must still have; [`Revision::ZERO`] for a new one.
    pub version: Revision,
    /// Its new content.
    pub text: &'a str,
    /// Jobs of the new starts.
    pub jobs: &'a [LoggedJob],
}

/// A job with new starts in a write of the start log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoggedJob {
    /// Id.
    pub id: String,
    /// The version of its record, which must still be there: the job must be unfinished when its starts become durable.
    pub version: Revision,
}

/// The condition that a key has this version; [`Revision::ZERO`]: that it does not exist.
#[must_use]
pub fn guard(key: String, version: Revision) -> Guard {
    Guard { key, version }
}

/// A write of a record. With a lease, the key is removed when the lease ends.
#[must_use]
pub fn put<T: Serialize>(key: String, record: &T, lease: Option<u64>) -> Change {
    // The records of this module are plain maps and can be represented; every reader would refuse `Null`.
    Change::Put {
        put: key,
        value: Value::serialized(record).unwrap_or(Value::Null),
        lease,
    }
}

/// Claims the next epoch under a leader lease, and tells its record; `None` while somebody else leads.
///
/// Both are decided on the same replica as the guards. A controller whose replica had meanwhile shown another's claim once took
/// the leadership from that one, whose leader lease was still running.
#[must_use]
pub fn claim_txn(
    replica: &Replica,
    candidate: &LeaderRecord,
    lease: u64,
) -> Option<(Txn, EpochRecord)> {
    if !replica.free_to_claim(candidate) {
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
            put(leader_key(), candidate, Some(lease)),
            put(epoch_key(), &record, None),
        ],
    };
    Some((txn, record))
}

/// The version of a key as the replica shows it.
fn version_of<T>(known: Option<&Versioned<T>>) -> Revision {
    known.map_or(Revision::ZERO, |known| known.version)
}

/// Accepts a job that is neither unfinished nor final. A repeated submission changes nothing.
#[must_use]
pub fn submit_txn(id: &str, record: &LiveRecord) -> Txn {
    Txn {
        guards: vec![
            guard(live_key(id), Revision::ZERO),
            guard(final_key(id), Revision::ZERO),
        ],
        apply: vec![put(live_key(id), record, None)],
    }
}

/// Cancels an unfinished job. Its record moves to the jobs being stopped, until none of its tasks can be anywhere.
#[must_use]
pub fn cancel_txn(id: &str, live: &Versioned<LiveRecord>) -> Txn {
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

/// Makes a job with every task done final, in the leader's epoch.
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

/// Writes a rental request in the leader's epoch: a new one (version [`Revision::ZERO`]), or one that the cloud has answered. One
/// that brought no machines is removed.
#[must_use]
pub fn rental_txn(epoch: &Guard, request: &str, version: Revision, record: &RentalRecord) -> Txn {
    let key = rental_key(request);
    let empty = record.machines.as_ref().is_some_and(Vec::is_empty);
    let change = if empty {
        Change::Delete { key: key.clone() }
    } else {
        put(key.clone(), record, None)
    };
    Txn {
        guards: vec![epoch.clone(), guard(key, version)],
        apply: vec![change],
    }
}

/// Makes starts durable in a slot of the start log, in the leader's epoch, and only while each of their jobs is unfinished. Once
/// a cancellation is durable nothing of its job is logged any more, and so nothing is sent.
#[must_use]
pub fn log_txn(epoch: &Guard, write: StartLogWrite) -> Txn {
    let key = starts_key(write.slot);
    let jobs = write.jobs.iter();
    let mut guards = vec![epoch.clone(), guard(key.clone(), write.version)];
    guards.extend(jobs.map(|job| guard(live_key(&job.id), job.version)));
    Txn {
        guards,
        apply: vec![put(key, &write.text, None)],
    }
}
