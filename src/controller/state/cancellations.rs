//! What this controller learns of cancellations, and what follows from it.

use super::ControllerState;
use crate::coordination::cancellations::{Notice, OtherLeader, ReplicaView};
use crate::coordination::peers::{Cancelled, CancelledJob};
use crate::protocol as wire;
use crate::store::{FinalRecord, Revision, Versioned};

impl ControllerState {
    /// The cancellations that a peer has to be notified of, and the last notice among them.
    pub(in crate::controller) fn cancellation_message_for(
        &self,
        peer: &str,
    ) -> Option<(Cancelled, Notice)> {
        self.cancellations.message_for(peer)
    }

    /// A peer has acknowledged everything up to a notice and answered with the revision of its replica.
    pub(in crate::controller) fn record_acknowledgement(
        &mut self,
        peer: &str,
        last: Notice,
        replica_revision: Revision,
    ) {
        self.cancellations.acknowledged(peer, last);
        self.cancellations
            .peer_replica_reached(peer, replica_revision);
    }

    /// Applies a cancellation that is durable, perhaps before the replica shows it: tasks of the job are stopped, and none is
    /// started or counted as finished any more.
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

    /// Applies a durable cancellation and records that the peers have to be notified of it.
    pub(in crate::controller) fn record_cancellation(&mut self, cancelled: CancelledJob) -> Notice {
        self.apply_cancellation(&cancelled.job, cancelled.tasks);
        self.cancellations.record(cancelled)
    }

    /// Remembers a final state that was read from the store. If it is a cancellation that the leader may not know of, the
    /// leader has to be notified.
    pub(in crate::controller) fn learn_final_state(
        &mut self,
        id: &str,
        read: &Versioned<FinalRecord>,
    ) {
        if read.record.cancelled && self.leader_may_not_know(read.version) {
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
    /// Cancellations that the leader may not know of are passed on. The path from that peer to the leader may be cut, and a
    /// user who repeats the request here is answered only when the leader knows.
    pub(in crate::controller) fn receive_cancellations(&mut self, message: &Cancelled) -> Revision {
        let valid = |cancelled: &&CancelledJob| wire::is_job_id(&cancelled.job);
        for cancelled in message.jobs.iter().filter(valid) {
            if self.leader_may_not_know(cancelled.revision) {
                self.record_cancellation(cancelled.clone());
            } else {
                self.apply_cancellation(&cancelled.job, cancelled.tasks);
            }
        }
        self.replica.revision
    }

    /// The notice of a job's cancellation, while a leader may still start tasks of the job.
    pub(in crate::controller) fn unsettled_cancellation(&self, job: &str) -> Option<Notice> {
        self.cancellations.unsettled(self.replica_view(), job)
    }

    /// Whether no leader can start a task any more of the job that was cancelled.
    pub(in crate::controller) fn is_cancellation_settled(&self, notice: Notice) -> bool {
        self.cancellations.is_settled(self.replica_view(), notice)
    }

    /// Whether the leader may not know of a cancellation that became durable at a revision.
    fn leader_may_not_know(&self, revision: Revision) -> bool {
        self.cancellations
            .leader_may_not_know(self.replica_view(), revision)
    }

    /// What the replica says of the leader.
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
