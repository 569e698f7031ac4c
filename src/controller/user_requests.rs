//! What users ask: submissions, polls, cancellations.

use super::handles::{pause, Handles};
use super::job_status::over_view;
use super::messages::JobOutcome;
use crate::coordination::leadership::longest_authority;
use crate::coordination::peers::{CancelledJob, Notice};
use crate::protocol::{JobSpec, JobState, JobView, Txn};
use crate::store;
use crate::store::{Decided, LiveRecord, OverRecord, StoreError, Versioned};
use crate::time::{duration, whole_millis};
use std::time::Duration;

/// Between two looks at whether the leader knows of a cancellation.
const ACKNOWLEDGEMENT_POLL_MS: u64 = 10;

impl Handles {
    /// A final state read from the store; `Gone` if there is none.
    pub(super) async fn read_over(&self, id: &str) -> Result<OverRecord, StoreError> {
        if let Some(r) = self.state.borrow().replica.over(id) {
            return Ok(r);
        }
        Ok(self.final_state(id).await?.record)
    }

    /// A final state as the store has it.
    async fn final_state(&self, id: &str) -> Result<Versioned<OverRecord>, StoreError> {
        let read =
            self.record_store_answer(self.store.get::<OverRecord>(&store::over_key(id)).await)?;
        self.state.borrow_mut().learn_final_state(id, &read);
        Ok(read)
    }

    pub(super) async fn poll(self, id: String) -> JobOutcome {
        if let Some(over) = self.state.borrow().replica.over(&id) {
            return JobOutcome::Known(over_view(&id, over));
        }
        if !self.current().await {
            return JobOutcome::RETRY_SOON;
        }
        if let Some(view) = self.state.borrow().view(&id) {
            return JobOutcome::Known(view);
        }
        if self.state.borrow().replica.absent(&id) {
            return JobOutcome::NotFound;
        }
        if let Err(later) = self.admit_read() {
            return later;
        }
        let generation = self.state.borrow().replica.generation;
        match self.read_over(&id).await {
            Ok(over) => JobOutcome::Known(over_view(&id, over)),
            Err(StoreError::Gone) => {
                self.state
                    .borrow_mut()
                    .replica
                    .remember_absent(&id, generation);
                JobOutcome::NotFound
            }
            Err(_) => JobOutcome::RETRY_SOON,
        }
    }

    /// Whether a user's question may cost a read of its own now.
    fn admit_read(&self) -> Result<(), JobOutcome> {
        let mut controller = self.state.borrow_mut();
        let now = controller.now();
        controller
            .user_reads
            .take(now)
            .map_err(|wait_ms| JobOutcome::RetryAfter(Duration::from_millis(wait_ms)))
    }

    /// Whether a user may cause a number of changes now.
    fn admit(&self, changes: u32) -> Result<(), JobOutcome> {
        let mut controller = self.state.borrow_mut();
        let now = controller.now();
        controller.adjust_pace();
        controller
            .user_changes
            .take(changes, now)
            .map_err(|seconds| JobOutcome::RetryAfter(Duration::from_secs(u64::from(seconds))))
    }

    /// A user's transaction: tried once, since the user is told when to come back.
    async fn user_txn(&self, txn: &Txn) -> Result<Decided, StoreError> {
        let done = self.record_store_answer(self.store.txn(txn).await);
        let mut controller = self.state.borrow_mut();
        match done {
            Err(StoreError::Busy) => controller.user_changes.refused(),
            Ok(_) => controller.user_changes.taken(),
            _ => {}
        }
        done
    }

