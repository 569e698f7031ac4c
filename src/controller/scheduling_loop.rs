//! Runs the scheduling rounds and sends the resulting commands to workers.

use super::handles::Handles;
use super::state::{ControllerState, RoundOutcome, SendLimits, MIN_ROUND_INTERVAL};
use crate::clients::authority_check::while_authorized;
use crate::clients::worker::{self, CommandError, WorkerAddress};
use crate::protocol::WorkerStatus;
use crate::scheduler::DirectCommands;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;
use tokio::time::{sleep, timeout};

impl Handles {
    /// Runs the scheduling rounds and sends the resulting commands to workers. On a follower, a round only detects pauses of
    /// the process.
    pub(super) async fn run_scheduling_loop(self) {
        let max_messages = self.read_state(|state| {
            let limits = &state.settings().platform.deployment.machine_limits;
            (limits.max_connections / 16).clamp(8, 64)
        });
        let in_flight = Rc::new(Cell::new(0usize));
        loop {
            self.wait_for_round().await;
            let limits = SendLimits {
                messages: max_messages.saturating_sub(in_flight.get()),
                probes: max_messages / 4,
            };
            match self.update_state(|state| state.run_scheduling_round(limits)) {
                RoundOutcome::Idle => continue,
                RoundOutcome::StepDown(reason) => {
                    self.step_down(reason);
                    continue;
                }
                RoundOutcome::Send(messages) => {
                    self.start_log_requested.notify_one();
                    for message in messages {
                        self.spawn_send(message, in_flight.clone());
                    }
                }
            }
            // All heartbeats that arrive in this interval share one round.
            sleep(MIN_ROUND_INTERVAL).await;
        }
    }

    /// Waits until a round is requested or due by time, which are handled alike.
    async fn wait_for_round(&self) {
        let until_next_round = self.read_state(ControllerState::until_next_round);
        let waiting_since = Instant::now();
        let requested = timeout(until_next_round, self.round_requested.notified()).await;
        if requested.is_err() {
            let delay = waiting_since.elapsed().saturating_sub(until_next_round);
            self.metrics.record_timer_delay(delay);
        }
    }

    /// Sends direct commands to a worker. Returns the status in the response of the worker.
    pub(super) async fn send_directly(
        &self,
        message: &DirectCommands,
    ) -> Result<WorkerStatus, CommandError> {
        let worker = WorkerAddress {
            machine: &message.machine,
            address: &message.address,
        };
        worker::send_commands(&self.http, worker, &message.request()).await
    }

    /// Spawns the sending of a message to a worker and the handling of the response, so that the loop does not wait for it.
    fn spawn_send(&self, message: DirectCommands, in_flight: Rc<Cell<usize>>) {
        let handles = self.clone();
        let term = self.read_state(ControllerState::term);
        in_flight.set(in_flight.get() + 1);
        actix::spawn(async move {
            let authorized = || handles.read_state(|state| state.may_send_direct(term, &message));
            let response = while_authorized(authorized, handles.send_directly(&message)).await;
            if response.is_none() {
                handles.metrics.record_withheld_commands();
            }
            let response = response.and_then(Result::ok);
            in_flight.set(in_flight.get() - 1);
            handles.update_state(|state| {
                state.handle_direct_response(term, &message, response.as_ref());
            });
            handles.round_requested.notify_one();
        });
    }
}
