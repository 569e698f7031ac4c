//! Messages exchanged with users: submissions of jobs and views of their state.

use super::literal::{
    assert_finite_numbers, assert_required, decode_value, encode_to_value, hex, message,
    try_decode_value, with, without,
};
use ciborium::Value;
use hollowswitch::protocol::{
    decode, encode, is_job_id, JobKind, JobSpec, JobState, JobView, Priority, MAX_BODY_BYTES,
    TASK_LIMIT,
};

/// Returns the submission that the protocol documentation gives as an example.
fn submission() -> Value {
    message!({
        "id" => "wk-000412", "lane" => "train", "crew" => "vision", "shape" => "array",
        "rank" => "urgent", "chores" => 16, "cores" => 8.5, "cards" => 1.0, "memGb" => 64.0,
        "bundle" => "img-07", "pullGb" => 6.25, "breeds" => ["g8", "c4"], "yard" => "a",
        "together" => true, "scatter" => false, "loaners" => true, "reckonS" => 240.0,
        "markEveryS" => 30.0, "stowS" => 4.0, "dueS" => 900.0
    })
}

/// Returns the decoded form of [`submission`].
fn job_spec() -> JobSpec {
    JobSpec {
        id: "wk-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Array,
        priority: Priority::High,
        tasks: 16,
        cpus: 8.5,
        gpus: 1.0,
        memory_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.25,
        machine_types: Some(vec!["g8".into(), "c4".into()]),
        zone: Some("a".into()),
        single_zone: true,
        spread_zones: false,
        spot: true,
        run_time_estimate_s: 240.0,
        checkpoint_interval_s: 30.0,
        checkpoint_save_s: 4.0,
        deadline_s: Some(900.0),
    }
}

#[test]
fn every_field_of_a_submission_is_decoded_and_encoded() {
    assert_eq!(decode_value::<JobSpec>(&submission()), job_spec());
    assert_eq!(encode_to_value(&job_spec()), submission());
    let opposite = with(&submission(), "together", Value::Bool(false));
    let opposite = with(&opposite, "scatter", Value::Bool(true));
    let opposite = with(&opposite, "loaners", Value::Bool(false));
    let expected = JobSpec {
        single_zone: false,
        spread_zones: true,
        spot: false,
        ..job_spec()
    };
    assert_eq!(decode_value::<JobSpec>(&opposite), expected);
    assert_eq!(encode_to_value(&expected), opposite);
}

#[test]
fn a_submission_encodes_to_the_expected_bytes() {
    let bytes = hex(SUBMISSION_HEX);
    assert_eq!(decode::<JobSpec>(&bytes).ok(), Some(job_spec()));
    assert_eq!(encode(&job_spec()), bytes);
}

#[test]
fn optional_fields_of_a_submission_may_be_null_or_absent() {
    let with_null = ["breeds", "yard", "dueS"]
        .iter()
        .fold(submission(), |m, field| with(&m, field, Value::Null));
    let absent = ["breeds", "yard", "dueS"]
        .iter()
        .fold(submission(), |m, field| without(&m, field));
    let expected = JobSpec {
        machine_types: None,
        zone: None,
        deadline_s: None,
        ..job_spec()
    };
    assert_eq!(decode_value::<JobSpec>(&with_null), expected);
    assert_eq!(decode_value::<JobSpec>(&absent), expected);
    assert_eq!(encode_to_value(&expected), with_null);
    for field in ["breeds", "yard", "dueS"] {
        let one_null = decode_value::<JobSpec>(&with(&submission(), field, Value::Null));
        let one_absent = decode_value::<JobSpec>(&without(&submission(), field));
        assert_eq!(one_null, one_absent);
        assert_ne!(one_null, job_spec(), "{field}");
    }
}

#[test]
fn the_other_fields_of_a_submission_are_required() {
    assert_required::<JobSpec>(
        &submission(),
        &[
            "id",
            "lane",
            "crew",
            "shape",
            "rank",
            "chores",
            "cores",
            "cards",
            "memGb",
            "bundle",
            "pullGb",
            "together",
            "scatter",
            "loaners",
            "reckonS",
            "markEveryS",
            "stowS",
        ],
    );
}

