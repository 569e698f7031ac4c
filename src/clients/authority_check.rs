//! Calls that make progress only while the controller has the authority to make them.
//!
//! A process may be paused for seconds at any point: between the check of the authority and the connection, or between the
//! connection and the request. The authority may have ended during the pause, so it is checked again before each step of the
//! call.

#[cfg(test)]
mod tests;

use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::Poll;

/// Runs a call and checks the authority for it before each of its steps. `None` if there was none once: the call was dropped
/// there, but its request may have been sent by then.
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
