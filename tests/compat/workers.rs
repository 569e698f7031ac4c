//! Messages exchanged with workers: heartbeats, commands and redirects.

use super::literal::{
    assert_finite_numbers, assert_required, decode_value, encode_to_value, hex, message,
    try_decode_value, with, without,
};
use ciborium::Value;
use hollowswitch::protocol::{
    decode, encode, split_task, Command, DirectCommandRequest, ExitReason, FencingToken,
    HeartbeatReply, Redirect, TaskState, TaskStatus, WorkerStatus,
};

/// Returns a heartbeat with a running and an exited task.
fn heartbeat_message() -> Value {
    message!({
        "host" => "n-000231", "address" => "10.1.0.232:9000", "breed" => "g8", "yard" => "a",
        "loaners" => true, "shift" => 2, "tally" => 88, "baton" => 41, "recallS" => 60.5,
        "chores" => [
            {"chore" => "wk-000412/3", "try" => 2, "standing" => "running"},
            {"chore" => "wk-000398/0", "try" => 1, "standing" => "exited", "cause" => "halted",
             "saved" => true}
        ]
    })
}

/// Returns the decoded form of [`heartbeat_message`].
fn worker_status() -> WorkerStatus {
    WorkerStatus {
        machine: "n-000231".into(),
        address: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        session: 2,
        sequence: 88,
        token: FencingToken::new(41),
        termination_notice_s: Some(60.5),
        tasks: vec![
            TaskStatus {
                task: "wk-000412/3".into(),
                attempt: 2,
                state: TaskState::Running,
                reason: None,
                saved: None,
            },
            TaskStatus {
                task: "wk-000398/0".into(),
                attempt: 1,
                state: TaskState::Exited,
                reason: Some(ExitReason::Stopped),
                saved: Some(true),
            },
        ],
    }
}

#[test]
fn every_field_of_a_heartbeat_is_decoded_and_encoded() {
    assert_eq!(
        decode_value::<WorkerStatus>(&heartbeat_message()),
        worker_status()
    );
    assert_eq!(encode_to_value(&worker_status()), heartbeat_message());
    let on_demand = with(&heartbeat_message(), "loaners", Value::Bool(false));
    assert!(!decode_value::<WorkerStatus>(&on_demand).spot);
}

#[test]
fn a_heartbeat_encodes_to_the_expected_bytes() {
    assert_eq!(
        decode::<WorkerStatus>(&hex(HEARTBEAT_HEX)).ok(),
        Some(worker_status())
    );
    assert_eq!(encode(&worker_status()), hex(HEARTBEAT_HEX));
}

#[test]
fn a_termination_notice_may_be_null_or_absent() {
    let expected = WorkerStatus {
        termination_notice_s: None,
        ..worker_status()
    };
    let absent = without(&heartbeat_message(), "recallS");
    let null = with(&heartbeat_message(), "recallS", Value::Null);
    assert_eq!(decode_value::<WorkerStatus>(&absent), expected);
    assert_eq!(decode_value::<WorkerStatus>(&null), expected);
    assert_eq!(encode_to_value(&expected), absent);
    assert_finite_numbers::<WorkerStatus>(&heartbeat_message(), &["recallS"]);
}

#[test]
fn the_other_fields_of_a_heartbeat_are_required() {
    assert_required::<WorkerStatus>(
        &heartbeat_message(),
        &[
            "host", "address", "breed", "yard", "loaners", "shift", "tally", "baton", "chores",
        ],
    );
}

#[test]
fn counters_of_a_heartbeat_cover_the_whole_range_of_u64() {
    let largest = u64::MAX;
    let message = ["shift", "tally", "baton"]
        .iter()
        .fold(heartbeat_message(), |m, field| {
            with(&m, field, Value::from(largest))
        });
    let status = decode_value::<WorkerStatus>(&message);
    assert_eq!((status.session, status.sequence), (u64::MAX, u64::MAX));
    assert_eq!(status.token, FencingToken::new(u64::MAX));
    assert_eq!(encode_to_value(&status), message);
}

#[test]
fn unknown_fields_of_a_heartbeat_are_ignored() {
    let mut fields = heartbeat_message().into_map().unwrap();
    fields.push(("weather".into(), message!({"rain" => true})));
    assert_eq!(
        decode_value::<WorkerStatus>(&Value::Map(fields)),
        worker_status()
    );
}

fn task_status_message() -> Value {
    message!({"chore" => "wk-1/0", "try" => 7, "standing" => "exited", "cause" => "done",
              "saved" => false})
}

fn task_status() -> TaskStatus {
    TaskStatus {
        task: "wk-1/0".into(),
        attempt: 7,
        state: TaskState::Exited,
        reason: Some(ExitReason::Done),
        saved: Some(false),
    }
}

