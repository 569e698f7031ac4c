//! The messages that are exchanged with other programs, and the validation of incoming ones.
//!
//! | module | peer | direction |
//! | --- | --- | --- |
//! | `users` | users, through the load balancer | requests in, job states out |
//! | `workers` | the worker of each machine | heartbeats in, commands out |
//! | `cloud` | the cloud that rents out machines | requests out, machines in |
//! | `state_service` | the consensus-backed key-value store | transactions out, keys and watch events in |
//!
//! Bodies are CBOR maps with text keys. The protocol has its own names for most fields, such as `lane` for the class of a job
//! and `baton` for the fencing token. Serde attributes in this module map them to standard terms, so that no other module
//! depends on them. Messages between controllers are not part of this module: see [`crate::coordination::peers`].

mod cloud;
mod codec;
mod decoding;
mod job_validation;
mod state_service;
#[cfg(test)]
mod tests;
mod users;
mod workers;

pub use cloud::{Catalogue, ListedMachine, MachineList, MachineNames, MachineType, RentRequest};
pub use codec::{decode, encode, DecodeError};
pub use job_validation::{is_job_id, InvalidJobSpec, TASK_LIMIT};
pub use state_service::{
    Change, ErrorReply, Event, Guard, KeyValue, LeaseReply, LeaseRequest, Page, Revision, Txn,
    TxnReply, WatchReply,
};
pub use users::{JobKind, JobSpec, JobState, JobView, Priority};
pub use workers::{
    split_task, Command, DirectCommandRequest, ExitReason, FencingToken, HeartbeatReply, Redirect,
    TaskState, TaskStatus, WorkerStatus,
};

/// Maximum size of a request body from users, in bytes. The limit on the size of heartbeats is a multiple of it.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
