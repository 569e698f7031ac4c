//! Tells the other controllers of cancellations, and what follows from what is known of them.

use super::handles::Handles;
use super::state::{ControllerState, MIN_ROUND_INTERVAL};
use crate::coordination::peers::{self, Cancelled, CancelledJob, Notice};
use crate::protocol as wire;
use crate::store::{LeaderRecord, OverRecord, Versioned};
use std::time::Duration;

impl Handles {
    /// Tells the others of cancellations, again until they know.
    pub(super) async fn tell_cancelled(self) {
        let peers = self.state.borrow().settings.platform.peers.clone();
        loop {
            let _ = tokio::time::timeout(
                Duration::from_millis(500),
                self.cancellation_recorded.notified(),
            )
            .await;
            for p in &peers {
                let (message, last) = {
                    let controller = self.state.borrow();
                    let Some((jobs, last)) = controller.cancellation_notices.unknown_to(&p.node)
                    else {
                        continue;
                    };
                    (Cancelled { jobs }, last)
                };
                let (me, node, addr) = (self.clone(), p.node.clone(), p.peer_addr);
                actix::spawn(async move {
                    if let Some(revision) = peers::tell_cancelled(&me.http, addr, &message).await {
                        let notices = &mut me.state.borrow_mut().cancellation_notices;
                        notices.told(&node, last);
                        notices.mirrored(&node, revision);
                    }
                });
            }
            // What is called off at the same moment goes together.
            tokio::time::sleep(MIN_ROUND_INTERVAL).await;
        }
    }
}

impl ControllerState {
    /// A cancellation is known to be durable, perhaps sooner than the mirror shows it: what runs of the job is stopped,
    /// nothing of it is started or believed to be done any more.
    pub(super) fn cancelled(&mut self, id: &str, tasks: u32) {
        self.replica.remember_over(
            id,
            OverRecord {
                cancelled: true,
                tasks,
            },
        );
        if let Some(scheduler) = self.scheduler_at_now() {
            scheduler.drop_job(id);
        }
    }

    /// A cancellation is durable at a revision; the others have to be told of it.
    pub(super) fn note_cancellation(&mut self, cancelled: CancelledJob) -> Notice {
        self.cancelled(&cancelled.job, cancelled.tasks);
        let known = self.cancellation_notices.find(&cancelled.job);
        known.unwrap_or_else(|| self.cancellation_notices.add(cancelled))
    }

    /// A final state that was read from the store. Where it is a cancellation that the leader may not know of yet, it has to
    /// be told.
    pub(super) fn learn_final_state(&mut self, id: &str, read: &Versioned<OverRecord>) {
        if read.record.cancelled && self.leader_may_miss(read.version) {
            let cancelled = CancelledJob {
                job: id.to_string(),
                tasks: read.record.tasks,
                revision: read.version,
            };
            self.note_cancellation(cancelled);
        } else {
            self.replica.remember_over(id, read.record);
        }
    }

    /// Another node's word of cancellations; tells how far this one's mirror is. It is passed on: the path from that node
    /// to the leader may be cut, and a user whose request is repeated here is answered once the leader knows, too.
    pub(super) fn take_cancelled(&mut self, told: &Cancelled) -> u64 {
        for cancelled in told
            .jobs
            .iter()
            .filter(|cancelled| wire::job_id(&cancelled.job))
        {
            if self.leader_may_miss(cancelled.revision) {
                self.note_cancellation(cancelled.clone());
            } else {
                self.cancelled(&cancelled.job, cancelled.tasks);
            }
        }
        self.replica.revision
    }

    /// The notice of a job's cancellation while a leader may not know of it.
    pub(super) fn unsettled_cancellation(&self, job: &str) -> Option<Notice> {
        self.cancellation_notices
            .find(job)
            .filter(|notice| !self.stops_known(*notice))
    }

    /// Whether a leader may start tasks of a job whose cancellation became durable at a revision, for all that the mirrors
    /// tell: the leader of then may not have heard of it. A later one has read the store since.
    pub(super) fn leader_may_miss(&self, revision: u64) -> bool {
        let leader_misses = self.replica.leader.as_ref().is_some_and(|leader| {
            leader.record != *self.identity()
                && leader.version <= revision
                && self.cancellation_notices.mirrored_by(&leader.record.node) < revision
        });
        self.replica.revision < revision || leader_misses
    }

    /// Whether no leader can start anything any more of a job whose cancellation is durable: the leader of then has been
    /// told, or its leader lease has ended.
    pub(super) fn stops_known(&self, notice: Notice) -> bool {
        let told = |leader: &Versioned<LeaderRecord>| {
            self.cancellation_notices
                .was_told(&leader.record.node, notice)
        };
        let mirrored = self.replica.revision >= notice.revision();
        mirrored
            && (!self.leader_may_miss(notice.revision())
                || self.replica.leader.as_ref().is_some_and(told))
    }
}
