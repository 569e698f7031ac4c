//! The state service as this program uses it: keys, records, compare-and-swap transactions, a replica kept by a watch, and
//! the client.
//!
//! This module owns the names of keys and of stored fields: no other module knows them. It decides nothing. What is written
//! when is a matter of the controller; where a task goes, of the scheduler, which stands above this module.
//!
//! All keys stand below one root, [`ROOT`], so that several tenants can have one each later. Who writes them, and under which
//! conditions:
//!
//! | Key | Record | Written by | Removed by |
//! |---|---|---|---|
//! | `leader` | [`LeaderRecord`] | a candidate, attached to its lease | the end of that lease |
//! | `epoch` | [`EpochRecord`] | a candidate, together with `leader` | nobody |
//! | `catalogue` | list of [`MachineType`](crate::protocol::MachineType) | the leader, when the cloud offers others | nobody |
//! | `live/JOB` | [`LiveRecord`] | any controller, for a user who submits | with the write of `over/JOB` |
//! | `stopping/JOB` | [`LiveRecord`] | any controller, for a user who cancels | the leader, once no task can be anywhere |
//! | `over/JOB` | [`FinalRecord`] | any controller (cancelled) or the leader (done) | nobody |
//! | `done/JOB/CHUNK` | bits as text ([`bits_to_text`]) | the leader | the leader, once the job is neither live nor stopping |
//! | `starts/SLOT` | text of the start log | the leader, before a start is sent | nobody; slots are reused |
//! | `hire/REQUEST` | [`RentalRecord`] | the leader, before the cloud is called and after | the leader, once its machines are gone |
//!
//! Every write of the leader is guarded by the version of `epoch`: a leader of an earlier epoch writes nothing.

mod client;
mod keys;
mod recent_map;
mod records;
mod replica;
#[cfg(test)]
mod tests;
mod transactions;

pub use crate::protocol::Revision;
pub use client::{StoreClient, StoreError, TxnOutcome, UnknownOutcome};
pub use keys::{
    catalogue_key, done_key, epoch_key, final_key, leader_key, live_job, live_key, rental_key,
    starts_key, stopping_key, ROOT, TASKS_PER_CHUNK,
};
pub use records::{
    bits_to_text, Epoch, EpochRecord, FinalRecord, LeaderRecord, LiveRecord, RentalRecord,
    Versioned,
};
pub use replica::{Replica, ReplicaChange};
pub use transactions::{
    cancel_txn, claim_txn, complete_txn, guard, log_txn, put, rental_txn, submit_txn, LoggedJob,
    StartLogWrite,
};
