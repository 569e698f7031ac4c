//! Messages exchanged with the state service: transactions, pages of keys, watches and leases.

use super::literal::{
    assert_required, decode_value, encode_to_value, hex, message, try_decode_value, with, without,
};
use ciborium::Value;
use hollowswitch::protocol::{
    encode, Change, ErrorReply, Event, Guard, KeyValue, LeaseReply, LeaseRequest, Page, Revision,
    Txn, TxnReply, WatchReply,
};

/// Returns a transaction with a put with a lease, a put without one, and a delete.
fn transaction() -> Txn {
    Txn {
        guards: vec![Guard {
            key: "a/b".into(),
            version: Revision::new(412),
        }],
        apply: vec![
            Change::Put {
                put: "a/b".into(),
                value: message!({"x" => 1}),
                lease: Some(7),
            },
            Change::Put {
                put: "a/c".into(),
                value: message!(null),
                lease: None,
            },
            Change::Delete { key: "c/d".into() },
        ],
    }
}

#[test]
fn every_field_of_a_transaction_is_encoded_and_decoded() {
    let literal = message!({
        "guards" => [{"path" => "a/b", "stamp" => 412}],
        "apply" => [{"put" => "a/b", "v" => {"x" => 1}, "tenure" => 7},
                    {"put" => "a/c", "v" => null},
                    {"drop" => "c/d"}]
    });
    assert_eq!(encode_to_value(&transaction()), literal);
    assert_eq!(decode_value::<Txn>(&literal), transaction());
    assert!(try_decode_value::<Txn>(&without(&literal, "guards")).is_none());
    let with_null = message!({"guards" => [], "apply" => [
        {"put" => "a/c", "v" => 1, "tenure" => null}]});
    let expected = Change::Put {
        put: "a/c".into(),
        value: message!(1),
        lease: None,
    };
    assert_eq!(decode_value::<Txn>(&with_null).apply, vec![expected]);
}

#[test]
fn a_transaction_encodes_to_the_expected_bytes() {
    // {"guards": [{"path": "a/b", "stamp": 412}],
    //  "apply": [{"put": "a/b", "v": {"x": 1}, "tenure": 7}, {"put": "a/c", "v": null}, {"drop": "c/d"}]}
    let expected = hex(
        "a2 66 677561726473 81 a2 64 70617468 63 612f62 65 7374616d70 19 019c \
         65 6170706c79 83 \
         a3 63 707574 63 612f62 61 76 a1 61 78 01 66 74656e757265 07 \
         a2 63 707574 63 612f63 61 76 f6 \
         a1 64 64726f70 63 632f64",
    );
    assert_eq!(encode(&transaction()), expected);
}

#[test]
fn a_transaction_without_changes_has_no_apply_field() {
    let guards_only = Txn {
        guards: vec![Guard {
            key: "a/b".into(),
            version: Revision::ZERO,
        }],
        apply: Vec::new(),
    };
    let literal = message!({"guards" => [{"path" => "a/b", "stamp" => 0}]});
    assert_eq!(encode_to_value(&guards_only), literal);
    assert_eq!(decode_value::<Txn>(&literal), guards_only);
    // {"guards": []}
    assert_eq!(encode(&Txn::default()), hex("a1 66 677561726473 80"));
}

#[test]
fn fields_of_guards_and_changes_are_required() {
    assert_required::<Guard>(
        &message!({"path" => "a/b", "stamp" => 412}),
        &["path", "stamp"],
    );
    assert!(try_decode_value::<Change>(&message!({"put" => "a"})).is_none());
    assert!(try_decode_value::<Change>(&message!({"v" => 1})).is_none());
    assert!(try_decode_value::<Change>(&message!({})).is_none());
}

#[test]
fn a_transaction_reply_is_decoded_and_encoded() {
    let applied = decode_value::<TxnReply>(&message!({"ledger" => 432}));
    assert_eq!((applied.failed.len(), applied.revision.as_u64()), (0, 432));
    let literal = message!({"failed" => ["a/b", "c"], "ledger" => 431});
    let failed = decode_value::<TxnReply>(&literal);
    assert_eq!(
        (failed.failed.clone(), failed.revision.as_u64()),
        (vec!["a/b".to_string(), "c".to_string()], 431)
    );
    assert_eq!(encode_to_value(&failed), literal);
    assert_required::<TxnReply>(&message!({"ledger" => 1}), &["ledger"]);
}

#[test]
fn the_reason_of_a_bad_request_is_decoded_and_encoded() {
    let literal = message!({"error" => "no such lease"});
    let reply = decode_value::<ErrorReply>(&literal);
    assert_eq!(reply.error, ErrorReply::NO_SUCH_LEASE);
    assert_eq!(encode_to_value(&reply), literal);
    assert_required::<ErrorReply>(&literal, &["error"]);
}

