//! Access to the state service, which other modules call the store: keys, records, compare-and-swap transactions, a replica that
//! a watch keeps up to date, and the client.
//!
//! No other module knows the names of keys and of stored fields. This module contains no decisions: the controller decides
//! what is written and when, and the scheduler, which belongs to a higher layer, decides where tasks run.
//!
//! All keys are below one root, [`ROOT`], so that several tenants can have one each later. The components that write and
//! delete the keys:
//!
//! | Key | Record | Written by | Deleted by |
//! |---|---|---|---|
//! | `leader` | [`LeaderRecord`] | a candidate, attached to its leader lease | the store, when that lease ends |
//! | `epoch` | [`EpochRecord`] | a candidate, together with `leader` | never |
//! | `catalogue` | [`MachineType`](crate::protocol::MachineType) list | the leader, when the cloud's offers change | never |
//! | `live/JOB` | [`JobRecord`] | any controller, when a user submits the job | the transaction that writes `over/JOB` |
//! | `stopping/JOB` | [`JobRecord`] | any controller, when a user cancels the job | the leader, once none of its tasks can run |
//! | `over/JOB` | [`FinalRecord`] | any controller (cancelled) or the leader (done) | never |
//! | `done/JOB/CHUNK` | bitmap ([`bitmap_to_hex`]) | the leader | the leader, once its job is not live or stopping |
//! | `starts/SLOT` | text of a start log slot | the leader, before it sends the starts | never; slots are reused |
//! | `hire/REQUEST` | [`RentalRecord`] | the leader, before and after the cloud call | the leader, when its machines are gone |
//!
//! Every write of the leader has a guard on the version of `epoch`, so that the writes of a leader of an earlier epoch fail.

mod batch;
mod client;
mod error;
mod keys;
mod limits;
mod loading;
mod metrics;
mod recent_map;
mod records;
mod replica;
mod size;
#[cfg(test)]
mod tests;
mod transactions;

pub use crate::protocol::Revision;
pub use batch::TxnBatch;
pub use client::{StoreClient, TxnOutcome};
pub use error::{StoreError, UnknownOutcome};
pub use keys::{
    catalogue_key, done_key, epoch_key, final_key, leader_key, live_key, parse_live_key,
    rental_key, start_log_key, stopping_key, ROOT, TASKS_PER_CHUNK,
};
pub use limits::WriteLimits;
pub use metrics::{StoreMetrics, StoreRequestTotals};
pub use records::{
    bitmap_to_hex, max_bitmap_bytes, Epoch, EpochRecord, FinalRecord, JobRecord, LeaderRecord,
    RentalRecord, Versioned,
};
pub use replica::{Replica, ReplicaChange};
pub use size::{json_bytes, TxnSize};
pub use transactions::{
    cancel_txn, claim_txn, complete_txn, guard, put, rental_change, rental_txn, start_log_txn,
    submit_txn, LoggedJob, StartLogWrite,
};
