//! Handling of changes of the replica of the store.

use super::epoch_start::stored_results;
use super::ControllerState;
use crate::coordination::leadership::LeadershipEvent;
use crate::protocol as wire;
use crate::protocol::MachineType;
use crate::store::{Epoch, Replica, ReplicaChange, Revision};

/// Effect of changes of the replica on the leader key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub(in crate::controller) enum LeaderKeyChange {
    /// The leader key was deleted: leadership is vacant.
    Deleted,
    /// The leader key was not deleted.
    NotDeleted,
}

impl ControllerState {
    /// Replaces the replica by one that was read anew from the store.
    pub(in crate::controller) fn replace_replica(&mut self, fresh: Replica) -> LeaderKeyChange {
        let changes = self.replica.replace(fresh);
        self.apply_replica_changes(changes)
    }

    /// Applies the events of a watch, which are complete up to a revision, to the replica.
    pub(in crate::controller) fn apply_watch_events(
        &mut self,
        revision: Revision,
        events: &[wire::Event],
    ) -> LeaderKeyChange {
        let changes = self.replica.apply(revision, events);
        self.apply_replica_changes(changes)
    }

    /// Applies changes of the replica. The scheduler gets them before the leadership learns of the new revision, so that the
    /// authority is never extended while the scheduler lacks a cancellation.
    fn apply_replica_changes(&mut self, changes: Vec<ReplicaChange>) -> LeaderKeyChange {
        let mut leader_key_change = LeaderKeyChange::NotDeleted;
        let unix_millis = self.clock.unix_millis();
        for change in changes {
            match change {
                ReplicaChange::JobAdded { job: id } => self.add_job(&id, unix_millis),
                ReplicaChange::JobRemoved { job: id } => self.remove_job(&id),
                ReplicaChange::LeaderRemoved => leader_key_change = LeaderKeyChange::Deleted,
                ReplicaChange::CatalogueChanged => self.apply_stored_machine_types(),
            }
        }
        let epoch = self.replica.epoch.as_ref();
        let number = epoch.map_or(Epoch::ZERO, |epoch| epoch.record.number);
        self.observe_epoch(number);
        let revision = self.replica.revision;
        self.apply_leadership_event(LeadershipEvent::ReplicaAdvanced { revision });
        leader_key_change
    }

    /// Adds an unfinished job to the scheduler, unless its final state is known already: a peer may have sent the job's
    /// cancellation before this replica contains the job.
    fn add_job(&mut self, id: &str, unix_millis: u64) {
        let now = self.now();
        let (Some(scheduler), Some(job)) = (self.scheduler.as_mut(), self.replica.live.get(id))
        else {
            return;
        };
        if self.replica.final_state(id).is_some() {
            return;
        }
        scheduler.advance_clock(now.as_millis());
        let results = stored_results(&self.replica, id);
        scheduler.add_job(
            job.record.clone(),
            job.version,
            &results,
            unix_millis,
            false,
        );
    }

    /// Drops a job that is no longer unfinished.
    fn remove_job(&mut self, id: &str) {
        self.leader_report.forget_job(id);
        if let Some(scheduler) = self.scheduler_at_now() {
            scheduler.stop_job(id);
        }
    }

    fn apply_stored_machine_types(&mut self) {
        if let Some(machine_types) = &self.replica.catalogue {
            let machine_types = machine_types.record.clone();
            self.set_machine_types(&machine_types);
        }
    }

    /// Replaces the machine types that can be rented.
    pub(in crate::controller) fn set_machine_types(&mut self, machine_types: &[MachineType]) {
        self.machine_types = machine_types.to_vec();
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.update_machine_types(machine_types);
        }
    }
}
