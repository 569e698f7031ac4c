//! What a heartbeat says of the contact with its worker: lease, session (agent incarnation) and fencing token.

use super::{Heartbeat, HeartbeatSource};
use crate::protocol::Command;
use crate::scheduler::machines::MachineState;
use crate::scheduler::Scheduler;
use crate::time::duration;

impl Scheduler {
    /// Counts the lease of a machine from a request that is about to be answered.
    pub(super) fn renew_lease(&mut self, heartbeat: Heartbeat) {
        let now = self.now();
        let machine = self.machine_mut(heartbeat.machine);
        machine.lease.renew(heartbeat.sequence(), now);
    }

    /// Records what the newest heartbeat tells of its machine, whatever its token. True if the worker is in another session
    /// than before.
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
            .eviction_notice_s
            .map(|seconds| now + duration(seconds));
        machine.eviction.set_notice(notice);
        last_session != 0 && is_new_session
    }

    /// Processes the newest heartbeat under the current token, which is the truth about its machine.
    pub(super) fn handle_confirmed_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        session_changed: bool,
        commands: &mut Vec<Command>,
    ) {
        let index = heartbeat.machine;
        self.confirm_token(heartbeat);
        if self.machine(index).state() == MachineState::Waiting {
            self.machine_came_up(index);
        }
        let start_lost = self.reconcile(heartbeat, commands);
        // A session that ended although its heartbeats were answered, or a start in an answer that was never executed,
        // may mean that the worker hears nothing of us: it has to show a new token before it gets work again. Without
        // this, such a machine took the same tasks again and again and lost them.
        if session_changed {
            self.advance_fencing_token(index, "another session");
        } else if start_lost {
            self.advance_fencing_token(index, "an answer was lost");
        } else if heartbeat.source == (HeartbeatSource::Request { may_start: true }) {
            self.answer_with_starts(index, commands);
        }
    }

    /// The machine shows its current token. If it had not done so, or not recently, tasks may be placed there from now on.
    fn confirm_token(&mut self, heartbeat: Heartbeat) {
        let now = self.now();
        let overdue = self.params.heartbeat_interval * 3;
        let contact = &mut self.machine_mut(heartbeat.machine).contact;
        let was_unavailable = !contact.acknowledges_token() || contact.is_silent_for(overdue, now);
        contact.acknowledge_token(now);
        self.pass_requested |= was_unavailable;
    }
}
