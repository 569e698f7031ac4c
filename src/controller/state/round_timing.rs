//! Deadlines of the steps of a scheduling round, and detection of process pauses between two rounds.

#[cfg(test)]
mod tests;

use crate::time::Timestamp;
use std::time::Duration;

/// Time between two ticks, which run the scheduler's timers.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two reviews, which retry tasks that could not be placed and check whether the leader should step down.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two scheduling rounds.
pub(in crate::controller) const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(20);
/// A longer time between two rounds counts as a pause of the process.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Time between two rounds of a follower, which only detect process pauses. It is shorter than [`PAUSE_THRESHOLD`].
pub(super) const FOLLOWER_ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Times at which the steps of the leader's scheduling round are due next.
#[derive(Default)]
pub(super) struct RoundDeadlines {
    tick: Timestamp,
    review: Timestamp,
    placement: Timestamp,
    probes: Timestamp,
}

impl RoundDeadlines {
    /// Reports whether a tick is due and, if so, sets the next deadline.
    pub(super) fn take_tick(&mut self, now: Timestamp) -> bool {
        take_if_due(&mut self.tick, TICK_INTERVAL, now)
    }

    /// Reports whether a review is due and, if so, sets the next deadline.
    pub(super) fn take_review(&mut self, now: Timestamp) -> bool {
        take_if_due(&mut self.review, REVIEW_INTERVAL, now)
    }

    /// Reports whether placement is due.
    pub(super) fn placement_due(&self, now: Timestamp) -> bool {
        now >= self.placement
    }

    /// Sets the next placement deadline after a placement that started at `now` and took `took`.
    ///
    /// The deadline is at least four times `took` after the start, so that placement takes at most a quarter of the time, however
    /// slow the machine is.
    pub(super) fn placement_done(&mut self, now: Timestamp, took: Duration) {
        self.placement = now + 2 * MIN_ROUND_INTERVAL.max(2 * took);
    }

    /// Returns the time until placement is due.
    pub(super) fn until_placement(&self, now: Timestamp) -> Duration {
        self.placement.saturating_duration_since(now)
    }

    /// Reports whether a search for machines to probe is due.
    pub(super) fn probes_due(&self, now: Timestamp) -> bool {
        now >= self.probes
    }

    /// Sets the deadline of the next search for machines to probe, after one that was made at `now`.
    ///
    /// A search visits all machines, and whether a machine is overdue depends on the time alone. So a search that did not
    /// reach its limit leaves no machine to probe before the next tick.
    pub(super) fn probes_done(&mut self, now: Timestamp, reached_limit: bool) {
        self.probes = if reached_limit {
            now
        } else {
            now + TICK_INTERVAL
        };
    }
}

/// Reports whether a deadline is reached and, if so, moves it to one interval after `now`.
fn take_if_due(deadline: &mut Timestamp, interval: Duration, now: Timestamp) -> bool {
    let due = now >= *deadline;
    if due {
        *deadline = now + interval;
    }
    due
}

/// Detects that the process was paused or got no processor time.
#[derive(Default)]
pub(super) struct PauseDetector {
    last_round_at: Timestamp,
}

impl PauseDetector {
    /// Records the start of a round. Returns how long the process was paused since the last round, if it was.
    pub(super) fn start_round(&mut self, now: Timestamp) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_round_at);
        let paused = self.last_round_at > Timestamp::ZERO && gap > PAUSE_THRESHOLD;
        self.last_round_at = now;
        paused.then(|| gap.saturating_sub(TICK_INTERVAL))
    }
}
