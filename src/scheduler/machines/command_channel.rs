//! The order of what is sent to a machine: its fencing token, and the direct commands under way.

/// What is known of the commands sent to a machine.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct CommandChannel {
    /// How often the fencing token was advanced in this epoch.
    token_counter: u64,
    /// Whether direct commands are under way whose response is still out.
    direct_in_flight: bool,
    /// Whether direct starts were sent under the present token.
    direct_starts_sent: bool,
}

impl CommandChannel {
    /// How often the fencing token was advanced in this epoch.
    pub(in crate::scheduler) fn token_counter(&self) -> u64 {
        self.token_counter
    }

    /// Whether direct commands are under way whose response is still out.
    pub(in crate::scheduler) fn is_direct_in_flight(&self) -> bool {
        self.direct_in_flight
    }

    /// Whether direct starts were sent under the present token.
    pub(in crate::scheduler) fn has_sent_direct_starts(&self) -> bool {
        self.direct_starts_sent
    }

    /// Direct commands are sent.
    pub(super) fn send_direct(&mut self, with_starts: bool) {
        self.direct_in_flight = true;
        self.direct_starts_sent |= with_starts;
    }

    /// The response to direct commands has arrived, or will not any more.
    pub(super) fn finish_direct(&mut self) {
        self.direct_in_flight = false;
    }

    /// Advances the fencing token.
    pub(in crate::scheduler) fn advance_token(&mut self) {
        self.token_counter += 1;
        self.direct_starts_sent = false;
    }
}
