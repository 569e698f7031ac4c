//! The messages exchanged with other programs, and the checks that incoming ones have to pass.
//!
//! | module | peer | direction |
//! | --- | --- | --- |
//! | `users` | users, by way of the load balancer | requests in, job states out |
//! | `workers` | the worker of each machine | heartbeats in, commands out |
//! | `cloud` | the cloud that rents machines | requests out, machines in |
//! | `state_service` | the consensus-backed key-value store | transactions out, keys and watch events in |
//!
//! Bodies are CBOR maps keyed by text. The protocol has names of its own for most fields (`lane` for a job's class, `baton`
//! for the fencing token); they are mapped to the field's standard terms here, by serde attributes, and no other module
//! knows them. Messages between controllers are not part of this module, see [`crate::coordination::peers`].

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
    Change, Event, Guard, KeyValue, LeaseReply, LeaseRequest, Page, Revision, Txn, TxnReply,
    WatchReply,
};
pub use users::{JobKind, JobSpec, JobState, JobView, Priority};
pub use workers::{
    split_task, Command, DirectCommandRequest, ExitReason, FencingToken, HeartbeatReply, Redirect,
    TaskState, TaskStatus, WorkerStatus,
};

/// Largest request body accepted from users, in bytes. Also the unit for the limit on heartbeats.
pub const BODY_LIMIT: usize = 64 * 1024;
