//! Access for tests to parts of the state, to set up a situation or to inspect it.

use super::{Cancellations, Clock, ControllerState, Replica, Scheduler};

impl ControllerState {
    pub(in crate::controller) fn clock(&self) -> &Clock {
        &self.clock
    }

    pub(in crate::controller) fn set_clock(&mut self, clock: Clock) {
        self.clock = clock;
    }

    pub(in crate::controller) fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    pub(in crate::controller) fn scheduler_mut(&mut self) -> Option<&mut Scheduler> {
        self.scheduler.as_mut()
    }

    pub(in crate::controller) fn cancellations_mut(&mut self) -> &mut Cancellations {
        &mut self.cancellations
    }
}
