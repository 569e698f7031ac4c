//! Calls that make progress only while they are permitted.
//!
//! A process may be paused for seconds at any point: between the check of an authority and the connection, or between the
//! connection and the request. What was permitted before the pause may not be permitted after it, so the check is repeated
//! before each step of the call.

#[cfg(test)]
mod tests;

use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::Poll;

/// Runs a call and checks `permitted` before each of its steps. `None` if it was false once: the call was dropped there, but
/// its request may have been sent by then.
pub async fn while_permitted<F: Future>(
    permitted: impl Fn() -> bool,
    call: F,
) -> Option<F::Output> {
    let mut call = pin!(call);
    poll_fn(|context| {
        if !permitted() {
            return Poll::Ready(None);
        }
        call.as_mut().poll(context).map(Some)
    })
    .await
}
