//! Text of keys, and transactions that write records.

use super::{
    concat, job_record, leader_record, machine_type, put_event, rental_record, replica_after,
    CATALOGUE, EPOCH, EPOCH_WITHOUT_START_LOG, FINAL_CANCELLED, FINAL_DONE, JOB_RECORD_PREFIX,
    JOB_RECORD_SUFFIX, LEADER, RENTAL_ANSWERED, RENTAL_UNANSWERED, SPEC,
};
use hollowswitch::protocol::{encode, Txn};
use hollowswitch::store::{
    bitmap_to_hex, cancel_txn, catalogue_key, claim_txn, complete_txn, done_key, epoch_key,
    final_key, guard, leader_key, live_key, parse_live_key, put, rental_key, rental_txn,
    start_log_key, stopping_key, submit_txn, Revision, Versioned,
};

#[test]
fn every_key_has_the_expected_text() {
    assert_eq!(leader_key(), "hollowswitch/leader");
    assert_eq!(epoch_key(), "hollowswitch/epoch");
    assert_eq!(catalogue_key(), "hollowswitch/catalogue");
    assert_eq!(live_key("wk-1"), "hollowswitch/live/wk-1");
    assert_eq!(stopping_key("wk-1"), "hollowswitch/stopping/wk-1");
    assert_eq!(final_key("wk-1"), "hollowswitch/over/wk-1");
    assert_eq!(done_key("wk-1", 17), "hollowswitch/done/wk-1/17");
    assert_eq!(start_log_key(3), "hollowswitch/starts/3");
    assert_eq!(
        rental_key("drover-0-77-1"),
        "hollowswitch/hire/drover-0-77-1"
    );
    assert_eq!(parse_live_key("hollowswitch/live/wk-1"), Some("wk-1"));
    assert_eq!(parse_live_key("hollowswitch/over/wk-1"), None);
    assert_eq!(parse_live_key("live/wk-1"), None);
}

#[test]
fn a_submission_writes_an_unfinished_job() {
    let expected = concat(&[
        b"\xa2\x66guards\x82",
        b"\xa2\x64path\x76hollowswitch/live/wk-1\x65stamp\x00",
        b"\xa2\x64path\x76hollowswitch/over/wk-1\x65stamp\x00",
        b"\x65apply\x81",
        b"\xa2\x63put\x76hollowswitch/live/wk-1\x61v",
        JOB_RECORD_PREFIX,
        SPEC,
        JOB_RECORD_SUFFIX,
    ]);
    assert_eq!(encode(&submit_txn("wk-1", &job_record())), expected);
}

#[test]
fn a_cancellation_moves_the_job_to_the_stopping_jobs_and_writes_its_final_state() {
    let expected = concat(&[
        b"\xa2\x66guards\x82",
        b"\xa2\x64path\x76hollowswitch/live/wk-1\x65stamp\x0c",
        b"\xa2\x64path\x76hollowswitch/over/wk-1\x65stamp\x00",
        b"\x65apply\x83",
        b"\xa1\x64drop\x76hollowswitch/live/wk-1",
        b"\xa2\x63put\x78\x1ahollowswitch/stopping/wk-1\x61v",
        JOB_RECORD_PREFIX,
        SPEC,
        JOB_RECORD_SUFFIX,
        b"\xa2\x63put\x76hollowswitch/over/wk-1\x61v",
        FINAL_CANCELLED,
    ]);
    let live = Versioned {
        record: job_record(),
        version: Revision::new(12),
    };
    assert_eq!(encode(&cancel_txn("wk-1", &live)), expected);
}