#[test]
fn numeric_fields_of_a_submission_accept_finite_numbers_and_counts_only_integers() {
    assert_finite_numbers::<JobSpec>(
        &submission(),
        &[
            "cores",
            "cards",
            "memGb",
            "pullGb",
            "reckonS",
            "markEveryS",
            "stowS",
            "dueS",
        ],
    );
    assert!(
        try_decode_value::<JobSpec>(&with(&submission(), "chores", Value::Float(1.5))).is_none()
    );
    assert!(try_decode_value::<JobSpec>(&with(&submission(), "chores", message!(-1))).is_none());
}

#[test]
fn unknown_fields_of_a_submission_are_ignored() {
    let mut fields = submission().into_map().unwrap();
    fields.push(("mood".into(), message!({"deep" => [1, 2, null]})));
    assert_eq!(decode_value::<JobSpec>(&Value::Map(fields)), job_spec());
}

#[test]
fn other_items_than_maps_and_trailing_or_missing_bytes_are_rejected() {
    assert!(try_decode_value::<JobSpec>(&message!("wk-1")).is_none());
    assert!(try_decode_value::<JobSpec>(&message!(null)).is_none());
    assert!(decode::<JobSpec>(&[]).is_err());
    let mut bytes = hex(SUBMISSION_HEX);
    bytes.push(0xf6);
    assert!(decode::<JobSpec>(&bytes).is_err());
    bytes.truncate(bytes.len() - 2);
    assert!(decode::<JobSpec>(&bytes).is_err());
}

#[test]
fn job_kinds_have_their_wire_names() {
    for (kind, name) in [
        (JobKind::Array, "array"),
        (JobKind::Service, "daemon"),
        (JobKind::Gang, "gang"),
    ] {
        let literal = with(&submission(), "shape", name.into());
        let expected = JobSpec { kind, ..job_spec() };
        assert_eq!(decode_value::<JobSpec>(&literal), expected);
        assert_eq!(encode_to_value(&expected), literal);
        assert_eq!(encode_to_value(&kind), Value::from(name));
    }
    assert!(try_decode_value::<JobKind>(&message!("service")).is_none());
}

#[test]
fn priorities_have_their_wire_names_and_are_ordered() {
    let priorities = [
        (Priority::Production, "prod"),
        (Priority::High, "urgent"),
        (Priority::Normal, "standard"),
        (Priority::Low, "idle"),
    ];
    for (priority, name) in priorities {
        let literal = with(&submission(), "rank", name.into());
        let expected = JobSpec {
            priority,
            ..job_spec()
        };
        assert_eq!(decode_value::<JobSpec>(&literal), expected);
        assert_eq!(encode_to_value(&expected), literal);
        assert_eq!(encode_to_value(&priority), Value::from(name));
    }
    assert!(priorities.is_sorted_by_key(|(priority, _)| *priority));
    assert!(try_decode_value::<Priority>(&message!("high")).is_none());
}

#[test]
fn views_of_a_job_in_every_state_are_encoded_and_decoded() {
    let view = |state, done, running| JobView {
        id: "wk-000412".into(),
        state,
        done,
        running,
    };
    let cases = [
        (
            view(JobState::Running, Some(3), Some(13)),
            message!({"id" => "wk-000412", "standing" => "running", "done" => 3, "running" => 13}),
        ),
        (
            view(JobState::Queued, None, None),
            message!({"id" => "wk-000412", "standing" => "queued"}),
        ),
        (
            view(JobState::Done, Some(16), None),
            message!({"id" => "wk-000412", "standing" => "done", "done" => 16}),
        ),
        (
            view(JobState::Cancelled, None, Some(0)),
            message!({"id" => "wk-000412", "standing" => "cancelled", "running" => 0}),
        ),
    ];
    for (view, literal) in cases {
        assert_eq!(encode_to_value(&view), literal);
        assert_eq!(decode_value::<JobView>(&literal), view);
    }
    let null =
        message!({"id" => "wk-000412", "standing" => "queued", "done" => null, "running" => null});
    assert_eq!(
        decode_value::<JobView>(&null),
        view(JobState::Queued, None, None)
    );
    assert_required::<JobView>(
        &message!({"id" => "wk-1", "standing" => "queued"}),
        &["id", "standing"],
    );
}