fn item_message() -> Value {
    message!({"path" => "a/b", "v" => {"x" => [1, "y"]}, "stamp" => 412, "tenure" => 7})
}

#[test]
fn every_field_of_an_item_is_decoded_and_encoded() {
    let item = decode_value::<KeyValue>(&item_message());
    assert_eq!((item.key.as_str(), item.version.as_u64()), ("a/b", 412));
    assert_eq!(item.value, message!({"x" => [1, "y"]}));
    assert_eq!(encode_to_value(&item), without(&item_message(), "tenure"));
    assert!(try_decode_value::<KeyValue>(&without(&item_message(), "path")).is_none());
    assert!(try_decode_value::<KeyValue>(&without(&item_message(), "v")).is_none());
    assert!(try_decode_value::<KeyValue>(&without(&item_message(), "stamp")).is_none());
    let null = decode_value::<KeyValue>(&with(&item_message(), "v", Value::Null));
    assert_eq!(null.value, Value::Null);
}

#[test]
fn every_field_of_a_page_of_keys_is_decoded_and_encoded() {
    let literal = message!({"rows" => [{"path" => "c/8", "v" => 5, "stamp" => 430}],
                            "hasNext" => true, "ledger" => 431});
    let page = decode_value::<Page>(&literal);
    assert_eq!(
        (page.items.len(), page.has_more, page.revision.as_u64()),
        (1, true, 431)
    );
    assert_eq!(
        (page.items[0].key.as_str(), page.items[0].version.as_u64()),
        ("c/8", 430)
    );
    assert_eq!(page.items[0].value, message!(5));
    assert_eq!(encode_to_value(&page), literal);
    assert_required::<Page>(&literal, &["rows", "hasNext", "ledger"]);
    assert!(
        !decode_value::<Page>(&message!({"rows" => [], "hasNext" => false, "ledger" => 1}))
            .has_more
    );
}

#[test]
fn every_field_of_a_watch_reply_is_decoded_and_encoded() {
    let literal = message!({"ledger" => 433, "events" => [
        {"put" => "c/9", "v" => {"x" => 1}, "stamp" => 433}, {"drop" => "c/d", "stamp" => 432}]});
    let watched = decode_value::<WatchReply>(&literal);
    assert_eq!(watched.revision.as_u64(), 433);
    let [Event::Put {
        put,
        value,
        version,
    }, Event::Delete {
        key,
        version: deleted_at,
    }] = watched.events.as_slice()
    else {
        panic!("a put and a removal: {:?}", watched.events);
    };
    assert_eq!(
        (put.as_str(), value, version.as_u64()),
        ("c/9", &message!({"x" => 1}), 433)
    );
    assert_eq!((key.as_str(), deleted_at.as_u64()), ("c/d", 432));
    assert_eq!(encode_to_value(&watched), literal);
    assert_required::<WatchReply>(&literal, &["ledger", "events"]);
    assert!(
        decode_value::<WatchReply>(&message!({"ledger" => 1, "events" => []}))
            .events
            .is_empty()
    );
}

#[test]
fn an_event_is_either_a_put_or_a_delete() {
    let absent = message!({"put" => "c/9", "stamp" => 1});
    let null = message!({"put" => "c/9", "v" => null, "drop" => null, "stamp" => 1});
    for literal in [absent, null] {
        let Event::Put { value, .. } = decode_value::<Event>(&literal) else {
            panic!("a write");
        };
        assert_eq!(value, Value::Null);
    }
    assert!(
        try_decode_value::<Event>(&message!({"put" => "a", "drop" => "a", "stamp" => 1})).is_none()
    );
    assert!(try_decode_value::<Event>(&message!({"v" => 1, "stamp" => 1})).is_none());
    assert!(try_decode_value::<Event>(&message!({"put" => "a", "v" => 1})).is_none());
    assert!(try_decode_value::<Event>(&message!({"drop" => "a"})).is_none());
}

#[test]
fn a_lease_request_and_its_reply_are_encoded_and_decoded() {
    let request = LeaseRequest { ttl_ms: 5000 };
    let literal = message!({"lifeMs" => 5000});
    assert_eq!(encode_to_value(&request), literal);
    // {"lifeMs": 5000}
    assert_eq!(encode(&request), hex("a1 66 6c6966654d73 19 1388"));
    assert_eq!(decode_value::<LeaseRequest>(&literal).ttl_ms, 5000);
    assert_required::<LeaseRequest>(&literal, &["lifeMs"]);
    let reply_message = message!({"tenure" => 7});
    let reply = decode_value::<LeaseReply>(&reply_message);
    assert_eq!(reply.lease, 7);
    assert_eq!(encode_to_value(&reply), reply_message);
    assert_required::<LeaseReply>(&reply_message, &["tenure"]);
}
