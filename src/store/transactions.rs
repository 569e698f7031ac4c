//! The transactions. Each is guarded by the keys whose state it builds on, so that late and repeated ones do nothing.

use super::{
    epoch_key, leader_key, live_key, over_key, rental_key, starts_key, stopping_key, EpochRecord,
    LeaderRecord, LiveRecord, Mirror, OverRecord, RentalRecord, Revision, Versioned,
};
use crate::protocol::{Change, Guard, Txn};
use crate::scheduler::SlotWrite;
use ciborium::Value;
use serde::Serialize;

/// A guard.
#[must_use]
pub fn guard(key: String, version: Revision) -> Guard {
    Guard { key, version }
}

/// A put of a record.
pub fn put<T: Serialize>(key: String, record: &T, lease: Option<u64>) -> Change {
    // The records of this module are plain maps; `Null` would be refused by every reader above.
    Change::Put {
        put: key,
        value: Value::serialized(record).unwrap_or(Value::Null),
        lease,
    }
}

/// Claims the next epoch under a leader lease; nothing if somebody leads. That is asked of the same mirror as the guards are: a
/// node whose mirror had meanwhile shown it another's claim once took the leadership from it, with its leader lease still running.
#[must_use]
pub fn claim_txn(mirror: &Mirror, me: &LeaderRecord, lease: u64) -> Option<(Txn, EpochRecord)> {
    if !mirror.free_to_claim(me) {
        return None;
    }
    let epoch = mirror.epoch.as_ref();
    let number = epoch.map_or(0, |e| e.record.number) + 1;
    let record = EpochRecord {
        number,
        leader: me.clone(),
        members: vec![me.clone()],
        logs_starts: true,
    };
    let leader = mirror.leader.as_ref().map_or(Revision::ZERO, |l| l.version);
    let txn = Txn {
        guards: vec![
            guard(leader_key(), leader),
            guard(epoch_key(), epoch.map_or(Revision::ZERO, |e| e.version)),
        ],
        apply: vec![
            put(leader_key(), me, Some(lease)),
            put(epoch_key(), &record, None),
        ],
    };
    Some((txn, record))
}

/// Accepts a job that is neither unfinished nor finished.
#[must_use]
pub fn submit_txn(id: &str, record: &LiveRecord) -> Txn {
    Txn {
        guards: vec![
            guard(live_key(id), Revision::ZERO),
            guard(over_key(id), Revision::ZERO),
        ],
        apply: vec![put(live_key(id), record, None)],
    }
}

/// Cancels an unfinished job. Its record is kept among those being stopped until none of its tasks can be anywhere.
#[must_use]
pub fn abort_txn(id: &str, live: &Versioned<LiveRecord>) -> Txn {
    let over = OverRecord {
        cancelled: true,
        tasks: live.record.spec.tasks,
    };
    Txn {
        guards: vec![
            guard(live_key(id), live.version),
            guard(over_key(id), Revision::ZERO),
        ],
        apply: vec![
            Change::Delete { key: live_key(id) },
            put(stopping_key(id), &live.record, None),
            put(over_key(id), &over, None),
        ],
    }
}

/// Makes a job with every task done final, in the leader's epoch.
#[must_use]
pub fn complete_txn(epoch: &Guard, id: &str, version: Revision, tasks: u32) -> Txn {
    let over = OverRecord {
        cancelled: false,
        tasks,
    };
    Txn {
        guards: vec![
            epoch.clone(),
            guard(live_key(id), version),
            guard(over_key(id), Revision::ZERO),
        ],
        apply: vec![
            Change::Delete { key: live_key(id) },
            put(over_key(id), &over, None),
        ],
    }
}

/// Writes a rental in the leader's epoch: a new one (`version` zero) or an answered one; without machines it is dropped.
#[must_use]
pub fn rental_txn(epoch: &Guard, name: &str, version: Revision, record: &RentalRecord) -> Txn {
    let key = rental_key(name);
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

/// Makes starts durable in a slot of the start log, in the leader's epoch, and only while each of their jobs is unfinished:
/// of a job whose cancellation is durable nothing is logged any more, and so nothing sent.
#[must_use]
pub fn log_txn(epoch: &Guard, append: &SlotWrite) -> Txn {
    let key = starts_key(append.slot);
    let mut guards = vec![epoch.clone(), guard(key.clone(), append.version)];
    guards.extend(
        append
            .jobs
            .iter()
            .map(|job| guard(live_key(&job.id), job.version)),
    );
    Txn {
        guards,
        apply: vec![put(key, &append.text, None)],
    }
}
