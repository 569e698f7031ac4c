//! Runs the scheduling rounds and sends the resulting commands to workers.

use super::handles::Handles;
use super::state::{ControllerState, RoundOutcome, SendLimits, MIN_ROUND_INTERVAL};
use crate::clients::authority_check::while_authorized;
use crate::clients::worker::{self, CommandError, WorkerAddress};
use crate::protocol::WorkerStatus;
use crate::scheduler::DirectCommands;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

impl Handles {
    /// Runs the scheduling rounds and sends the resulting commands to workers. On a follower, a round only detects pauses of
    /// the process.
    pub(super) async fn run_scheduling_loop(self) {
        let max_messages = self.read_state(|state| {
            let limits = &state.settings().platform.deployment.machine_limits;
            (limits.max_connections / 16).clamp(8, 64)
        });
        let permits = Arc::new(Semaphore::new(max_messages));
        loop {
            self.wait_for_round().await;
            let limits = SendLimits {
                messages: permits.available_permits(),
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
                        self.spawn_send(message, &permits);
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
    fn spawn_send(&self, message: DirectCommands, permits: &Arc<Semaphore>) {
        let handles = self.clone();
        let term = self.read_state(ControllerState::term);
        // The round sends no more messages than there are permits.
        let permit = permits.clone().try_acquire_owned();
        actix::spawn(async move {
            let authorized = || handles.read_state(|state| state.may_send_direct(term, &message));
            let response = while_authorized(authorized, handles.send_directly(&message)).await;
            if response.is_none() {
                handles.metrics.record_withheld_commands();
            }
            let response = response.and_then(Result::ok);
            drop(permit);
            handles.update_state(|state| {
                state.handle_direct_response(term, &message, response.as_ref());
            });
            handles.round_requested.notify_one();
        });
    }
}
