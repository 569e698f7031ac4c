//! Coordination among the controllers: leadership, linearizable reads, cancellation notices and peer health.
//!
//! All controllers serve users; one of them leads and is the only one that starts tasks. The state that they agree on is in
//! the store: the leader key under its lease, the epoch, and every job. They also exchange messages; a lost message costs time
//! but never safety.
//!
//! - [`leadership`] is the state machine of this controller's leadership: it decides what the controller may do as the leader,
//!   and until when. Start reading here.
//! - [`linearizable_reads`] holds the reads that wait until the replica of the store is up to date.
//! - [`cancellations`] holds the cancellations that peers have to be notified of, and decides when a user may be told that a
//!   job is cancelled.
//! - [`peers`] defines the messages between controllers, sends them, and tracks whether peers are reachable.
//!
//! The modules own state, but run no loops and read no clock: the loops of [`crate::controller`] pass in the received messages
//! and the time, and send the requests.

pub mod cancellations;
pub mod leadership;
pub mod linearizable_reads;
pub mod peers;