#[test]
fn optional_fields_of_a_task_status_may_be_null_or_absent() {
    assert_eq!(
        decode_value::<TaskStatus>(&task_status_message()),
        task_status()
    );
    assert_eq!(encode_to_value(&task_status()), task_status_message());
    let no_reason = TaskStatus {
        reason: None,
        ..task_status()
    };
    let not_saved = TaskStatus {
        saved: None,
        ..task_status()
    };
    for (field, expected) in [("cause", no_reason), ("saved", not_saved)] {
        let absent = without(&task_status_message(), field);
        let null = with(&task_status_message(), field, Value::Null);
        assert_eq!(decode_value::<TaskStatus>(&absent), expected);
        assert_eq!(decode_value::<TaskStatus>(&null), expected);
        assert_eq!(encode_to_value(&expected), absent);
    }
    assert_required::<TaskStatus>(&task_status_message(), &["chore", "try", "standing"]);
}

#[test]
fn task_states_have_their_wire_names() {
    for (state, name) in [
        (TaskState::Fetching, "pulling"),
        (TaskState::Gathering, "gathering"),
        (TaskState::Running, "running"),
        (TaskState::Saving, "flushing"),
        (TaskState::Exited, "exited"),
    ] {
        let literal = with(&task_status_message(), "standing", name.into());
        assert_eq!(decode_value::<TaskStatus>(&literal).state, state);
        assert_eq!(encode_to_value(&state), Value::from(name));
    }
    let unknown = with(&task_status_message(), "standing", "dreaming".into());
    assert_eq!(decode_value::<TaskStatus>(&unknown).state, TaskState::Other);
}

#[test]
fn exit_reasons_have_their_wire_names() {
    for (reason, name) in [
        (ExitReason::Done, "done"),
        (ExitReason::Stopped, "halted"),
        (ExitReason::Error, "error"),
        (ExitReason::InsufficientResources, "full"),
        (ExitReason::ConflictingAttempt, "in_use"),
        (ExitReason::UnknownTask, "unknown"),
    ] {
        let literal = with(&task_status_message(), "cause", name.into());
        assert_eq!(decode_value::<TaskStatus>(&literal).reason, Some(reason));
        assert_eq!(encode_to_value(&reason), Value::from(name));
    }
    let unknown = with(&task_status_message(), "cause", "bored".into());
    assert_eq!(
        decode_value::<TaskStatus>(&unknown).reason,
        Some(ExitReason::Other)
    );
}

/// Returns one command of each kind.
fn commands() -> Vec<Command> {
    vec![
        Command::Start {
            task: "wk-000412/4".into(),
            attempt: 2,
        },
        Command::Stop {
            task: "wk-000377/1".into(),
            attempt: 1,
            grace_s: 10.0,
        },
        Command::Forget {
            task: "wk-000398/0".into(),
            attempt: 3,
        },
    ]
}

/// Returns the encoded form of [`commands`].
fn command_messages() -> [Value; 3] {
    [
        message!({"verb" => "start", "chore" => "wk-000412/4", "try" => 2}),
        message!({"verb" => "halt", "chore" => "wk-000377/1", "try" => 1, "windDownS" => 10.0}),
        message!({"verb" => "clear", "chore" => "wk-000398/0", "try" => 3}),
    ]
}

#[test]
fn every_field_of_each_command_is_encoded_and_decoded() {
    for (command, literal) in commands().iter().zip(command_messages()) {
        assert_eq!(encode_to_value(command), literal);
        assert_eq!(decode_value::<Command>(&literal), *command);
        for field in ["verb", "chore", "try"] {
            assert!(try_decode_value::<Command>(&without(&literal, field)).is_none());
        }
    }
    let stop = &command_messages()[1];
    assert!(try_decode_value::<Command>(&without(stop, "windDownS")).is_none());
    assert!(try_decode_value::<Command>(&with(stop, "verb", "stop".into())).is_none());
}

#[test]
fn every_field_of_a_heartbeat_reply_is_encoded_and_decoded() {
    let reply = HeartbeatReply {
        token: FencingToken::new(41),
        commands: commands(),
    };
    let literal = message!({"baton" => 41, "orders" => [
        {"verb" => "start", "chore" => "wk-000412/4", "try" => 2},
        {"verb" => "halt", "chore" => "wk-000377/1", "try" => 1, "windDownS" => 10.0},
        {"verb" => "clear", "chore" => "wk-000398/0", "try" => 3}
    ]});
    assert_eq!(encode_to_value(&reply), literal);
    assert_eq!(decode_value::<HeartbeatReply>(&literal), reply);
    assert_required::<HeartbeatReply>(&literal, &["baton", "orders"]);
}

