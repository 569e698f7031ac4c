//! Proofs that an attempt to run a task is on no machine and cannot start any more.
//!
//! A task is started again only once its attempt has been proven gone. Every such transition names its proof, and
//! [`GoneProof::check`] is the only place that decides what a proof is worth for an attempt. A proof that contradicts what is
//! recorded of the attempt is refused: the attempt then goes on counting as active.

use super::attempt::{Phase, Route, TaskAttempt};
use crate::protocol::FencingToken;

/// What the disappearance of an attempt is concluded from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GoneProof {
    /// Its start command was never sent.
    NeverSent,
    /// Its worker reports that it has ended.
    Ended,
    /// The newest heartbeat of its machine, under the current token, does not list it.
    NotListed(Listing),
    /// The lease of its worker has certainly expired. The worker has then stopped all tasks, and executes no command that was
    /// sent to its session.
    LeaseExpired,
    /// The cloud has confirmed that its machine no longer exists.
    MachineReleased,
}

/// The circumstances of a heartbeat whose list of tasks lacks an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Listing {
    /// Token of the heartbeat, which is the machine's current one.
    pub(super) token: FencingToken,
    /// Whether the heartbeat is a request of the worker, rather than the response to direct commands.
    pub(super) is_request: bool,
    /// Whether direct commands to the machine are in flight.
    pub(super) direct_in_flight: bool,
}

/// What follows from a proof for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Conclusion {
    /// The attempt is on no machine and will not start.
    Gone,
    /// The attempt may be on its machine, or may start there.
    Undecided,
}

/// A contradiction between a proof and what is recorded of the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum InvalidProof {
    /// The attempt is taken for unsent, but its start was sent.
    #[error("its start command was sent")]
    AlreadySent,
    /// The worker reports the end of an attempt whose start was not sent.
    #[error("its start command was not sent")]
    NotSent,
    /// The heartbeat is older than the start in the order of tokens, although it should be under the current one.
    #[error("it was started under token {start}, the heartbeat is under {heartbeat}")]
    LaterToken {
        /// Token of the start.
        start: u64,
        /// Token of the heartbeat.
        heartbeat: u64,
    },
}

impl GoneProof {
    /// Decides what follows for an attempt.
    ///
    /// # Errors
    /// Returns an error if the proof contradicts what is recorded of the attempt.
    pub(super) fn check(self, attempt: &TaskAttempt) -> Result<Conclusion, InvalidProof> {
        let is_sent = attempt.phase != Phase::Assigned;
        match self {
            GoneProof::NeverSent if is_sent => Err(InvalidProof::AlreadySent),
            GoneProof::Ended if !is_sent => Err(InvalidProof::NotSent),
            GoneProof::NotListed(_) if !is_sent => Ok(Conclusion::Undecided),
            GoneProof::NotListed(listing) => listing.check(attempt),
            GoneProof::NeverSent
            | GoneProof::Ended
            | GoneProof::LeaseExpired
            | GoneProof::MachineReleased => Ok(Conclusion::Gone),
        }
    }
}

impl Listing {
    /// Decides what follows for an attempt whose start was sent and that the heartbeat does not list.
    ///
    /// Once the worker has reported the attempt, its absence shows that it is gone. Before, its start may be in transit. A start
    /// under an older token is not: the worker has seen the current one and ignores it. Under the current token
    ///
    /// - a direct start may be in transit while its response is pending, and
    /// - a start in the reply to a request may be in transit until the worker's next request, since a worker has one request
    ///   in flight at a time. The response to a direct command that overtakes the reply proves nothing.
    fn check(self, attempt: &TaskAttempt) -> Result<Conclusion, InvalidProof> {
        if attempt.reported || attempt.token < self.token {
            return Ok(Conclusion::Gone);
        }
        if attempt.token > self.token {
            return Err(InvalidProof::LaterToken {
                start: attempt.token.as_u64(),
                heartbeat: self.token.as_u64(),
            });
        }
        let is_in_transit = match attempt.route {
            Route::Direct => self.direct_in_flight,
            Route::HeartbeatReply => !self.is_request,
        };
        Ok(if is_in_transit {
            Conclusion::Undecided
        } else {
            Conclusion::Gone
        })
    }
}
