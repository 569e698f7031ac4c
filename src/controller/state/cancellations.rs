//! Handling of cancellations that this controller makes, reads from the store, or receives from its peers.

use super::ControllerState;
use crate::coordination::cancellations::{Notice, OtherLeader, ReplicaView};
use crate::coordination::peers::{Cancelled, CancelledJob};
use crate::protocol as wire;
use crate::protocol::Txn;
use crate::store::{self, FinalRecord, JobRecord, Revision, Versioned};

impl ControllerState {
    /// Returns the next message of cancellations to a peer, and the last notice in it.
    pub(in crate::controller) fn cancellation_message_for(
        &self,
        peer: &str,
    ) -> Option<(Cancelled, Notice)> {
        self.cancellations.message_for(peer)
    }

    /// Records that a peer has acknowledged all notices up to `last` and that its replica has reached a revision.
    pub(in crate::controller) fn record_acknowledgement(
        &mut self,
        peer: &str,
        last: Notice,
        replica_revision: Revision,
    ) {
        self.cancellations.record_acknowledgement(peer, last);
        self.cancellations
            .record_peer_revision(peer, replica_revision);
    }

    /// Returns the transaction that cancels an unfinished job, within the limits of the store.
    pub(in crate::controller) fn cancellation_txn(
        &self,
        id: &str,
        live: &Versioned<JobRecord>,
    ) -> Txn {
        let stopping = Versioned {
            record: live.record.for_stopping(self.write_limits.value_bytes()),
            version: live.version,
        };
        store::cancel_txn(id, &stopping)
    }

    /// Applies a durable cancellation, possibly before the replica contains it: the tasks of the job are stopped, and none is
    /// started or counted as done any more.
    fn apply_cancellation(&mut self, job: &str, tasks: u32) {
        let final_state = FinalRecord {
            cancelled: true,
            tasks,
        };
        self.replica.remember_final(job, final_state);
        if let Some(scheduler) = self.scheduler_at_now() {
            scheduler.stop_job(job);
        }
    }

    /// Applies a durable cancellation and creates the notice of it for the peers.
    pub(in crate::controller) fn record_cancellation(&mut self, cancelled: CancelledJob) -> Notice {
        self.apply_cancellation(&cancelled.job, cancelled.tasks);
        self.cancellations.record(cancelled)
    }

    /// Records the final state of a job that was read from the store. If it is a cancellation that the leader may not know of,
    /// a notice of it is created.
    pub(in crate::controller) fn record_final_state(
        &mut self,
        id: &str,
        read: &Versioned<FinalRecord>,
    ) {
        if read.record.cancelled && self.leader_may_be_behind(read.version) {
            self.record_cancellation(CancelledJob {
                job: id.to_string(),
                tasks: read.record.tasks,
                revision: read.version,
            });
        } else {
            self.replica.remember_final(id, read.record);
        }
    }

    /// Applies the cancellations in a peer's message. Returns the revision that this controller's replica has reached.
    ///
    /// Cancellations that the leader may not know of are forwarded. The connection between that peer and the leader may be
    /// broken, and a user who repeats the request at this controller is answered only once the leader knows of the
    /// cancellation.
    pub(in crate::controller) fn receive_cancellations(&mut self, message: &Cancelled) -> Revision {
        let valid = |cancelled: &&CancelledJob| wire::is_job_id(&cancelled.job);
        for cancelled in message.jobs.iter().filter(valid) {
            if self.leader_may_be_behind(cancelled.revision) {
                self.record_cancellation(cancelled.clone());
            } else {
                self.apply_cancellation(&cancelled.job, cancelled.tasks);
            }
        }
        self.replica.revision
    }

    /// Returns the notice of a job's cancellation, while a leader may still start tasks of the job.
    pub(in crate::controller) fn unsettled_cancellation(&self, job: &str) -> Option<Notice> {
        self.cancellations.unsettled(self.replica_view(), job)
    }

    /// Reports whether no leader can start tasks of the cancelled job any more.
    pub(in crate::controller) fn is_cancellation_settled(&self, notice: Notice) -> bool {
        self.cancellations.is_settled(self.replica_view(), notice)
    }

    /// Reports whether, judging by the replicas alone, the leader may not know of a cancellation that became durable at a
    /// revision.
    fn leader_may_be_behind(&self, revision: Revision) -> bool {
        self.cancellations
            .leader_may_be_behind(self.replica_view(), revision)
    }

    /// Returns the replica's revision and the leader that it contains, if that is another controller.
    fn replica_view(&self) -> ReplicaView<'_> {
        let leader = self.replica.leader.as_ref();
        ReplicaView {
            revision: self.replica.revision,
            other_leader: leader
                .filter(|leader| leader.record != *self.identity())
                .map(|leader| OtherLeader {
                    node: &leader.record.node,
                    elected_at: leader.version,
                }),
        }
    }
}