#[test]
fn a_heartbeat_reply_encodes_to_the_expected_bytes() {
    let reply = HeartbeatReply {
        token: FencingToken::new(41),
        commands: commands(),
    };
    assert_eq!(encode(&reply), hex(HEARTBEAT_REPLY_HEX));
    let empty = HeartbeatReply {
        token: FencingToken::new(5),
        commands: Vec::new(),
    };
    // {"baton": 5, "orders": []}
    assert_eq!(
        encode(&empty),
        hex("a2 65 6261746f6e 05 66 6f7264657273 80")
    );
}

#[test]
fn every_field_of_a_direct_command_request_is_encoded_and_decoded() {
    let request = DirectCommandRequest {
        token: FencingToken::new(41),
        session: 2,
        commands: commands(),
    };
    let literal = message!({"baton" => 41, "shift" => 2, "orders" => [
        {"verb" => "start", "chore" => "wk-000412/4", "try" => 2},
        {"verb" => "halt", "chore" => "wk-000377/1", "try" => 1, "windDownS" => 10.0},
        {"verb" => "clear", "chore" => "wk-000398/0", "try" => 3}
    ]});
    assert_eq!(encode_to_value(&request), literal);
    assert_eq!(decode_value::<DirectCommandRequest>(&literal), request);
    assert_required::<DirectCommandRequest>(&literal, &["baton", "shift", "orders"]);
}

#[test]
fn a_direct_command_request_encodes_to_the_expected_bytes() {
    let request = DirectCommandRequest {
        token: FencingToken::new(41),
        session: 2,
        commands: commands(),
    };
    assert_eq!(encode(&request), hex(DIRECT_COMMANDS_HEX));
}

#[test]
fn a_redirect_names_the_leader_or_nobody() {
    let redirect_to = |leader: Option<&str>| Redirect {
        leader: leader.map(String::from),
    };
    assert_eq!(
        encode_to_value(&redirect_to(Some("drover-2"))),
        message!({"foreman" => "drover-2"})
    );
    assert_eq!(encode_to_value(&redirect_to(None)), message!({}));
    // {"foreman": "drover-2"}, and {}
    let named = hex("a1 67 666f72656d616e 68 64726f7665722d32");
    assert_eq!(encode(&redirect_to(Some("drover-2"))), named);
    assert_eq!(encode(&redirect_to(None)), hex("a0"));
    let decode_leader = |literal: Value| decode_value::<Redirect>(&literal).leader;
    assert_eq!(
        decode_leader(message!({"foreman" => "drover-2"})).as_deref(),
        Some("drover-2")
    );
    assert_eq!(decode_leader(message!({"foreman" => null})), None);
    assert_eq!(decode_leader(message!({})), None);
}

#[test]
fn the_name_of_a_task_is_split_into_job_and_number() {
    assert_eq!(split_task("wk-000412/3"), Some(("wk-000412", 3)));
    for bad in ["wk-000412", "wk-000412/", "wk-000412/x", "wk-000412/-1", ""] {
        assert_eq!(split_task(bad), None, "{bad}");
    }
}

/// CBOR encoding of [`heartbeat_message`], in hexadecimal digits.
const HEARTBEAT_HEX: &str = "\
    aa64686f7374686e2d30303032333167616464726573736f31302e312e302e3233323a3930303065 \
    627265656462673864796172646161676c6f616e657273f5657368696674026574616c6c79185865 \
    6261746f6e182967726563616c6c53f953906663686f72657382a36563686f72656b776b2d303030 \
    3431322f336374727902687374616e64696e676772756e6e696e67a56563686f72656b776b2d3030 \
    303339382f306374727901687374616e64696e67666578697465646563617573656668616c746564 \
    657361766564f5";

/// CBOR encoding of a heartbeat reply with [`commands`], in hexadecimal digits.
const HEARTBEAT_REPLY_HEX: &str = "\
    a2656261746f6e1829666f726465727383a364766572626573746172746563686f72656b776b2d30 \
    30303431322f346374727902a464766572626468616c746563686f72656b776b2d3030303337372f \
    3163747279016977696e64446f776e53f94900a3647665726265636c6561726563686f72656b776b \
    2d3030303339382f306374727903";

/// CBOR encoding of a direct command request with [`commands`], in hexadecimal digits.
const DIRECT_COMMANDS_HEX: &str = "\
    a3656261746f6e182965736869667402666f726465727383a364766572626573746172746563686f \
    72656b776b2d3030303431322f346374727902a464766572626468616c746563686f72656b776b2d \
    3030303337372f3163747279016977696e64446f776e53f94900a3647665726265636c6561726563 \
    686f72656b776b2d3030303339382f306374727903";