#[test]
fn a_completion_deletes_the_unfinished_job_and_writes_its_final_state() {
    let expected = concat(&[
        b"\xa2\x66guards\x83",
        b"\xa2\x64path\x72hollowswitch/epoch\x65stamp\x0b",
        b"\xa2\x64path\x76hollowswitch/live/wk-1\x65stamp\x0c",
        b"\xa2\x64path\x76hollowswitch/over/wk-1\x65stamp\x00",
        b"\x65apply\x82",
        b"\xa1\x64drop\x76hollowswitch/live/wk-1",
        b"\xa2\x63put\x76hollowswitch/over/wk-1\x61v",
        FINAL_DONE,
    ]);
    let epoch = guard("hollowswitch/epoch".into(), Revision::new(11));
    assert_eq!(
        encode(&complete_txn(&epoch, "wk-1", Revision::new(12), 9000)),
        expected
    );
}

#[test]
fn a_leadership_claim_writes_leader_and_epoch() {
    let mut replica = replica_after(&put_event(
        b"\x72hollowswitch/epoch",
        EPOCH_WITHOUT_START_LOG,
    ));
    let expected = |leader_version: u8| {
        concat(&[
            b"\xa2\x66guards\x82",
            b"\xa2\x64path\x73hollowswitch/leader\x65stamp",
            &[leader_version],
            b"\xa2\x64path\x72hollowswitch/epoch\x65stamp\x09",
            b"\x65apply\x82",
            b"\xa3\x63put\x73hollowswitch/leader\x61v",
            LEADER,
            b"\x66tenure\x18\x58",
            b"\xa2\x63put\x72hollowswitch/epoch\x61v",
            EPOCH,
        ])
    };
    let claimant = leader_record("drover-0", 77);
    let (txn, _) = claim_txn(&replica, &claimant, 88).unwrap();
    assert_eq!(encode(&txn), expected(0));
    // The leader key still belongs to an earlier process of the same controller.
    replica.leader = Some(Versioned {
        record: leader_record("drover-0", 76),
        version: Revision::new(8),
    });
    let (txn, record) = claim_txn(&replica, &claimant, 88).unwrap();
    assert_eq!(encode(&txn), expected(8));
    assert_eq!(encode(&record), EPOCH);
}

#[test]
fn a_rental_record_is_written_answered_and_deleted() {
    let epoch = guard("hollowswitch/epoch".into(), Revision::new(11));
    let header = |version: u8| {
        concat(&[
            b"\xa2\x66guards\x82",
            b"\xa2\x64path\x72hollowswitch/epoch\x65stamp\x0b",
            b"\xa2\x64path\x75hollowswitch/hire/r-1\x65stamp",
            &[version],
            b"\x65apply\x81",
        ])
    };
    let put_rental = b"\xa2\x63put\x75hollowswitch/hire/r-1\x61v";
    assert_eq!(
        encode(&rental_txn(
            &epoch,
            "r-1",
            Revision::ZERO,
            &rental_record(None)
        )),
        concat(&[&header(0), put_rental, RENTAL_UNANSWERED])
    );
    let machines = Some(vec!["n-1".into(), "n-2".into()]);
    assert_eq!(
        encode(&rental_txn(
            &epoch,
            "r-1",
            Revision::new(13),
            &rental_record(machines)
        )),
        concat(&[&header(13), put_rental, RENTAL_ANSWERED])
    );
    assert_eq!(
        encode(&rental_txn(
            &epoch,
            "r-1",
            Revision::new(13),
            &rental_record(Some(Vec::new()))
        )),
        concat(&[&header(13), b"\xa1\x64drop\x75hollowswitch/hire/r-1"])
    );
}

#[test]
fn bitmaps_of_finished_tasks_and_machine_types_are_written() {
    let txn = Txn {
        guards: Vec::new(),
        apply: vec![
            put(
                done_key("wk-1", 2),
                &bitmap_to_hex(&[0x05, 0x00, 0xff]),
                None,
            ),
            put(catalogue_key(), &vec![machine_type()], None),
        ],
    };
    let expected = concat(&[
        b"\xa2\x66guards\x80\x65apply\x82",
        b"\xa2\x63put\x78\x18hollowswitch/done/wk-1/2\x61v\x660500ff",
        b"\xa2\x63put\x76hollowswitch/catalogue\x61v",
        CATALOGUE,
    ]);
    assert_eq!(encode(&txn), expected);
}