    pub(super) async fn submit(self, spec: JobSpec) -> JobOutcome {
        let id = spec.id.clone();
        if let Some(over) = self.state.borrow().replica.over(&id) {
            return JobOutcome::Known(over_view(&id, over));
        }
        let (known, ready, never, at_ms) = {
            let controller = self.state.borrow();
            let ready = controller.replica.loaded && !controller.machine_types.is_empty();
            (
                controller.replica.live.contains_key(&id),
                ready,
                controller.impossible(&spec),
                controller.wall(),
            )
        };
        if known {
            // Repeated: a failed transaction would count as a change, and crowds of repeats would use up the changes.
            return match self.poll(id).await {
                JobOutcome::NotFound => JobOutcome::RETRY_SOON,
                known => known,
            };
        }
        if !ready {
            return JobOutcome::RETRY_SOON;
        }
        if let Some(reason) = never {
            // A job accepted once stays accepted, whatever the machine types are now.
            return match self.clone().poll(id).await {
                JobOutcome::NotFound => JobOutcome::Rejected(reason),
                other => other,
            };
        }
        if let Err(later) = self.admit(1) {
            return later;
        }
        let txn = store::submit_txn(&id, &LiveRecord { spec, at_ms });
        let queued = JobView {
            id: id.clone(),
            state: JobState::Queued,
            done: Some(0),
            running: Some(0),
        };
        match self.user_txn(&txn).await {
            Ok(Decided::Applied(_)) => JobOutcome::Accepted(queued),
            Ok(Decided::Failed(keys)) if keys.contains(&store::over_key(&id)) => {
                match self.read_over(&id).await {
                    Ok(over) => JobOutcome::Known(over_view(&id, over)),
                    Err(_) => JobOutcome::RETRY_SOON,
                }
            }
            Ok(Decided::Failed(_)) => {
                let controller = self.state.borrow();
                if controller.replica.live.contains_key(&id) {
                    JobOutcome::Known(controller.view(&id).unwrap_or(queued))
                } else {
                    JobOutcome::Known(queued)
                }
            }
            // Read back what an unanswered transaction did.
            Err(StoreError::Unknown) => {
                match self
                    .record_store_answer(self.store.get::<LiveRecord>(&store::live_key(&id)).await)
                {
                    Ok(_) => JobOutcome::Known(queued),
                    Err(_) => JobOutcome::RETRY_SOON,
                }
            }
            Err(_) => JobOutcome::RETRY_SOON,
        }
    }

    /// Confirms a cancellation that is durable at a revision.
    async fn confirm(&self, id: &str, over: OverRecord, revision: u64) -> JobOutcome {
        let cancelled = CancelledJob {
            job: id.to_string(),
            tasks: over.tasks,
            revision,
        };
        self.state.borrow_mut().note_cancellation(cancelled);
        self.cancellation_recorded.notify_one();
        self.round_requested.notify_one();
        self.answer_final(id, over).await
    }

    /// The answer to a request to cancel a job that is final. Of one that is cancelled nothing can start any more by then:
    /// a request that was repeated at another node was once answered before the leader knew.
    async fn answer_final(&self, id: &str, over: OverRecord) -> JobOutcome {
        let unsettled = self.state.borrow().unsettled_cancellation(id);
        if let Some(notice) = unsettled {
            self.stops_known(notice).await;
        }
        JobOutcome::Known(over_view(id, over))
    }

    /// Waits until no start of a cancelled job can be sent any more: until the leader has been told, mostly milliseconds,
    /// or its authority to start has surely ended without a word.
    async fn stops_known(&self, notice: Notice) {
        let (begun, most) = {
            let controller = self.state.borrow();
            (
                controller.now(),
                whole_millis(longest_authority(duration(
                    controller.settings.operator.hold_s,
                ))),
            )
        };
        loop {
            {
                let controller = self.state.borrow();
                if controller.stops_known(notice) || controller.now() > begun + most {
                    return;
                }
            }
            pause(ACKNOWLEDGEMENT_POLL_MS).await;
        }
    }

    pub(super) async fn abort(self, id: String) -> JobOutcome {
        for _ in 0..3 {
            let known = self.state.borrow().replica.over(&id);
            if let Some(over) = known {
                return self.answer_final(&id, over).await;
            }
            let live = self.state.borrow().replica.live.get(&id).cloned();
            let Some(live) = live else {
                match self.clone().poll(id.clone()).await {
                    // Unfinished after all, or final, as is known from now on.
                    JobOutcome::Known(_) => continue,
                    other => return other,
                }
            };
            let over = OverRecord {
                cancelled: true,
                tasks: live.record.spec.tasks,
            };
            if let Err(later) = self.admit(3) {
                return later;
            }
            let txn = store::abort_txn(&id, &live);
            match self.user_txn(&txn).await {
                Ok(Decided::Applied(revision)) => return self.confirm(&id, over, revision).await,
                Ok(Decided::Failed(_)) | Err(StoreError::Unknown) => {
                    match self.final_state(&id).await {
                        Ok(found) if found.record.cancelled => {
                            return self.confirm(&id, found.record, found.version).await
                        }
                        Ok(found) => return JobOutcome::Known(over_view(&id, found.record)),
                        Err(StoreError::Gone) => pause(100).await,
                        Err(_) => return JobOutcome::RETRY_SOON,
                    }
                }
                Err(_) => return JobOutcome::RETRY_SOON,
            }
        }
        JobOutcome::RETRY_SOON
    }
}
