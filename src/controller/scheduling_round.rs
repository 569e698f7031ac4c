//! One round of the leader: what time brings, placing, and the messages that are sent.

use super::state::{ControllerState, PASS_MS, PAUSE_MS, TICK_MS};
use crate::coordination::leadership::{Authority, Term};
use crate::protocol::Report;
use crate::scheduler::{Direct, Scheduler};

/// Time between two looks of a follower at whether its process stood still; shorter than what counts as a pause.
const FOLLOWER_TICK_MS: u64 = PAUSE_MS / 2;

/// When the leader's next round of each kind is due.
#[derive(Default)]
pub(super) struct Due {
    pub(super) tick: u64,
    pub(super) reconsider: u64,
    pub(super) place: u64,
    pub(super) probe: u64,
}

/// What a leader's round brings.
pub(super) enum Pass {
    /// Nothing may be sent.
    Nothing,
    /// Messages for workers.
    Sends(Vec<Direct>),
    /// Leadership is to be given up, for this reason.
    GiveUp(&'static str),
}

impl ControllerState {
    /// A leader's round: what time brings, placing, and at most `room` messages, of them at most `probes` empty ones.
    pub(super) fn pass(&mut self, room: usize, probes: usize) -> Pass {
        self.notice_pause();
        let (now, authority) = (self.now(), self.authority());
        let (direct, alone) = (
            self.settings.operator.direct_starts,
            self.settings.platform.peers.is_empty(),
        );
        let Some(scheduler) = self.scheduler.as_mut() else {
            return Pass::Nothing;
        };
        scheduler.at(now);
        if now >= self.due.tick {
            self.due.tick = now + TICK_MS;
            scheduler.tick(now);
        }
        if authority != Authority::Full {
            return Pass::Nothing;
        }
        if now >= self.due.reconsider {
            self.due.reconsider = now + 5 * TICK_MS;
            scheduler.reconsider();
            if !alone && scheduler.hears_no_worker() {
                return Pass::GiveUp("hears no worker");
            }
            if scheduler.is_exhausted() {
                return Pass::GiveUp("the numbers for attempts are used up");
            }
        }
        if now >= self.due.place {
            if scheduler.place() {
                scheduler.make_room();
            }
            // Passes take a fifth of the time at most, however long one takes on this machine.
            let took = self.now() - now;
            self.due.place = now + 2 * PASS_MS.max(2 * took);
        }
        let Some(scheduler) = self.scheduler.as_mut() else {
            return Pass::Nothing;
        };
        let mut sends = if direct {
            scheduler.direct(room)
        } else {
            Vec::new()
        };
        if now >= self.due.probe {
            let allowed = (room - sends.len().min(room)).min(probes);
            let found = scheduler.probes(allowed);
            // Who is overdue is a question of time, and to ask it goes over all machines; more wait only after a full round.
            self.due.probe = if found.len() < allowed {
                now + TICK_MS
            } else {
                now
            };
            sends.extend(found);
        }
        Pass::Sends(sends)
    }

    /// When the next round is due: at the next tick, or as soon as something may be placed.
    pub(super) fn next_pass_in_ms(&self) -> u64 {
        let Some(scheduler) = &self.scheduler else {
            return FOLLOWER_TICK_MS;
        };
        if scheduler.has_changed() && self.authority() == Authority::Full {
            self.due.place.saturating_sub(self.now()).clamp(1, TICK_MS)
        } else {
            TICK_MS
        }
    }

    /// The answer to a message to a worker. One for an earlier term means nothing to this one.
    pub(super) fn direct_answer(
        &mut self,
        term: Option<Term>,
        sent: &Direct,
        answer: Option<&Report>,
    ) {
        let now = self.now();
        if let Some(scheduler) = self.scheduler.as_mut().filter(|_| term.is_some()) {
            if self.leadership.term() == term {
                scheduler.at(now);
                scheduler.direct_answer(sent, answer);
            }
        }
    }

    /// Notes that this node runs. After it stood still, or had no processor, what it has not heard meanwhile says nothing of
    /// the state service and of the other nodes: a node that woke up once told the balancer that it was cut off.
    pub(super) fn notice_pause(&mut self) {
        let now = self.now();
        let gap = now.saturating_sub(self.passed_at);
        if self.passed_at > 0 && gap > PAUSE_MS {
            let pause = gap - TICK_MS;
            tracing::info!(pause, "stood still");
            self.store_answered_at = (self.store_answered_at + pause).min(now);
            self.peer_health.stood_still(pause, now);
        }
        self.passed_at = now;
    }

    /// Whether a round should follow a report at once. Nothing follows from one that tells nothing new.
    pub(super) fn needs_pass(&self) -> bool {
        self.scheduler.as_ref().is_some_and(Scheduler::needs_pass)
    }

    /// Whether direct commands that were decided in a term may still be sent.
    pub(super) fn may_send_direct(&self, term: Option<Term>, direct: &Direct) -> bool {
        self.may_send(term)
            && self
                .scheduler
                .as_ref()
                .is_some_and(|s| s.still_wanted(direct))
    }
}
