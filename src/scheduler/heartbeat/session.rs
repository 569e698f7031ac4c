//! Lease, worker session and fencing token of a machine, as updated by its heartbeats.

use super::{Heartbeat, HeartbeatSource};
use crate::protocol::Command;
use crate::scheduler::machines::MachineState;
use crate::scheduler::Scheduler;
use crate::time::duration_from_secs;

impl Scheduler {
    /// Renews the lease of a machine for a request that is about to be answered.
    pub(super) fn renew_lease(&mut self, heartbeat: Heartbeat) {
        let now = self.now();
        let machine = self.machine_mut(heartbeat.machine);
        machine.lease.renew(heartbeat.sequence(), now);
    }

    /// Records contact, session and termination notice from the newest heartbeat, under any token. Returns true if the worker
    /// is in another session than at its previous heartbeat.
    pub(super) fn record_contact(&mut self, heartbeat: Heartbeat) -> bool {
        let now = self.now();
        let report = heartbeat.report;
        let machine = self.machine_mut(heartbeat.machine);
        let last_session = machine.contact.latest_heartbeat().session;
        let is_new_session = report.session > last_session;
        if is_new_session {
            machine.lease.begin_session(now);
        }
        machine
            .contact
            .record_heartbeat(heartbeat.sequence(), &report.address, now);
        let notice = report
            .termination_notice_s
            .map(|seconds| now + duration_from_secs(seconds));
        machine.eviction.set_termination_notice(notice);
        last_session != 0 && is_new_session
    }

    /// Processes the newest heartbeat under the current token, which is authoritative for the tasks on its machine.
    /// Returns true if the reply may start tasks.
    pub(super) fn handle_current_token_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        session_changed: bool,
        commands: &mut Vec<Command>,
    ) -> bool {
        let index = heartbeat.machine;
        self.record_token_acknowledgement(heartbeat);
        if self.machine(index).state() == MachineState::Waiting {
            self.machine_came_up(index);
        }
        let start_lost = self.reconcile(heartbeat, commands);
        // A session that ended although its heartbeats were answered, or a start in a reply that was never executed, may
        // mean that the worker receives nothing from this leader. It has to acknowledge a new token before it gets work
        // again; otherwise such a machine would be given the same tasks and lose them again and again.
        if session_changed {
            self.advance_fencing_token(index, "new worker session");
            return false;
        }
        if start_lost {
            self.advance_fencing_token(index, "start in a heartbeat reply was not executed");
            return false;
        }
        heartbeat.source == HeartbeatSource::Request { may_start: true }
    }

    /// Records that the machine has acknowledged its current token. Requests a scheduling pass if it had not done so before,
    /// or not recently, since tasks may be placed there from now on.
    fn record_token_acknowledgement(&mut self, heartbeat: Heartbeat) {
        let now = self.now();
        let max_gap = self.params.heartbeat_interval * 3;
        let contact = &mut self.machine_mut(heartbeat.machine).contact;
        let was_unavailable = !contact.acknowledges_token() || contact.is_silent_for(max_gap, now);
        contact.acknowledge_token(now);
        self.pass_requested |= was_unavailable;
    }
}
