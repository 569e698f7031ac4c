//! Coordination among the controllers: who leads, how new a read is, who knows of a cancellation, and who can be reached.
//!
//! All controllers serve users; one of them leads and is the only one that starts tasks. What they agree on is in the store:
//! the leader key under its lease, the epoch, and every job. They also send each other messages; losing one of them costs time
//! and breaks no rule.
//!
//! - [`leadership`] is the state machine of the leadership of this controller, and decides what it may do as the leader, and
//!   until when. It is the place to begin reading.
//! - [`linearizable_reads`] keeps the reads that wait until the replica of the store is up to date.
//! - [`cancellations`] keeps the cancellations of which peers have to be notified, and decides when a user may be told that a
//!   job is cancelled.
//! - [`peers`] has the messages between controllers, the requests that carry them, and whether peers can be reached.
//!
//! The modules own state, but run no loops and hold no clock: the loops of [`crate::controller`] pass in what they receive and
//! the time, and carry out the requests.

pub mod cancellations;
pub mod leadership;
pub mod linearizable_reads;
pub mod peers;
