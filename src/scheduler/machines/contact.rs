//! When and how a machine was last heard from.

use crate::scheduler::heartbeat::HeartbeatSequence;
use crate::time::Timestamp;
use std::time::Duration;

/// Time until a machine that is heard for the first time is probed, if it does not report again by itself.
const PROBE_AFTER_CONTACT: Duration = Duration::from_secs(1);

/// The contact with a machine's worker.
#[derive(Debug)]
pub(in crate::scheduler) struct Contact {
    /// Address of the worker; empty while it is unknown.
    address: String,
    /// Whether the machine is known to be up: it has reported, holds tasks, or is listed as running.
    expected: bool,
    /// When a heartbeat under the current token last arrived, or when the machine became known to be up. Heartbeats under
    /// an older token do not count: they may come from a machine that nothing of ours reaches.
    heard_at: Timestamp,
    /// When its last heartbeat, under whichever token, arrived.
    reported_at: Option<Timestamp>,
    /// The newest heartbeat, request or response to direct commands.
    latest_heartbeat: HeartbeatSequence,
    /// Whether heartbeats under the current fencing token have arrived.
    acknowledges_token: bool,
    /// No probe is sent before.
    probe_not_before: Timestamp,
}

impl Contact {
    pub(super) fn new(now: Timestamp) -> Self {
        Contact {
            address: String::new(),
            expected: false,
            heard_at: now,
            reported_at: None,
            latest_heartbeat: HeartbeatSequence::default(),
            acknowledges_token: false,
            probe_not_before: Timestamp::ZERO,
        }
    }

    /// The worker's address; empty while it is unknown.
    pub(in crate::scheduler) fn address(&self) -> &str {
        &self.address
    }

    /// Sets the address unless one is known.
    pub(in crate::scheduler) fn set_address_if_unknown(&mut self, address: &str) {
        if self.address.is_empty() {
            self.address = address.to_string();
        }
    }

    /// Whether heartbeats of the machine are expected.
    pub(super) fn is_expected(&self) -> bool {
        self.expected
    }

    /// Heartbeats of the machine are expected, though it was not heard.
    pub(in crate::scheduler) fn expect(&mut self) {
        self.expected = true;
    }

    /// Heartbeats of the machine are expected from now on. False if they were before.
    pub(super) fn expect_from(&mut self, now: Timestamp) -> bool {
        if self.expected {
            return false;
        }
        self.expected = true;
        self.heard_at = now;
        true
    }

    /// When the machine last showed the current token.
    #[cfg(test)]
    pub(in crate::scheduler) fn heard_at(&self) -> Timestamp {
        self.heard_at
    }

    /// Whether the machine has not shown the current token for longer than a time.
    pub(in crate::scheduler) fn is_silent_for(&self, time: Duration, now: Timestamp) -> bool {
        now > self.heard_at + time
    }

    /// Whether a heartbeat under whichever token has arrived within a time.
    pub(super) fn has_reported_within(&self, time: Duration, now: Timestamp) -> bool {
        self.reported_at.is_some_and(|at| now <= at + time)
    }

    /// Whether no heartbeat has arrived in this epoch.
    pub(super) fn was_never_heard(&self) -> bool {
        self.latest_heartbeat == HeartbeatSequence::default()
    }

    /// The newest heartbeat.
    pub(in crate::scheduler) fn latest_heartbeat(&self) -> HeartbeatSequence {
        self.latest_heartbeat
    }

    /// Whether the machine has shown its current fencing token.
    pub(in crate::scheduler) fn acknowledges_token(&self) -> bool {
        self.acknowledges_token
    }

    /// A newer heartbeat has arrived, under whichever token.
    pub(in crate::scheduler) fn record_heartbeat(
        &mut self,
        sequence: HeartbeatSequence,
        address: &str,
        now: Timestamp,
    ) {
        self.latest_heartbeat = sequence;
        self.reported_at = Some(now);
        if self.address != address {
            address.clone_into(&mut self.address);
        }
        if self.expect_from(now) {
            // Its next heartbeat, due at once since its token has changed, tells as much.
            self.probe_not_before = now + PROBE_AFTER_CONTACT;
        }
    }

    /// A newer heartbeat under the current token has arrived.
    pub(in crate::scheduler) fn acknowledge_token(&mut self, now: Timestamp) {
        self.heard_at = now;
        self.acknowledges_token = true;
    }

    /// The token has changed.
    pub(super) fn await_token(&mut self) {
        self.acknowledges_token = false;
    }

    /// Whether a probe may be sent.
    pub(super) fn may_be_probed(&self, now: Timestamp) -> bool {
        !self.address.is_empty() && now >= self.probe_not_before
    }

    /// A probe is sent; the next one may follow after a time.
    pub(super) fn record_probe(&mut self, next_at: Timestamp) {
        self.probe_not_before = next_at;
    }

    /// Leaves out a time in which this process could hear nothing.
    pub(super) fn skip(&mut self, pause: Duration) {
        self.heard_at += pause;
        self.reported_at = self.reported_at.map(|at| at + pause);
    }
}
