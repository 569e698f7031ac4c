//! The leader's rounds: carries out what each decides to send.

use super::handles::{pause, Shared};
use super::scheduling_round::Pass;
use super::state::PASS_MS;
use crate::clients::permit::while_permitted;
use crate::clients::worker;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

impl Shared {
    pub(super) async fn ticks(self) {
        let connections = self
            .controller
            .borrow()
            .settings
            .platform
            .deployment
            .machine_limits
            .max_connections;
        let most = (connections / 16).clamp(8, 64);
        let flying = Rc::new(Cell::new(0usize));
        loop {
            let wait_ms = self.controller.borrow().next_pass_in_ms();
            let _ =
                tokio::time::timeout(Duration::from_millis(wait_ms), self.urgent.notified()).await;
            let pass = self
                .controller
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
            self.logging.notify_one();
            for d in sends {
                let me = self.clone();
                let flying = flying.clone();
                let term = self.controller.borrow().term();
                flying.set(flying.get() + 1);
                actix::spawn(async move {
                    let permitted = || me.controller.borrow().may_send_direct(term, &d);
                    let answer = while_permitted(permitted, worker::send_direct(&me.http, &d))
                        .await
                        .flatten();
                    flying.set(flying.get() - 1);
                    me.controller
                        .borrow_mut()
                        .direct_answer(term, &d, answer.as_ref());
                    me.urgent.notify_one();
                });
            }
            // One round for all the reports of a moment.
            pause(PASS_MS).await;
        }
    }
}
