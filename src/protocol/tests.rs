//! Tests of encoding, decoding and validation.

use super::*;
use ciborium::cbor;

#[test]
fn whole_numbers_pass_as_amounts_and_trailing_bytes_do_not() {
    let v = cbor!({"id"=>"wk-1","lane"=>"a","crew"=>"t","shape"=>"array","rank"=>"idle","chores"=>3,"cores"=>2,
        "cards"=>0,"memGb"=>1.5,"bundle"=>"i","pullGb"=>1,"together"=>false,"scatter"=>false,"loaners"=>true,
        "reckonS"=>10,"markEveryS"=>0,"stowS"=>0,"dueS"=>null,"new"=>[1]})
    .unwrap();
    let mut body = encode(&v);
    let spec: JobSpec = decode(&body).unwrap();
    assert_eq!((spec.cpus, spec.deadline_s), (2.0, None));
    assert!(spec.validate().is_ok());
    body.push(0);
    assert!(decode::<JobSpec>(&body).is_err());
}

#[test]
fn bad_fields_are_named() {
    let spec = crate::scheduler::tests::spec("wk-7", 1);
    for (bad, field) in [
        (
            JobSpec {
                id: "xx-1".into(),
                ..spec.clone()
            },
            "id",
        ),
        (
            JobSpec {
                tasks: 0,
                ..spec.clone()
            },
            "chores",
        ),
        (
            JobSpec {
                cpus: f64::NAN,
                ..spec.clone()
            },
            "cores",
        ),
        (
            JobSpec {
                checkpoint_save_s: -1.0,
                ..spec.clone()
            },
            "an amount",
        ),
        (
            JobSpec {
                deadline_s: Some(-3.0),
                ..spec.clone()
            },
            "dueS",
        ),
    ] {
        assert_eq!(bad.validate().unwrap_err().to_string(), field);
    }
    // A hundred nested lists must be refused, not recursed into.
    assert!(decode::<ciborium::Value>(&[0x81; 100]).is_err());
}

#[test]
fn changes_and_events_keep_their_wire_names() {
    let txn = Txn {
        guards: vec![Guard {
            key: "a/b".into(),
            version: Revision::ZERO,
        }],
        apply: vec![
            Change::Put {
                put: "a/b".into(),
                value: cbor!({"x"=>1}).unwrap(),
                lease: Some(7),
            },
            Change::Delete { key: "c/d".into() },
        ],
    };
    let back: ciborium::Value = decode(&encode(&txn)).unwrap();
    let expect = cbor!({"guards"=>[{"path"=>"a/b","stamp"=>0}],
        "apply"=>[{"put"=>"a/b","v"=>{"x"=>1},"tenure"=>7},{"drop"=>"c/d"}]})
    .unwrap();
    assert_eq!(back, expect);
    let commands = HeartbeatReply {
        token: FencingToken::new(4),
        commands: vec![Command::Start {
            task: "wk-1/0".into(),
            attempt: 2,
        }],
    };
    assert_eq!(
        decode::<HeartbeatReply>(&encode(&commands)).unwrap(),
        commands
    );
}
