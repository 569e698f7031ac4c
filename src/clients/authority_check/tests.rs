//! Tests of the authority check, with a call that counts its polls and an authority that ends before each of them.

use super::*;
use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Waker};

/// Returns a call that connects in its first poll, sends its request in the second, and receives the response in the third.
fn call(polls: Rc<Cell<u32>>) -> impl Future<Output = &'static str> {
    poll_fn(move |_| {
        polls.set(polls.get() + 1);
        if polls.get() < 3 {
            Poll::Pending
        } else {
            Poll::Ready("response")
        }
    })
}

#[test]
fn a_call_is_not_polled_once_its_authority_has_ended() {
    for authorized_polls in 0..5 {
        let polls = Rc::new(Cell::new(0));
        let is_authorized = {
            let polls = polls.clone();
            move || polls.get() < authorized_polls
        };
        let mut checked_call = pin!(while_authorized(is_authorized, call(polls.clone())));
        let mut context = Context::from_waker(Waker::noop());
        let mut poll = || checked_call.as_mut().poll(&mut context);
        let outcome = (0..3).map(|_| poll()).find(Poll::is_ready);
        let completed = authorized_polls >= 3;
        assert_eq!(outcome, Some(Poll::Ready(completed.then_some("response"))));
        assert_eq!(polls.get(), authorized_polls.min(3));
    }
}