#[test]
fn a_view_of_a_job_encodes_to_the_expected_bytes() {
    let view = JobView {
        id: "wk-000412".into(),
        state: JobState::Running,
        done: Some(3),
        running: Some(13),
    };
    // {"id": "wk-000412", "standing": "running", "done": 3, "running": 13}
    let expected = hex(
        "a4 62 6964 69 776b2d303030343132 68 7374616e64696e67 67 72756e6e696e67 \
         64 646f6e65 03 67 72756e6e696e67 0d",
    );
    assert_eq!(encode(&view), expected);
}

#[test]
fn job_ids_are_wk_and_1_to_20_digits() {
    for id in ["wk-0", "wk-000412", "wk-12345678901234567890"] {
        assert!(is_job_id(id), "{id}");
    }
    for id in [
        "",
        "wk-",
        "wk",
        "xx-1",
        "wk-1a",
        "WK-1",
        "wk-123456789012345678901",
        "wk-1/0",
    ] {
        assert!(!is_job_id(id), "{id}");
    }
}

/// Returns the error text that the user receives for a submission with an invalid field.
fn validation_error(change: impl FnOnce(&mut JobSpec)) -> String {
    let mut job = job_spec();
    change(&mut job);
    job.validate().expect_err("refused").to_string()
}

#[test]
fn an_invalid_name_is_reported_by_its_wire_name() {
    assert!(job_spec().validate().is_ok());
    assert_eq!(validation_error(|job| job.id = "wk-x".into()), "id");
    for bad in [String::new(), "x".repeat(201)] {
        let names = "lane, crew or bundle";
        assert_eq!(validation_error(|job| job.class.clone_from(&bad)), names);
        assert_eq!(validation_error(|job| job.team.clone_from(&bad)), names);
        assert_eq!(validation_error(|job| job.image.clone_from(&bad)), names);
        assert_eq!(validation_error(|job| job.zone = Some(bad.clone())), "yard");
        let types = vec!["g8".into(), bad];
        assert_eq!(
            validation_error(|job| job.machine_types = Some(types)),
            "breeds"
        );
    }
    let too_many = vec!["g8".to_string(); 65];
    assert_eq!(
        validation_error(|job| job.machine_types = Some(too_many)),
        "breeds"
    );
}

#[test]
fn an_invalid_number_is_reported_to_the_user() {
    for tasks in [0, 100_001] {
        assert_eq!(validation_error(|job| job.tasks = tasks), "chores");
    }
    for bad in [0.0, -1.0, f64::NAN, f64::INFINITY, 1.1e9] {
        assert_eq!(validation_error(|job| job.cpus = bad), "cores");
    }
    for bad in [-1.0, f64::NAN, f64::INFINITY, 1.1e9] {
        assert_eq!(validation_error(|job| job.gpus = bad), "an amount");
        assert_eq!(validation_error(|job| job.memory_gb = bad), "an amount");
        assert_eq!(validation_error(|job| job.image_gb = bad), "an amount");
        assert_eq!(
            validation_error(|job| job.run_time_estimate_s = bad),
            "an amount"
        );
        assert_eq!(
            validation_error(|job| job.checkpoint_interval_s = bad),
            "an amount"
        );
        assert_eq!(
            validation_error(|job| job.checkpoint_save_s = bad),
            "an amount"
        );
        assert_eq!(validation_error(|job| job.deadline_s = Some(bad)), "dueS");
    }
}

#[test]
fn the_largest_allowed_values_are_valid() {
    let name = "x".repeat(200);
    let job = JobSpec {
        class: name.clone(),
        team: name.clone(),
        image: name.clone(),
        zone: Some(name.clone()),
        machine_types: Some(vec![name; 64]),
        tasks: 100_000,
        cpus: 1e9,
        deadline_s: Some(1e9),
        ..job_spec()
    };
    assert!(job.validate().is_ok());
    assert_eq!((TASK_LIMIT, MAX_BODY_BYTES), (100_000, 65_536));
}

/// CBOR encoding of [`submission`], in hexadecimal digits.
const SUBMISSION_HEX: &str = "\
    b462696469776b2d303030343132646c616e6565747261696e646372657766766973696f6e657368 \
    6170656561727261796472616e6b66757267656e746663686f7265731065636f726573f948406563 \
    61726473f93c00656d656d4762f954006662756e646c6566696d672d30376670756c6c4762f94640 \
    66627265656473826267386263346479617264616168746f676574686572f56773636174746572f4 \
    676c6f616e657273f5677265636b6f6e53f95b806a6d61726b457665727953f94f806573746f7753 \
    f944006464756553f96308";
