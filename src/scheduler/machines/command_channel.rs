//! State that orders the messages to a machine: its fencing token, and whether direct commands are in flight.

/// Fencing token and direct commands of a machine.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct CommandChannel {
    /// Number of times the fencing token was advanced in this epoch.
    token_counter: u64,
    /// Whether direct commands were sent whose response is pending.
    direct_in_flight: bool,
    /// Whether direct starts were sent under the current token.
    direct_starts_sent: bool,
}

impl CommandChannel {
    /// Returns how often the fencing token was advanced in this epoch.
    pub(in crate::scheduler) fn token_counter(&self) -> u64 {
        self.token_counter
    }

    /// Reports whether direct commands were sent whose response is pending.
    pub(in crate::scheduler) fn is_direct_in_flight(&self) -> bool {
        self.direct_in_flight
    }

    /// Reports whether direct starts were sent under the current token.
    pub(in crate::scheduler) fn has_sent_direct_starts(&self) -> bool {
        self.direct_starts_sent
    }

    /// Records that direct commands are sent.
    pub(super) fn begin_direct(&mut self, with_starts: bool) {
        self.direct_in_flight = true;
        self.direct_starts_sent |= with_starts;
    }

    /// Records that direct commands are no longer in flight: their response has arrived or the request has failed.
    pub(super) fn finish_direct(&mut self) {
        self.direct_in_flight = false;
    }

    /// Advances the fencing token.
    pub(in crate::scheduler) fn advance_token(&mut self) {
        self.token_counter += 1;
        self.direct_starts_sent = false;
    }
}
