//! The leader's rounds: carries out what each decides to send.

use super::handles::{pause, Handles};
use super::scheduling_round::Pass;
use super::state::PASS_MS;
use crate::clients::permit::while_permitted;
use crate::clients::worker;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

impl Handles {
    pub(super) async fn ticks(self) {
        let connections = self
            .state
            .borrow()
            .settings
            .platform
            .deployment
            .machine_limits
            .max_connections;
        let most = (connections / 16).clamp(8, 64);
        let flying = Rc::new(Cell::new(0usize));
        loop {
            let wait_ms = self.state.borrow().next_pass_in_ms();
            let _ = tokio::time::timeout(
                Duration::from_millis(wait_ms),
                self.round_requested.notified(),
            )
            .await;
            let pass = self
                .state
                .borrow_mut()
                .pass(most.saturating_sub(flying.get()), most / 4);
            let sends = match pass {
                Pass::Sends(sends) => sends,
                Pass::Nothing => continue,
                Pass::GiveUp(reason) => {
                    tracing::info!(reason, "gives leadership up");
                    self.give_up();
                    continue;
                }
            };
            self.start_log_requested.notify_one();
            for d in sends {
                let me = self.clone();
                let flying = flying.clone();
                let term = self.state.borrow().term();
                flying.set(flying.get() + 1);
                actix::spawn(async move {
                    let permitted = || me.state.borrow().may_send_direct(term, &d);
                    let answer = while_permitted(permitted, worker::send_direct(&me.http, &d))
                        .await
                        .flatten();
                    flying.set(flying.get() - 1);
                    me.state
                        .borrow_mut()
                        .direct_answer(term, &d, answer.as_ref());
                    me.round_requested.notify_one();
                });
            }
            // One round for all the reports of a moment.
            pause(PASS_MS).await;
        }
    }
}
