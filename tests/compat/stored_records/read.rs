//! Decoding of stored records, and deletion of keys.

use super::{
    concat, job_spec, leader_record, machine_type, put_event, record_count, rental_record,
    replica_after, CATALOGUE, EPOCH, EPOCH_WITHOUT_START_LOG, FINAL_CANCELLED, FINAL_DONE,
    JOB_RECORD_PREFIX, JOB_RECORD_SUFFIX, LEADER, RENTAL_ANSWERED, RENTAL_UNANSWERED, SPEC,
};
use hollowswitch::protocol::decode;
use hollowswitch::store::{Epoch, EpochRecord, FinalRecord, Revision, TASKS_PER_CHUNK};

#[test]
fn an_unfinished_job_is_decoded() {
    let record = concat(&[JOB_RECORD_PREFIX, SPEC, JOB_RECORD_SUFFIX]);
    let replica = replica_after(&put_event(b"\x76hollowswitch/live/wk-1", &record));
    let stored = &replica.live["wk-1"];
    assert_eq!(
        (&stored.record.spec, stored.version.as_u64()),
        (&job_spec(), 9)
    );
    assert_eq!(stored.record.at_ms, 1_700_000_000_000);
    assert!(replica.stopping.is_empty());
}

#[test]
fn a_job_being_stopped_is_decoded() {
    let record = concat(&[JOB_RECORD_PREFIX, SPEC, JOB_RECORD_SUFFIX]);
    let replica = replica_after(&put_event(b"\x78\x1ahollowswitch/stopping/wk-1", &record));
    let stored = &replica.stopping["wk-1"];
    assert_eq!(
        (&stored.record.spec, stored.version.as_u64()),
        (&job_spec(), 9)
    );
    assert_eq!(stored.record.at_ms, 1_700_000_000_000);
    assert!(replica.live.is_empty());
}

#[test]
fn final_states_are_decoded() {
    let replica = replica_after(&put_event(b"\x76hollowswitch/over/wk-1", FINAL_CANCELLED));
    let cancelled = FinalRecord {
        cancelled: true,
        tasks: 9000,
    };
    assert_eq!(replica.final_state("wk-1"), Some(cancelled));
    let replica = replica_after(&put_event(b"\x76hollowswitch/over/wk-1", FINAL_DONE));
    let done = FinalRecord {
        cancelled: false,
        tasks: 9000,
    };
    assert_eq!(replica.final_state("wk-1"), Some(done));
}

#[test]
fn a_bitmap_of_finished_tasks_is_decoded() {
    let replica = replica_after(&put_event(
        b"\x78\x18hollowswitch/done/wk-1/2",
        b"\x660500ff",
    ));
    let stored = &replica.done[&("wk-1".to_string(), 2)];
    assert_eq!(
        (stored.record.as_slice(), stored.version.as_u64()),
        (&[0x05, 0x00, 0xff][..], 9)
    );
}

#[test]
fn a_bitmap_of_finished_tasks_is_hexadecimal_text_for_at_most_4096_tasks() {
    assert_eq!(TASKS_PER_CHUNK, 4096);
    let decode_bitmap = |text: &[u8]| {
        let replica = replica_after(&put_event(b"\x78\x18hollowswitch/done/wk-1/2", text));
        replica
            .done
            .into_values()
            .next()
            .map(|stored| stored.record)
    };
    // A full chunk has 4,096 bits, 1,024 digits. Longer texts, other characters and an odd number of digits are rejected.
    assert_eq!(
        decode_bitmap(&concat(&[b"\x79\x04\x00", &[b'f'; 1024]])),
        Some(vec![0xff; 512])
    );
    assert_eq!(
        decode_bitmap(&concat(&[b"\x79\x04\x02", &[b'f'; 1026]])),
        None
    );
    assert_eq!(decode_bitmap(b"\x640g00"), None);
    assert_eq!(decode_bitmap(b"\x63050"), None);
}

#[test]
fn a_slot_of_the_start_log_is_decoded() {
    let replica = replica_after(&put_event(
        b"\x75hollowswitch/starts/3",
        b"\x74n-1 - /wk-1 0.400001",
    ));
    let stored = &replica.start_log[&3];
    assert_eq!(
        (stored.record.as_str(), stored.version.as_u64()),
        ("n-1 - /wk-1 0.400001", 9)
    );
}

#[test]
fn rental_records_are_decoded() {
    let replica = replica_after(&put_event(b"\x75hollowswitch/hire/r-1", RENTAL_UNANSWERED));
    assert_eq!(replica.rentals["r-1"].record, rental_record(None));
    assert_eq!(replica.rentals["r-1"].version.as_u64(), 9);
    let replica = replica_after(&put_event(b"\x75hollowswitch/hire/r-1", RENTAL_ANSWERED));
    let machines = Some(vec!["n-1".into(), "n-2".into()]);
    assert_eq!(replica.rentals["r-1"].record, rental_record(machines));
}

#[test]
fn leader_epoch_and_machine_types_are_decoded() {
    let replica = replica_after(&put_event(b"\x73hollowswitch/leader", LEADER));
    let leader = replica.leader.unwrap();
    assert_eq!(
        (leader.record, leader.version.as_u64()),
        (leader_record("drover-0", 77), 9)
    );
    let replica = replica_after(&put_event(b"\x72hollowswitch/epoch", EPOCH));
    let epoch = replica.epoch.unwrap();
    let expected = EpochRecord {
        number: Epoch::new(6),
        leader: leader_record("drover-0", 77),
        members: vec![leader_record("drover-0", 77)],
        logs_starts: true,
    };
    assert_eq!((epoch.record, epoch.version.as_u64()), (expected, 9));
    let replica = replica_after(&put_event(b"\x76hollowswitch/catalogue", CATALOGUE));
    let catalogue = replica.catalogue.unwrap();
    assert_eq!(
        (catalogue.record, catalogue.version.as_u64()),
        (vec![machine_type()], 9)
    );
}

#[test]
fn an_epoch_of_a_version_without_a_start_log_is_decoded_as_such() {
    let replica = replica_after(&put_event(
        b"\x72hollowswitch/epoch",
        EPOCH_WITHOUT_START_LOG,
    ));
    let expected = EpochRecord {
        number: Epoch::new(5),
        leader: leader_record("drover-1", 78),
        members: vec![leader_record("drover-1", 78), leader_record("drover-2", 79)],
        logs_starts: false,
    };
    assert_eq!(replica.epoch.unwrap().record, expected);
}

#[test]
fn a_deleted_key_of_any_family_is_removed_from_the_replica() {
    let live = concat(&[JOB_RECORD_PREFIX, SPEC, JOB_RECORD_SUFFIX]);
    let stored: [(&[u8], &[u8]); 6] = [
        (b"\x76hollowswitch/live/wk-1", &live),
        (b"\x78\x1ahollowswitch/stopping/wk-1", &live),
        (b"\x78\x18hollowswitch/done/wk-1/2", b"\x620f"),
        (b"\x75hollowswitch/starts/3", b"\x60"),
        (b"\x75hollowswitch/hire/r-1", RENTAL_UNANSWERED),
        (b"\x73hollowswitch/leader", LEADER),
    ];
    for (key, record) in stored {
        let mut replica = replica_after(&put_event(key, record));
        assert_eq!(record_count(&replica), 1);
        let deletion = concat(&[b"\xa2\x64drop", key, b"\x65stamp\x0a"]);
        replica.apply(Revision::new(101), &[decode(&deletion).unwrap()]);
        assert_eq!(
            record_count(&replica),
            0,
            "{}",
            String::from_utf8_lossy(key)
        );
    }
}
