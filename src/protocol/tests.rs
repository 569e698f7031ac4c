//! Tests for encoding, decoding and validation.

use super::*;
use ciborium::cbor;

#[test]
fn amounts_may_be_integers_and_trailing_bytes_are_rejected() {
    let message = cbor!({"id"=>"wk-1","lane"=>"a","crew"=>"t","shape"=>"array","rank"=>"idle","chores"=>3,"cores"=>2,
        "cards"=>0,"memGb"=>1.5,"bundle"=>"i","pullGb"=>1,"together"=>false,"scatter"=>false,"loaners"=>true,
        "reckonS"=>10,"markEveryS"=>0,"stowS"=>0,"dueS"=>null,"new"=>[1]})
    .unwrap();
    let mut body = encode(&message);
    let spec: JobSpec = decode(&body).unwrap();
    assert_eq!((spec.cpus, spec.deadline_s), (2.0, None));
    assert!(spec.validate().is_ok());
    body.push(0);
    assert!(decode::<JobSpec>(&body).is_err());
}

#[test]
fn validation_names_the_invalid_field_and_decoding_rejects_deep_nesting() {
    let spec = crate::scheduler::tests::spec("wk-7", 1);
    for (invalid, field) in [
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
        assert_eq!(invalid.validate().unwrap_err().to_string(), field);
    }
    // 100 nested lists exceed the maximum depth: decoding must fail instead of exhausting the stack.
    assert!(decode::<ciborium::Value>(&[0x81; 100]).is_err());
}

#[test]
fn a_transaction_has_its_wire_names_and_a_heartbeat_reply_is_decoded_as_encoded() {
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
    let encoded: ciborium::Value = decode(&encode(&txn)).unwrap();
    let expected = cbor!({"guards"=>[{"path"=>"a/b","stamp"=>0}],
        "apply"=>[{"put"=>"a/b","v"=>{"x"=>1},"tenure"=>7},{"drop"=>"c/d"}]})
    .unwrap();
    assert_eq!(encoded, expected);
    let reply = HeartbeatReply {
        token: FencingToken::new(4),
        commands: vec![Command::Start {
            task: "wk-1/0".into(),
            attempt: 2,
        }],
    };
    assert_eq!(decode::<HeartbeatReply>(&encode(&reply)).unwrap(), reply);
}
