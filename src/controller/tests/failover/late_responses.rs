//! Responses to direct commands of an earlier term that arrive while the direct commands of a later term are in flight.

use super::*;
use crate::scheduler::DirectCommands;

/// Limits of a round that may send direct commands.
const SEND_LIMITS: SendLimits = SendLimits {
    messages: 9,
    probes: 0,
};

/// Returns the direct commands to n-1 that the next round sends.
fn send_to_n1(controller: &mut ControllerState) -> DirectCommands {
    let RoundOutcome::Send(messages) = controller.run_scheduling_round(SEND_LIMITS) else {
        panic!("the controller leads");
    };
    let to_n1 = messages.into_iter().find(|direct| direct.machine == "n-1");
    to_n1.expect("starts are sent to n-1")
}

/// Guards against `ran_twice`: a response of an earlier term, counted as that to the direct starts which are in flight.
#[test]
fn a_late_response_to_an_earlier_term_does_not_end_the_wait_for_direct_starts() {
    let mut controller = new_leader_with(stored_records(), true);
    run_round_and_reply(&mut controller, &heartbeat("n-1", 1, &N1_TASKS));
    run_round(&mut controller, 500);
    let sent = send_to_n1(&mut controller);
    assert!(!started_and_stopped(&sent.commands).0.is_empty());
    let earlier_term = Term {
        epoch: Epoch::new(6),
        epoch_version: Revision::new(202),
        lease_id: 66,
    };
    let earlier_message = DirectCommands {
        token: FencingToken::new(0x600_0000),
        ..sent
    };
    let earlier_status = WorkerStatus {
        token: FencingToken::new(0x600_0000),
        ..heartbeat("n-1", 0, &N1_TASKS)
    };
    controller.handle_direct_response(Some(earlier_term), &earlier_message, Some(&earlier_status));
    // The machine has not received the starts yet, and they are not sent a second time.
    for sequence in [2, 3] {
        let commands = run_round_and_reply(&mut controller, &heartbeat("n-1", sequence, &N1_TASKS));
        assert!(started_and_stopped(&commands).0.is_empty(), "{commands:?}");
    }
}
