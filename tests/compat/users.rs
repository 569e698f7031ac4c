//! Users: submissions, and what they are told of a job.

use super::literal::{
    assert_amounts, assert_required, hex, message, read, try_read, with, without, written,
};
use ciborium::Value;
use hollowswitch::protocol::{
    decode, encode, is_job_id, JobKind, JobSpec, JobState, JobView, Priority, BODY_LIMIT,
    TASK_LIMIT,
};

/// The submission that the protocol's page shows.
fn submission() -> Value {
    message!({
        "id" => "wk-000412", "lane" => "train", "crew" => "vision", "shape" => "array",
        "rank" => "urgent", "chores" => 16, "cores" => 8.5, "cards" => 1.0, "memGb" => 64.0,
        "bundle" => "img-07", "pullGb" => 6.25, "breeds" => ["g8", "c4"], "yard" => "a",
        "together" => true, "scatter" => false, "loaners" => true, "reckonS" => 240.0,
        "markEveryS" => 30.0, "stowS" => 4.0, "dueS" => 900.0
    })
}

/// The same, as the program has it.
fn job() -> JobSpec {
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
fn a_submission_is_read_and_written_field_by_field() {
    assert_eq!(read::<JobSpec>(&submission()), job());
    assert_eq!(written(&job()), submission());
    let opposite = with(&submission(), "together", Value::Bool(false));
    let opposite = with(&opposite, "scatter", Value::Bool(true));
    let opposite = with(&opposite, "loaners", Value::Bool(false));
    let expected = JobSpec {
        single_zone: false,
        spread_zones: true,
        spot: false,
        ..job()
    };
    assert_eq!(read::<JobSpec>(&opposite), expected);
    assert_eq!(written(&expected), opposite);
}

#[test]
fn a_submission_is_these_bytes() {
    let bytes = hex(SUBMISSION);
    assert_eq!(decode::<JobSpec>(&bytes).ok(), Some(job()));
    assert_eq!(encode(&job()), bytes);
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
        ..job()
    };
    assert_eq!(read::<JobSpec>(&with_null), expected);
    assert_eq!(read::<JobSpec>(&absent), expected);
    assert_eq!(written(&expected), with_null);
    for field in ["breeds", "yard", "dueS"] {
        let one_null = read::<JobSpec>(&with(&submission(), field, Value::Null));
        let one_absent = read::<JobSpec>(&without(&submission(), field));
        assert_eq!(one_null, one_absent);
        assert_ne!(one_null, job(), "{field}");
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
fn amounts_of_a_submission_are_any_finite_numbers_and_counts_are_integers() {
    assert_amounts::<JobSpec>(
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
    assert!(try_read::<JobSpec>(&with(&submission(), "chores", Value::Float(1.5))).is_none());
    assert!(try_read::<JobSpec>(&with(&submission(), "chores", message!(-1))).is_none());
}

#[test]
fn unknown_fields_of_a_submission_are_ignored() {
    let mut fields = submission().into_map().unwrap();
    fields.push(("mood".into(), message!({"deep" => [1, 2, null]})));
    assert_eq!(read::<JobSpec>(&Value::Map(fields)), job());
}

#[test]
fn what_is_no_map_and_what_has_trailing_bytes_is_refused() {
    assert!(try_read::<JobSpec>(&message!("wk-1")).is_none());
    assert!(try_read::<JobSpec>(&message!(null)).is_none());
    assert!(decode::<JobSpec>(&[]).is_err());
    let mut bytes = hex(SUBMISSION);
    bytes.push(0xf6);
    assert!(decode::<JobSpec>(&bytes).is_err());
    bytes.truncate(bytes.len() - 2);
    assert!(decode::<JobSpec>(&bytes).is_err());
}

#[test]
fn shapes_have_these_names() {
    for (kind, name) in [
        (JobKind::Array, "array"),
        (JobKind::Service, "daemon"),
        (JobKind::Gang, "gang"),
    ] {
        let literal = with(&submission(), "shape", name.into());
        let expected = JobSpec { kind, ..job() };
        assert_eq!(read::<JobSpec>(&literal), expected);
        assert_eq!(written(&expected), literal);
        assert_eq!(written(&kind), Value::from(name));
    }
    assert!(try_read::<JobKind>(&message!("service")).is_none());
}

#[test]
fn ranks_have_these_names_and_this_order() {
    let ranks = [
        (Priority::Production, "prod"),
        (Priority::High, "urgent"),
        (Priority::Normal, "standard"),
        (Priority::Low, "idle"),
    ];
    for (priority, name) in ranks {
        let literal = with(&submission(), "rank", name.into());
        let expected = JobSpec { priority, ..job() };
        assert_eq!(read::<JobSpec>(&literal), expected);
        assert_eq!(written(&expected), literal);
        assert_eq!(written(&priority), Value::from(name));
    }
    assert!(ranks.is_sorted_by_key(|(priority, _)| *priority));
    assert!(try_read::<Priority>(&message!("high")).is_none());
}

#[test]
fn a_job_is_described_to_its_user_in_these_words() {
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
        assert_eq!(written(&view), literal);
        assert_eq!(read::<JobView>(&literal), view);
    }
    let null =
        message!({"id" => "wk-000412", "standing" => "queued", "done" => null, "running" => null});
    assert_eq!(read::<JobView>(&null), view(JobState::Queued, None, None));
    assert_required::<JobView>(
        &message!({"id" => "wk-1", "standing" => "queued"}),
        &["id", "standing"],
    );
}

#[test]
fn a_description_of_a_job_is_these_bytes() {
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
fn job_ids_have_one_form() {
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

/// What the user of a refused submission is told: the name of the field, as it was written.
fn refusal(change: impl FnOnce(&mut JobSpec)) -> String {
    let mut job = job();
    change(&mut job);
    job.validate().expect_err("refused").to_string()
}

#[test]
fn a_refused_name_is_named_as_the_user_wrote_it() {
    assert!(job().validate().is_ok());
    assert_eq!(refusal(|job| job.id = "wk-x".into()), "id");
    for bad in [String::new(), "x".repeat(201)] {
        let names = "lane, crew or bundle";
        assert_eq!(refusal(|job| job.class.clone_from(&bad)), names);
        assert_eq!(refusal(|job| job.team.clone_from(&bad)), names);
        assert_eq!(refusal(|job| job.image.clone_from(&bad)), names);
        assert_eq!(refusal(|job| job.zone = Some(bad.clone())), "yard");
        let types = vec!["g8".into(), bad];
        assert_eq!(refusal(|job| job.machine_types = Some(types)), "breeds");
    }
    let many = vec!["g8".to_string(); 65];
    assert_eq!(refusal(|job| job.machine_types = Some(many)), "breeds");
}

#[test]
fn a_refused_amount_is_named_as_the_user_wrote_it() {
    for tasks in [0, 100_001] {
        assert_eq!(refusal(|job| job.tasks = tasks), "chores");
    }
    for bad in [0.0, -1.0, f64::NAN, f64::INFINITY, 1.1e9] {
        assert_eq!(refusal(|job| job.cpus = bad), "cores");
    }
    for bad in [-1.0, f64::NAN, f64::INFINITY, 1.1e9] {
        assert_eq!(refusal(|job| job.gpus = bad), "an amount");
        assert_eq!(refusal(|job| job.memory_gb = bad), "an amount");
        assert_eq!(refusal(|job| job.image_gb = bad), "an amount");
        assert_eq!(refusal(|job| job.run_time_estimate_s = bad), "an amount");
        assert_eq!(refusal(|job| job.checkpoint_interval_s = bad), "an amount");
        assert_eq!(refusal(|job| job.checkpoint_save_s = bad), "an amount");
        assert_eq!(refusal(|job| job.deadline_s = Some(bad)), "dueS");
    }
}

#[test]
fn the_largest_values_pass() {
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
        ..job()
    };
    assert!(job.validate().is_ok());
    assert_eq!((TASK_LIMIT, BODY_LIMIT), (100_000, 65_536));
}

/// The submission of the protocol's page, byte by byte.
const SUBMISSION: &str = "\
    b462696469776b2d303030343132646c616e6565747261696e646372657766766973696f6e657368 \
    6170656561727261796472616e6b66757267656e746663686f7265731065636f726573f948406563 \
    61726473f93c00656d656d4762f954006662756e646c6566696d672d30376670756c6c4762f94640 \
    66627265656473826267386263346479617264616168746f676574686572f56773636174746572f4 \
    676c6f616e657273f5677265636b6f6e53f95b806a6d61726b457665727953f94f806573746f7753 \
    f944006464756553f96308";
