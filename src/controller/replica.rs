//! What follows from changes of the mirror of the store.

use super::election::done_rows;
use super::state::ControllerState;
use crate::coordination::leadership::LeadershipEvent;
use crate::protocol as wire;
use crate::protocol::MachineType;
use crate::store::{Mirror, MirrorChange};

impl ControllerState {
    /// The mirror was read anew. True if the leader's key went away.
    pub(super) fn loaded(&mut self, fresh: Mirror) -> bool {
        let seen = self.replica.replace(fresh);
        self.mirrored(seen)
    }

    /// A watch was answered. True if the leader's key went away.
    pub(super) fn watched(&mut self, revision: u64, events: &[wire::Event]) -> bool {
        let seen = self.replica.apply(revision, events);
        self.mirrored(seen)
    }

    fn mirrored(&mut self, seen: Vec<MirrorChange>) -> bool {
        // What has changed is in the scheduler before any authority follows from it.
        let vacant = self.seen(seen);
        let revision = self.replica.revision;
        self.lead_event(LeadershipEvent::ReplicaAdvanced { revision });
        vacant
    }

    /// Takes in what has changed in the mirror. True if the leader's key went away.
    fn seen(&mut self, seen: Vec<MirrorChange>) -> bool {
        let mut vacant = false;
        let wall = self.wall();
        let now = self.now();
        for s in seen {
            match s {
                MirrorChange::Job(id) => {
                    let (Some(scheduler), Some(v)) =
                        (self.scheduler.as_mut(), self.replica.live.get(&id))
                    else {
                        continue;
                    };
                    // Another's word of its cancellation may be here before the mirror has seen it come and go.
                    if self.replica.over(&id).is_some() {
                        continue;
                    }
                    scheduler.at(now);
                    let done = done_rows(&self.replica, &id);
                    scheduler.add_job(v.record.clone(), v.version, &done, wall, false);
                }
                MirrorChange::JobGone(id) => {
                    self.reported_task_counts.remove(&id);
                    if let Some(scheduler) = self.scheduler.as_mut() {
                        scheduler.at(now);
                        scheduler.drop_job(&id);
                    }
                }
                MirrorChange::LeaderGone => vacant = true,
                MirrorChange::Catalogue => {
                    if let Some(c) = &self.replica.catalogue {
                        let types = c.record.clone();
                        self.take_types(&types);
                    }
                }
            }
        }
        let number = self.replica.epoch.as_ref().map_or(0, |e| e.record.number);
        self.newest_epoch = self.newest_epoch.max(number);
        if self
            .term()
            .is_some_and(|term| self.newest_epoch > term.epoch)
        {
            self.lead_event(LeadershipEvent::TermEnded);
        }
        vacant
    }

    pub(super) fn take_types(&mut self, types: &[MachineType]) {
        self.machine_types = types.to_vec();
        if let Some(p) = &mut self.scheduler {
            p.set_types(types);
        }
    }
}
