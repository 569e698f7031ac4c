//! Scheduling rounds, and the sending of their direct commands to workers.

use super::super::network::{Dispatch, Message, DIRECT_TIMEOUT};
use super::super::{Simulation, STEP};
use crate::controller::state::{RoundOutcome, SendLimits};
use crate::protocol::Command;
use crate::scheduler::DirectCommands;
use crate::time::whole_millis;
use rand::Rng;
use std::time::Duration;

/// Limits on the number of messages per round.
const SEND_LIMITS: SendLimits = SendLimits {
    messages: 16,
    probes: 8,
};

/// Upper bound of the random delay of direct commands.
const MAX_COMMAND_DELAY_MS: u64 = 20_000;

fn starts_tasks(direct: &DirectCommands) -> bool {
    direct
        .commands
        .iter()
        .any(|command| matches!(command, Command::Start { .. }))
}

impl Simulation {
    /// Runs a scheduling round of a controller and sends its direct commands, immediately or after a delay that a fault causes.
    pub(super) fn scheduling_round(&mut self, node: usize) {
        let controller = self.nodes[node].running_controller_mut();
        let sends = match controller.run_scheduling_round(SEND_LIMITS) {
            RoundOutcome::Send(sends) => sends,
            RoundOutcome::Idle => return,
            RoundOutcome::StepDown(_) => return self.step_down(node),
        };
        let starts = sends.iter().any(starts_tasks);
        let (incarnation, term) = (
            self.nodes[node].incarnation,
            self.nodes[node].running_controller().term(),
        );
        let dispatch = |direct| Dispatch {
            node,
            incarnation,
            term,
            direct,
        };
        let dispatches: Vec<Dispatch> = sends.into_iter().map(dispatch).collect();
        if !self.faults.pause_before_send.is_zero() && starts {
            let pause = std::mem::take(&mut self.faults.pause_before_send);
            self.pause(node, pause);
            self.delay_sending(pause, dispatches);
        } else if !self.faults.connection_delay.is_zero() {
            self.delay_sending(self.faults.connection_delay, dispatches);
        } else {
            self.send_commands(dispatches);
        }
    }

    fn delay_sending(&mut self, delay: Duration, dispatches: Vec<Dispatch>) {
        for dispatch in dispatches {
            self.send(delay, Message::UnsentCommands(dispatch));
        }
    }

    /// Sends direct commands. Some are delayed in the network, possibly for longer than the controller waits for the response.
    pub(in super::super) fn send_commands(&mut self, dispatches: Vec<Dispatch>) {
        for dispatch in dispatches {
            self.check_sent_commands(&dispatch.direct.commands);
            let command_delay_probability = self.faults.command_delay_probability;
            let delay = if command_delay_probability > 0.0
                && self.rng.gen_bool(command_delay_probability)
            {
                let min_delay_ms = whole_millis(self.faults.min_command_delay);
                Duration::from_millis(self.rng.gen_range(min_delay_ms..MAX_COMMAND_DELAY_MS))
            } else {
                STEP
            };
            if delay >= DIRECT_TIMEOUT {
                self.schedule_direct_timeout(DIRECT_TIMEOUT, dispatch.clone());
            }
            let sent_at = self.now();
            self.send(delay, Message::DirectCommands { dispatch, sent_at });
        }
    }
}
