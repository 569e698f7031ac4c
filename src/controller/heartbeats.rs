//! The answers to the reports of workers.

use super::messages::HeartbeatOutcome;
use super::state::{ControllerState, UnregisteredMachine, UNREGISTERED_LIMIT};
use crate::coordination::leadership::{Authority, LeadershipEvent};
use crate::protocol::Report;
use crate::scheduler::{Arrival, ReportOutcome};
use crate::time::Timestamp;
use std::time::Instant;

impl ControllerState {
    pub(super) fn report(&mut self, r: &Report) -> HeartbeatOutcome {
        let now = self.now();
        let authority = self.authority();
        let leader = self.replica.leader.as_ref().map(|l| l.record.node.clone());
        let elsewhere = |l: Option<String>, me: &str| match l.filter(|l| l != me) {
            Some(l) => HeartbeatOutcome::Redirect(Some(l)),
            None => HeartbeatOutcome::NoLeader,
        };
        if authority == Authority::None {
            return elsewhere(leader, &self.identity.node);
        }
        let Some(scheduler) = self.scheduler.as_mut() else {
            return HeartbeatOutcome::NoLeader;
        };
        scheduler.at(now);
        match scheduler.report(
            r,
            Arrival::Report {
                may_start: authority == Authority::Full,
            },
        ) {
            ReportOutcome::Reply(reply) => HeartbeatOutcome::Reply(reply),
            ReportOutcome::Superseded => {
                self.lead_event(LeadershipEvent::TermEnded);
                HeartbeatOutcome::NoLeader
            }
            ReportOutcome::UnregisteredMachine => {
                if !self.released.contains_key(&r.machine)
                    && self.unregistered.len() < UNREGISTERED_LIMIT
                {
                    let (machine_type, zone) = (r.machine_type.clone(), r.zone.clone());
                    let ask = Some((r.address.clone(), r.session));
                    self.unregistered.insert(
                        r.machine.clone(),
                        UnregisteredMachine {
                            machine_type,
                            zone,
                            spot: r.spot,
                            ask,
                        },
                    );
                }
                HeartbeatOutcome::NoLeader
            }
        }
    }

    /// The moment at which an answer to a worker that is decided now becomes void.
    pub(super) fn answer_valid_until(&self) -> Option<Instant> {
        let now = Timestamp::from_millis(self.now());
        let remaining = self
            .leadership
            .authority_ends(now)
            .saturating_duration_since(now);
        Instant::now().checked_add(remaining)
    }
}
