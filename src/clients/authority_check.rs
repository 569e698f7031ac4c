//! Calls that make progress only while the controller has the authority to make them.
//!
//! The process may be paused for seconds at any point, for example between the check of the authority and the opening of the
//! connection, or between the opening of the connection and the sending of the request. The authority may end during the pause,
//! so it is checked again before each poll of the call.

#[cfg(test)]
mod tests;

use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::Poll;

/// Runs a call, checking the authority for it before each poll.
///
/// Returns `None` if the authority has ended. The call is then not polled any more, but its request may have been sent before.
pub async fn while_authorized<F: Future>(
    is_authorized: impl Fn() -> bool,
    call: F,
) -> Option<F::Output> {
    let mut call = pin!(call);
    poll_fn(|context| {
        if !is_authorized() {
            return Poll::Ready(None);
        }
        call.as_mut().poll(context).map(Some)
    })
    .await
}
