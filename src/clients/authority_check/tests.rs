//! A call whose steps are counted, under an authority that ends before any of them.

use super::*;
use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Waker};

/// A call that connects in its first step, sends in its second and is answered in its third.
fn call(steps: Rc<Cell<u32>>) -> impl Future<Output = &'static str> {
    poll_fn(move |_| {
        steps.set(steps.get() + 1);
        if steps.get() < 3 {
            Poll::Pending
        } else {
            Poll::Ready("answered")
        }
    })
}

#[test]
fn a_call_takes_no_step_once_its_authority_has_ended() {
    for authorized_steps in 0..5 {
        let steps = Rc::new(Cell::new(0));
        let is_authorized = {
            let steps = steps.clone();
            move || steps.get() < authorized_steps
        };
        let mut guarded = pin!(while_authorized(is_authorized, call(steps.clone())));
        let mut context = Context::from_waker(Waker::noop());
        let mut poll = || guarded.as_mut().poll(&mut context);
        let outcome = (0..3).map(|_| poll()).find(Poll::is_ready);
        let answered = authorized_steps >= 3;
        assert_eq!(outcome, Some(Poll::Ready(answered.then_some("answered"))));
        assert_eq!(steps.get(), authorized_steps.min(3));
    }
}
