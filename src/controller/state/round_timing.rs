//! When the steps of a scheduling round are due, and whether the process was paused between two rounds.

#[cfg(test)]
mod tests;

use crate::time::Timestamp;
use std::time::Duration;

/// Time between two runs of the scheduler's timers.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two reviews of what cannot be placed and of the leader's own condition.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two scheduling rounds.
pub(in crate::controller) const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(20);
/// A longer time between two rounds means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Time between two rounds of a follower, which only detect process pauses; shorter than what counts as one.
pub(super) const FOLLOWER_ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// When each step of the leader's scheduling round is due next.
#[derive(Default)]
pub(super) struct RoundDeadlines {
    tick: Timestamp,
    review: Timestamp,
    placement: Timestamp,
    probes: Timestamp,
}

impl RoundDeadlines {
    /// Whether the scheduler's timers are due. If so, the next time is set.
    pub(super) fn take_tick(&mut self, now: Timestamp) -> bool {
        take_if_due(&mut self.tick, TICK_INTERVAL, now)
    }

    /// Whether a review is due. If so, the next time is set.
    pub(super) fn take_review(&mut self, now: Timestamp) -> bool {
        take_if_due(&mut self.review, REVIEW_INTERVAL, now)
    }

    /// Whether placement is due.
    pub(super) fn placement_due(&self, now: Timestamp) -> bool {
        now >= self.placement
    }

    /// Placement was done and took a time. It takes a fifth of the time at most, however long it takes on this machine.
    pub(super) fn placement_done(&mut self, now: Timestamp, took: Duration) {
        self.placement = now + 2 * MIN_ROUND_INTERVAL.max(2 * took);
    }

    /// The time until placement is due.
    pub(super) fn until_placement(&self, now: Timestamp) -> Duration {
        self.placement.saturating_duration_since(now)
    }

    /// Whether a search for machines to probe is due.
    pub(super) fn probes_due(&self, now: Timestamp) -> bool {
        now >= self.probes
    }

    /// Machines to probe were searched. The search goes over all machines, and which are overdue depends on the time alone:
    /// if it did not reach its limit, none is left until the next tick.
    pub(super) fn probes_done(&mut self, now: Timestamp, reached_limit: bool) {
        self.probes = if reached_limit {
            now
        } else {
            now + TICK_INTERVAL
        };
    }
}

/// Whether a deadline is reached; if so, it is set anew.
fn take_if_due(deadline: &mut Timestamp, interval: Duration, now: Timestamp) -> bool {
    let due = now >= *deadline;
    if due {
        *deadline = now + interval;
    }
    due
}

/// Detects that the process was paused, or had no processor.
#[derive(Default)]
pub(super) struct PauseDetector {
    last_round_at: Timestamp,
}

impl PauseDetector {
    /// A round starts. Returns for how long the process was paused since the last one, if it was.
    pub(super) fn start_round(&mut self, now: Timestamp) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_round_at);
        let paused = self.last_round_at > Timestamp::ZERO && gap > PAUSE_THRESHOLD;
        self.last_round_at = now;
        paused.then(|| gap.saturating_sub(TICK_INTERVAL))
    }
}
