//! A scheduling round: the scheduler's timers, the review, placement, and the direct messages to workers.

use super::round_timing::{FOLLOWER_ROUND_INTERVAL, TICK_INTERVAL};
use super::ControllerState;
use crate::coordination::leadership::{Authority, Term};
use crate::protocol::WorkerStatus;
use crate::scheduler::{DirectCommands, Scheduler};
use crate::time::Timestamp;
use std::fmt;
use std::time::Duration;

/// Number of scheduling passes, at least, that a leader lease lasts for. A renewal of the lease waits for the current pass, and so
/// do health checks and users. Passes without a bound once outlasted the lease at 4,000 machines, and leaders ended in series.
const PASSES_PER_LEASE: u32 = 10;

/// The outcome of a scheduling round.
pub(in crate::controller) enum RoundOutcome {
    /// This controller does not schedule or lacks full authority, and sends nothing.
    Idle,
    /// Messages to send to workers.
    Send(Vec<DirectCommands>),
    /// This controller should step down as the leader.
    StepDown(StepDownReason),
}

/// Reason for a leader to step down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::controller) enum StepDownReason {
    /// No worker reports to this leader, which may be isolated from the workers.
    NoHeartbeats,
    /// The epoch has no numbers left for further task attempts.
    AttemptNumbersExhausted,
    /// The leader lease is renewed, but the replica did not catch up with the store within the grace period.
    ReplicaLags,
}

impl fmt::Display for StepDownReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            StepDownReason::NoHeartbeats => "no heartbeats from workers",
            StepDownReason::AttemptNumbersExhausted => "attempt numbers exhausted",
            StepDownReason::ReplicaLags => "replica lags behind the store",
        })
    }
}

/// Limits on the number of messages that a round may send.
#[derive(Debug, Clone, Copy)]
pub(in crate::controller) struct SendLimits {
    /// Maximum number of messages, with or without commands.
    pub(in crate::controller) messages: usize,
    /// Maximum number of probes, which are messages without commands.
    pub(in crate::controller) probes: usize,
}

impl ControllerState {
    /// Runs one scheduling round.
    pub(in crate::controller) fn run_scheduling_round(
        &mut self,
        limits: SendLimits,
    ) -> RoundOutcome {
        self.detect_process_pause();
        let now = self.now();
        let authority = self.authority();
        self.run_scheduler_timers(now);
        if self.scheduler.is_none() || authority != Authority::Full {
            return RoundOutcome::Idle;
        }
        if let Some(reason) = self.review(now) {
            return RoundOutcome::StepDown(reason);
        }
        self.place_tasks(now);
        RoundOutcome::Send(self.messages_to_send(limits, now))
    }

    fn run_scheduler_timers(&mut self, now: Timestamp) {
        let Some(scheduler) = self.scheduler.as_mut() else {
            return;
        };
        scheduler.advance_clock(now.as_millis());
        if self.round_deadlines.take_tick(now) {
            scheduler.tick(now.as_millis());
        }
    }

    /// Runs a review, if one is due: lets the scheduler retry the tasks that it could not place, and checks whether this leader
    /// should step down. Returns the reason to step down, if there is one.
    fn review(&mut self, now: Timestamp) -> Option<StepDownReason> {
        let has_peers = !self.settings.platform.peers.is_empty();
        let scheduler = self.scheduler.as_mut()?;
        if !self.round_deadlines.take_review(now) {
            return None;
        }
        scheduler.request_pass();
        if has_peers && scheduler.is_isolated_from_workers() {
            return Some(StepDownReason::NoHeartbeats);
        }
        scheduler
            .has_exhausted_attempts()
            .then_some(StepDownReason::AttemptNumbersExhausted)
    }

    fn place_tasks(&mut self, now: Timestamp) {
        let Some(scheduler) = self.scheduler.as_mut() else {
            return;
        };
        if !self.round_deadlines.placement_due(now) {
            return;
        }
        let limit = self.settings.operator.leader_lease() / PASSES_PER_LEASE;
        let clock = &self.clock;
        let may_continue = || clock.now().saturating_duration_since(now) < limit;
        if scheduler.place_while(may_continue) {
            scheduler.preempt_for_production();
        }
        let took = self.clock.now().saturating_duration_since(now);
        self.round_deadlines.placement_done(now, took);
    }

    /// Returns direct commands for workers, if the operator settings allow direct starts, and probes of overdue workers.
    fn messages_to_send(&mut self, limits: SendLimits, now: Timestamp) -> Vec<DirectCommands> {
        let Some(scheduler) = self.scheduler.as_mut() else {
            return Vec::new();
        };
        let mut messages = if self.settings.operator.direct_starts {
            scheduler.direct_commands(limits.messages)
        } else {
            Vec::new()
        };
        if self.round_deadlines.probes_due(now) {
            let remaining = limits.messages.saturating_sub(messages.len());
            let limit = remaining.min(limits.probes);
            let probes = scheduler.due_probes(limit);
            self.round_deadlines.probes_done(now, probes.len() >= limit);
            messages.extend(probes);
        }
        messages
    }

    /// Returns the time until the next round: the tick interval, or less if placement is due earlier.
    pub(in crate::controller) fn until_next_round(&self) -> Duration {
        let Some(scheduler) = &self.scheduler else {
            return FOLLOWER_ROUND_INTERVAL;
        };
        if scheduler.is_pass_requested() && self.authority() == Authority::Full {
            self.round_deadlines
                .until_placement(self.now())
                .clamp(Duration::from_millis(1), TICK_INTERVAL)
        } else {
            TICK_INTERVAL
        }
    }

    /// Reports whether a round should run at once after a heartbeat. A heartbeat that changed nothing needs no round.
    pub(in crate::controller) fn needs_round(&self) -> bool {
        self.scheduler.as_ref().is_some_and(Scheduler::needs_pass)
    }

    /// Reports whether a direct message that was decided on in a term may still be sent.
    pub(in crate::controller) fn may_send_direct(
        &self,
        term: Option<Term>,
        message: &DirectCommands,
    ) -> bool {
        self.may_send(term)
            && self
                .scheduler
                .as_ref()
                .is_some_and(|scheduler| scheduler.is_still_valid(message))
    }

    /// Handles a worker's response to a direct message, or the lack of one. Responses to messages of an earlier term are ignored.
    pub(in crate::controller) fn handle_direct_response(
        &mut self,
        term: Option<Term>,
        message: &DirectCommands,
        response: Option<&WorkerStatus>,
    ) {
        if term.is_none() || self.term() != term {
            return;
        }
        if let Some(scheduler) = self.scheduler_at_now() {
            scheduler.handle_direct_response(message, response);
        }
    }

    /// Detects whether the process was paused, or got no processor time, since the last round.
    ///
    /// If so, the pause is not counted as time without contact to the store and the peers. Without this correction, a
    /// controller that resumed after a pause reported to the load balancer that it was isolated.
    fn detect_process_pause(&mut self) {
        let now = self.now();
        let Some(pause) = self.pause_detector.start_round(now) else {
            return;
        };
        tracing::info!(
            pause_ms = pause.as_millis(),
            "process was paused; store and peer timeouts exclude the pause"
        );
        self.store_contact.exclude_pause(pause, now);
        self.peer_health.exclude_pause(pause, now);
    }
}
