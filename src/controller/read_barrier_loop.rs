//! Sends read barriers, which make reads of the replica linearizable and extend the leader's authority.

use super::handles::Handles;
use super::metrics::ReadOutcome;
use super::state::{ControllerState, ReadBarrier};
use crate::coordination::leadership::LeadershipEvent;
use std::time::Duration;
use tokio::time::sleep;

/// Time for which reads are collected before one barrier is sent for all of them.
const BATCH_WINDOW: Duration = Duration::from_millis(40);
/// Pause after a barrier is sent, before reads are collected for the next one.
const BARRIER_PAUSE: Duration = Duration::from_millis(60);
/// Maximum time from the request of a read until the replica has reached the revision of its barrier.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);

/// Error of a linearizable read whose barrier failed or whose revision the replica did not reach in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the replica did not catch up in time")]
pub(super) struct ReplicaLags;

impl Handles {
    /// Sends a read barrier for each batch of waiting reads, and one for each renewal of the leader lease, since the leader's
    /// authority depends on it.
    pub(super) async fn run_read_barrier_loop(self) {
        loop {
            self.read_requested.notified().await;
            sleep(BATCH_WINDOW).await;
            let Some(barrier) = self.update_state(ControllerState::next_read_barrier) else {
                continue;
            };
            actix::spawn(self.clone().send_read_barrier(barrier));
            sleep(BARRIER_PAUSE).await;
        }
    }

    async fn send_read_barrier(self, barrier: ReadBarrier) {
        let response = self.store.barrier(&barrier.txn).await;
        // A failed barrier drops its batch here, which makes the reads fail.
        let Ok(revision) = self.record_store_response(response) else {
            return;
        };
        self.update_state(|state| {
            state.apply_leadership_event(LeadershipEvent::RevisionRead {
                requested_at: barrier.requested_at,
                revision,
            });
        });
        barrier.batch.resolve(revision);
    }

    /// Waits until the replica includes every change that was durable when this function was called.
    pub(super) async fn wait_for_linearizable_read(&self) -> Result<(), ReplicaLags> {
        let revision = self.update_state(ControllerState::register_read);
        self.read_requested.notify_one();
        let catch_up = async {
            let revision = revision.await.map_err(|_| ReplicaLags)?;
            let mut replica_revision = self.replica_revision.subscribe();
            let reached = replica_revision
                .wait_for(|reached| *reached >= revision)
                .await;
            reached.map(drop).map_err(|_| ReplicaLags)
        };
        let read = tokio::time::timeout(READ_TIMEOUT, catch_up)
            .await
            .unwrap_or(Err(ReplicaLags));
        self.metrics.record_linearizable_read(match read {
            Ok(()) => ReadOutcome::Completed,
            Err(ReplicaLags) => ReadOutcome::Failed,
        });
        read
    }
}
