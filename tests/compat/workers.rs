//! Workers: reports, commands and redirects.

use super::literal::{
    assert_amounts, assert_required, hex, message, read, try_read, with, without, written,
};
use ciborium::Value;
use hollowswitch::protocol::{
    decode, encode, split_task, Command, DirectCommandRequest, ExitReason, FencingToken,
    HeartbeatReply, Redirect, TaskState, TaskStatus, WorkerStatus,
};

/// A report with a task that runs, and one that has ended.
fn report_message() -> Value {
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

/// The same, as the program has it.
fn report() -> WorkerStatus {
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
fn a_report_is_read_and_written_field_by_field() {
    assert_eq!(read::<WorkerStatus>(&report_message()), report());
    assert_eq!(written(&report()), report_message());
    let ordinary = with(&report_message(), "loaners", Value::Bool(false));
    assert!(!read::<WorkerStatus>(&ordinary).spot);
}

#[test]
fn a_report_is_these_bytes() {
    assert_eq!(decode::<WorkerStatus>(&hex(REPORT)).ok(), Some(report()));
    assert_eq!(encode(&report()), hex(REPORT));
}

#[test]
fn a_spot_notice_may_be_null_or_absent() {
    let expected = WorkerStatus {
        termination_notice_s: None,
        ..report()
    };
    let absent = without(&report_message(), "recallS");
    let null = with(&report_message(), "recallS", Value::Null);
    assert_eq!(read::<WorkerStatus>(&absent), expected);
    assert_eq!(read::<WorkerStatus>(&null), expected);
    assert_eq!(written(&expected), absent);
    assert_amounts::<WorkerStatus>(&report_message(), &["recallS"]);
}

#[test]
fn the_other_fields_of_a_report_are_required() {
    assert_required::<WorkerStatus>(
        &report_message(),
        &[
            "host", "address", "breed", "yard", "loaners", "shift", "tally", "baton", "chores",
        ],
    );
}

#[test]
fn counts_of_a_report_reach_to_the_largest() {
    let largest = u64::MAX;
    let message = ["shift", "tally", "baton"]
        .iter()
        .fold(report_message(), |m, field| {
            with(&m, field, Value::from(largest))
        });
    let report = read::<WorkerStatus>(&message);
    assert_eq!((report.session, report.sequence), (u64::MAX, u64::MAX));
    assert_eq!(report.token, FencingToken::new(u64::MAX));
    assert_eq!(written(&report), message);
}

#[test]
fn unknown_fields_of_a_report_are_ignored() {
    let mut fields = report_message().into_map().unwrap();
    fields.push(("weather".into(), message!({"rain" => true})));
    assert_eq!(read::<WorkerStatus>(&Value::Map(fields)), report());
}

fn task_message() -> Value {
    message!({"chore" => "wk-1/0", "try" => 7, "standing" => "exited", "cause" => "done",
              "saved" => false})
}

fn task() -> TaskStatus {
    TaskStatus {
        task: "wk-1/0".into(),
        attempt: 7,
        state: TaskState::Exited,
        reason: Some(ExitReason::Done),
        saved: Some(false),
    }
}

#[test]
fn optional_fields_of_a_task_may_be_null_or_absent() {
    assert_eq!(read::<TaskStatus>(&task_message()), task());
    assert_eq!(written(&task()), task_message());
    let no_reason = TaskStatus {
        reason: None,
        ..task()
    };
    let not_saved = TaskStatus {
        saved: None,
        ..task()
    };
    for (field, expected) in [("cause", no_reason), ("saved", not_saved)] {
        let absent = without(&task_message(), field);
        let null = with(&task_message(), field, Value::Null);
        assert_eq!(read::<TaskStatus>(&absent), expected);
        assert_eq!(read::<TaskStatus>(&null), expected);
        assert_eq!(written(&expected), absent);
    }
    assert_required::<TaskStatus>(&task_message(), &["chore", "try", "standing"]);
}

#[test]
fn task_states_have_these_names() {
    for (state, name) in [
        (TaskState::Fetching, "pulling"),
        (TaskState::Gathering, "gathering"),
        (TaskState::Running, "running"),
        (TaskState::Saving, "flushing"),
        (TaskState::Exited, "exited"),
    ] {
        let literal = with(&task_message(), "standing", name.into());
        assert_eq!(read::<TaskStatus>(&literal).state, state);
        assert_eq!(written(&state), Value::from(name));
    }
    let new = with(&task_message(), "standing", "dreaming".into());
    assert_eq!(read::<TaskStatus>(&new).state, TaskState::Other);
}

#[test]
fn exit_reasons_have_these_names() {
    for (reason, name) in [
        (ExitReason::Done, "done"),
        (ExitReason::Stopped, "halted"),
        (ExitReason::Error, "error"),
        (ExitReason::InsufficientResources, "full"),
        (ExitReason::ConflictingAttempt, "in_use"),
        (ExitReason::UnknownTask, "unknown"),
    ] {
        let literal = with(&task_message(), "cause", name.into());
        assert_eq!(read::<TaskStatus>(&literal).reason, Some(reason));
        assert_eq!(written(&reason), Value::from(name));
    }
    let new = with(&task_message(), "cause", "bored".into());
    assert_eq!(read::<TaskStatus>(&new).reason, Some(ExitReason::Other));
}

/// One command of each kind.
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

fn command_messages() -> [Value; 3] {
    [
        message!({"verb" => "start", "chore" => "wk-000412/4", "try" => 2}),
        message!({"verb" => "halt", "chore" => "wk-000377/1", "try" => 1, "windDownS" => 10.0}),
        message!({"verb" => "clear", "chore" => "wk-000398/0", "try" => 3}),
    ]
}

#[test]
fn each_command_is_written_and_read_field_by_field() {
    for (command, literal) in commands().iter().zip(command_messages()) {
        assert_eq!(written(command), literal);
        assert_eq!(read::<Command>(&literal), *command);
        for field in ["verb", "chore", "try"] {
            assert!(try_read::<Command>(&without(&literal, field)).is_none());
        }
    }
    let stop = &command_messages()[1];
    assert!(try_read::<Command>(&without(stop, "windDownS")).is_none());
    assert!(try_read::<Command>(&with(stop, "verb", "stop".into())).is_none());
}

#[test]
fn the_answer_to_a_report_is_written_and_read_field_by_field() {
    let reply = HeartbeatReply {
        token: FencingToken::new(41),
        commands: commands(),
    };
    let literal = message!({"baton" => 41, "orders" => [
        {"verb" => "start", "chore" => "wk-000412/4", "try" => 2},
        {"verb" => "halt", "chore" => "wk-000377/1", "try" => 1, "windDownS" => 10.0},
        {"verb" => "clear", "chore" => "wk-000398/0", "try" => 3}
    ]});
    assert_eq!(written(&reply), literal);
    assert_eq!(read::<HeartbeatReply>(&literal), reply);
    assert_required::<HeartbeatReply>(&literal, &["baton", "orders"]);
}

#[test]
fn the_answer_to_a_report_is_these_bytes() {
    let reply = HeartbeatReply {
        token: FencingToken::new(41),
        commands: commands(),
    };
    assert_eq!(encode(&reply), hex(REPORT_REPLY));
    let empty = HeartbeatReply {
        token: FencingToken::new(5),
        commands: Vec::new(),
    };
    // {"baton": 5, "commands": []}
    assert_eq!(
        encode(&empty),
        hex("a2 65 6261746f6e 05 66 6f7264657273 80")
    );
}

#[test]
fn direct_orders_are_written_and_read_field_by_field() {
    let commands = DirectCommandRequest {
        token: FencingToken::new(41),
        session: 2,
        commands: commands(),
    };
    let literal = message!({"baton" => 41, "shift" => 2, "orders" => [
        {"verb" => "start", "chore" => "wk-000412/4", "try" => 2},
        {"verb" => "halt", "chore" => "wk-000377/1", "try" => 1, "windDownS" => 10.0},
        {"verb" => "clear", "chore" => "wk-000398/0", "try" => 3}
    ]});
    assert_eq!(written(&commands), literal);
    assert_eq!(read::<DirectCommandRequest>(&literal), commands);
    assert_required::<DirectCommandRequest>(&literal, &["baton", "shift", "orders"]);
}

#[test]
fn direct_orders_are_these_bytes() {
    let commands = DirectCommandRequest {
        token: FencingToken::new(41),
        session: 2,
        commands: commands(),
    };
    assert_eq!(encode(&commands), hex(DIRECT_ORDERS));
}

#[test]
fn a_redirect_names_a_node_or_none() {
    let to = |name: Option<&str>| Redirect {
        leader: name.map(String::from),
    };
    assert_eq!(
        written(&to(Some("drover-2"))),
        message!({"foreman" => "drover-2"})
    );
    assert_eq!(written(&to(None)), message!({}));
    // {"foreman": "drover-2"}, and {}
    let named = hex("a1 67 666f72656d616e 68 64726f7665722d32");
    assert_eq!(encode(&to(Some("drover-2"))), named);
    assert_eq!(encode(&to(None)), hex("a0"));
    let read_name = |literal: Value| read::<Redirect>(&literal).leader;
    assert_eq!(
        read_name(message!({"foreman" => "drover-2"})).as_deref(),
        Some("drover-2")
    );
    assert_eq!(read_name(message!({"foreman" => null})), None);
    assert_eq!(read_name(message!({})), None);
}

#[test]
fn a_task_is_named_by_its_job_and_number() {
    assert_eq!(split_task("wk-000412/3"), Some(("wk-000412", 3)));
    for bad in ["wk-000412", "wk-000412/", "wk-000412/x", "wk-000412/-1", ""] {
        assert_eq!(split_task(bad), None, "{bad}");
    }
}

/// The report above, byte by byte.
const REPORT: &str = "\
    aa64686f7374686e2d30303032333167616464726573736f31302e312e302e3233323a3930303065 \
    627265656462673864796172646161676c6f616e657273f5657368696674026574616c6c79185865 \
    6261746f6e182967726563616c6c53f953906663686f72657382a36563686f72656b776b2d303030 \
    3431322f336374727902687374616e64696e676772756e6e696e67a56563686f72656b776b2d3030 \
    303339382f306374727901687374616e64696e67666578697465646563617573656668616c746564 \
    657361766564f5";

/// The answer with one command of each kind, byte by byte.
const REPORT_REPLY: &str = "\
    a2656261746f6e1829666f726465727383a364766572626573746172746563686f72656b776b2d30 \
    30303431322f346374727902a464766572626468616c746563686f72656b776b2d3030303337372f \
    3163747279016977696e64446f776e53f94900a3647665726265636c6561726563686f72656b776b \
    2d3030303339382f306374727903";

/// Direct commands with one command of each kind, byte by byte.
const DIRECT_ORDERS: &str = "\
    a3656261746f6e182965736869667402666f726465727383a364766572626573746172746563686f \
    72656b776b2d3030303431322f346374727902a464766572626468616c746563686f72656b776b2d \
    3030303337372f3163747279016977696e64446f776e53f94900a3647665726265636c6561726563 \
    686f72656b776b2d3030303339382f306374727903";
