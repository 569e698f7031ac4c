//! Contact with the worker of a machine: its address, its latest heartbeats, and when it may be probed.

use crate::scheduler::heartbeat::HeartbeatSequence;
use crate::time::Timestamp;
use std::time::Duration;

/// Delay before a machine is probed after its first heartbeat, in which it normally sends the next heartbeat by itself.
const PROBE_AFTER_CONTACT: Duration = Duration::from_secs(1);

/// State of the contact with a machine's worker.
#[derive(Debug)]
pub(in crate::scheduler) struct Contact {
    /// Address of the worker, or empty while it is unknown.
    address: String,
    /// Whether the machine should send heartbeats: it has sent one, may hold tasks, or is listed as running.
    heartbeat_expected: bool,
    /// When the last heartbeat under the current token arrived, or since when heartbeats are expected. Heartbeats under an
    /// older token do not count: they may come from a machine that can send to this leader but receives none of its
    /// messages.
    acknowledged_at: Timestamp,
    /// When the last heartbeat under any token arrived.
    last_heartbeat_at: Option<Timestamp>,
    /// Sequence of the newest heartbeat, whether it was a request or the response to direct commands.
    latest_heartbeat: HeartbeatSequence,
    /// Whether a heartbeat under the current fencing token has arrived.
    acknowledges_token: bool,
    /// Earliest time of the next probe.
    probe_not_before: Timestamp,
}

impl Contact {
    pub(super) fn new(now: Timestamp) -> Self {
        Contact {
            address: String::new(),
            heartbeat_expected: false,
            acknowledged_at: now,
            last_heartbeat_at: None,
            latest_heartbeat: HeartbeatSequence::default(),
            acknowledges_token: false,
            probe_not_before: Timestamp::ZERO,
        }
    }

    /// Returns the worker's address, or an empty string while it is unknown.
    pub(in crate::scheduler) fn address(&self) -> &str {
        &self.address
    }

    /// Sets the worker's address unless one is known.
    pub(in crate::scheduler) fn set_address_if_unknown(&mut self, address: &str) {
        if self.address.is_empty() {
            self.address = address.to_string();
        }
    }

    /// Reports whether the machine should send heartbeats.
    pub(super) fn is_heartbeat_expected(&self) -> bool {
        self.heartbeat_expected
    }

    /// Marks heartbeats as expected although none has arrived. The time of silence is not restarted.
    pub(in crate::scheduler) fn expect_heartbeats(&mut self) {
        self.heartbeat_expected = true;
    }

    /// Marks heartbeats as expected from `now` on. Returns false if they were expected before.
    pub(super) fn expect_heartbeats_from(&mut self, now: Timestamp) -> bool {
        if self.heartbeat_expected {
            return false;
        }
        self.heartbeat_expected = true;
        self.acknowledged_at = now;
        true
    }

    /// Returns when the machine last acknowledged the current token.
    #[cfg(test)]
    pub(in crate::scheduler) fn acknowledged_at(&self) -> Timestamp {
        self.acknowledged_at
    }

    /// Reports whether the machine has not acknowledged the current token for longer than `time`.
    pub(in crate::scheduler) fn is_silent_for(&self, time: Duration, now: Timestamp) -> bool {
        now > self.acknowledged_at + time
    }

    /// Reports whether a heartbeat under any token has arrived within the last `time`.
    pub(super) fn has_heartbeat_within(&self, time: Duration, now: Timestamp) -> bool {
        self.last_heartbeat_at.is_some_and(|at| now <= at + time)
    }

    /// Reports whether no heartbeat has arrived in this epoch.
    pub(super) fn has_no_heartbeat(&self) -> bool {
        self.latest_heartbeat == HeartbeatSequence::default()
    }

    /// Returns the sequence of the newest heartbeat.
    pub(in crate::scheduler) fn latest_heartbeat(&self) -> HeartbeatSequence {
        self.latest_heartbeat
    }

    /// Reports whether the machine has acknowledged its current fencing token.
    pub(in crate::scheduler) fn acknowledges_token(&self) -> bool {
        self.acknowledges_token
    }

    /// Records the newest heartbeat, under any token.
    pub(in crate::scheduler) fn record_heartbeat(
        &mut self,
        sequence: HeartbeatSequence,
        address: &str,
        now: Timestamp,
    ) {
        self.latest_heartbeat = sequence;
        self.last_heartbeat_at = Some(now);
        if self.address != address {
            address.clone_into(&mut self.address);
        }
        if self.expect_heartbeats_from(now) {
            // The worker sends its next heartbeat at once because its token has changed, so a probe would be redundant.
            self.probe_not_before = now + PROBE_AFTER_CONTACT;
        }
    }

    /// Records the newest heartbeat under the current token.
    pub(in crate::scheduler) fn acknowledge_token(&mut self, now: Timestamp) {
        self.acknowledged_at = now;
        self.acknowledges_token = true;
    }

    /// Marks the token as not acknowledged, after it was advanced.
    pub(super) fn reset_acknowledgement(&mut self) {
        self.acknowledges_token = false;
    }

    /// Reports whether a probe may be sent.
    pub(super) fn may_be_probed(&self, now: Timestamp) -> bool {
        !self.address.is_empty() && now >= self.probe_not_before
    }

    /// Records that a probe is sent. The next one may follow at `next_at`.
    pub(super) fn record_probe(&mut self, next_at: Timestamp) {
        self.probe_not_before = next_at;
    }

    /// Moves the recorded times forward by a pause of this process, in which it could receive no heartbeats.
    pub(super) fn exclude_pause(&mut self, pause: Duration) {
        self.acknowledged_at += pause;
        self.last_heartbeat_at = self.last_heartbeat_at.map(|at| at + pause);
    }
}
