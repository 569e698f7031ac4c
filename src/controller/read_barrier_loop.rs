//! Makes reads of the replica linearizable: sends read barriers for the reads that wait, and keeps the leader's authority
//! current with them.

use super::handles::Handles;
use super::state::{ControllerState, ReadBarrier};
use crate::coordination::leadership::LeadershipEvent;
use std::time::Duration;
use tokio::time::sleep;

/// Time in which reads are collected before a barrier is sent for all of them.
const COLLECTION_TIME: Duration = Duration::from_millis(40);
/// Time after the sending of a barrier before reads are collected for the next one.
const BARRIER_PAUSE: Duration = Duration::from_millis(60);
/// Time within which the replica has to reach the revision of a read's barrier.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);

/// The replica did not catch up in time with the moment of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the replica did not catch up in time")]
pub(super) struct ReplicaLags;

impl Handles {
    /// Sends read barriers: one for all reads of a moment, and one for each renewal of the leader lease, on which the leader's
    /// authority depends.
    pub(super) async fn run_read_barrier_loop(self) {
        loop {
            self.read_requested.notified().await;
            sleep(COLLECTION_TIME).await;
            let Some(barrier) = self.with_state(ControllerState::next_read_barrier) else {
                continue;
            };
            actix::spawn(self.clone().send_read_barrier(barrier));
            sleep(BARRIER_PAUSE).await;
        }
    }

    async fn send_read_barrier(self, barrier: ReadBarrier) {
        let answer = self.store.barrier(&barrier.txn).await;
        // If the barrier failed, its reads fail with the batch that is dropped here.
        let Ok(revision) = self.record_store_answer(answer) else {
            return;
        };
        self.with_state(|state| {
            state.apply_leadership_event(LeadershipEvent::RevisionRead {
                requested_at: barrier.requested_at,
                revision,
            });
        });
        barrier.batch.resolve(revision);
    }

    /// Waits until the replica is at least as new as the moment of this call.
    pub(super) async fn wait_for_linearizable_read(&self) -> Result<(), ReplicaLags> {
        let revision = self.with_state(ControllerState::register_read);
        self.read_requested.notify_one();
        let catch_up = async {
            let revision = revision.await.map_err(|_| ReplicaLags)?;
            let mut replica_revision = self.replica_revision.subscribe();
            let reached = replica_revision
                .wait_for(|reached| *reached >= revision)
                .await;
            reached.map(drop).map_err(|_| ReplicaLags)
        };
        tokio::time::timeout(READ_TIMEOUT, catch_up)
            .await
            .unwrap_or(Err(ReplicaLags))
    }
}
