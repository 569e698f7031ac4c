//! Keys and records in the state service, as literal text and CBOR. A new version of the program reads the records of older
//! versions, and an older version reads those of a newer one after a rollback.

mod load;
mod read;
mod start_log;
mod unreadable;
mod written;

use hollowswitch::protocol::{decode, JobKind, JobSpec, MachineType, Priority, WatchReply};
use hollowswitch::store::{JobRecord, LeaderRecord, RentalRecord, Replica};

/// CBOR encoding of [`job_spec`].
const SPEC: &[u8] = b"\xb4\
    \x62id\x64wk-1\
    \x64lane\x64gold\
    \x64crew\x63red\
    \x65shape\x65array\
    \x64rank\x68standard\
    \x66chores\x19\x23\x28\
    \x65cores\xf9\x40\x00\
    \x65cards\xf9\x3c\x00\
    \x65memGb\xf9\x42\x00\
    \x66bundle\x63img\
    \x66pullGb\xf9\x44\x00\
    \x66breeds\x81\x62m8\
    \x64yard\x61a\
    \x68together\xf5\
    \x67scatter\xf4\
    \x67loaners\xf5\
    \x67reckonS\xf9\x45\x00\
    \x6amarkEveryS\xf9\x46\x00\
    \x65stowS\xf9\x47\x00\
    \x64dueS\xf9\x48\x00";
/// Bytes of [`job_record`] before [`SPEC`]. Keys below `live/` and `stopping/` contain such records.
const JOB_RECORD_PREFIX: &[u8] = b"\xa2\x64spec";
/// Bytes of [`job_record`] after [`SPEC`]: the time of submission, 1,700,000,000,000 ms after the Unix epoch.
const JOB_RECORD_SUFFIX: &[u8] = b"\x65at_ms\x1b\x00\x00\x01\x8b\xcf\xe5\x68\x00";
const FINAL_CANCELLED: &[u8] = b"\xa2\x69cancelled\xf5\x65tasks\x19\x23\x28";
const FINAL_DONE: &[u8] = b"\xa2\x69cancelled\xf4\x65tasks\x19\x23\x28";
const LEADER: &[u8] = b"\xa2\x64node\x68drover-0\x6bincarnation\x18\x4d";
const EPOCH: &[u8] = b"\xa4\
    \x66number\x06\
    \x66leader\xa2\x64node\x68drover-0\x6bincarnation\x18\x4d\
    \x67members\x81\xa2\x64node\x68drover-0\x6bincarnation\x18\x4d\
    \x6blogs_starts\xf5";
/// Epoch record of a version without a start log.
const EPOCH_WITHOUT_START_LOG: &[u8] = b"\xa3\
    \x66number\x05\
    \x66leader\xa2\x64node\x68drover-1\x6bincarnation\x18\x4e\
    \x67members\x82\xa2\x64node\x68drover-1\x6bincarnation\x18\x4e\
    \xa2\x64node\x68drover-2\x6bincarnation\x18\x4f";
const RENTAL_UNANSWERED: &[u8] =
    b"\xa5\x6cmachine_type\x62m8\x64zone\x61a\x64spot\xf5\x65count\x02\x68machines\xf6";
const RENTAL_ANSWERED: &[u8] =
    b"\xa5\x6cmachine_type\x62m8\x64zone\x61a\x64spot\xf5\x65count\x02\x68machines\x82\x63n-1\x63n-2";
const CATALOGUE: &[u8] = b"\x81\xaa\
    \x63sku\x62m8\
    \x65cores\xf9\x48\x00\
    \x65cards\xf9\x3c\x00\
    \x65memGb\xf9\x50\x00\
    \x67cacheGb\xf9\x52\x00\
    \x6bfetchGbPerS\xf9\x38\x00\
    \x65price\xf9\x40\x00\
    \x68lowPrice\xf9\x34\x00\
    \x68startupS\xf9\x44\x00\
    \x65yards\x82\x61a\x61b";

fn job_spec() -> JobSpec {
    JobSpec {
        id: "wk-1".into(),
        class: "gold".into(),
        team: "red".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 9000,
        cpus: 2.0,
        gpus: 1.0,
        memory_gb: 3.0,
        image: "img".into(),
        image_gb: 4.0,
        machine_types: Some(vec!["m8".into()]),
        zone: Some("a".into()),
        single_zone: true,
        spread_zones: false,
        spot: true,
        run_time_estimate_s: 5.0,
        checkpoint_interval_s: 6.0,
        checkpoint_save_s: 7.0,
        deadline_s: Some(8.0),
    }
}

fn job_record() -> JobRecord {
    JobRecord {
        spec: job_spec(),
        at_ms: 1_700_000_000_000,
    }
}

fn leader_record(node: &str, incarnation: u64) -> LeaderRecord {
    LeaderRecord {
        node: node.into(),
        incarnation,
    }
}

fn rental_record(machines: Option<Vec<String>>) -> RentalRecord {
    RentalRecord {
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: true,
        count: 2,
        machines,
    }
}

fn machine_type() -> MachineType {
    MachineType {
        name: "m8".into(),
        cpus: 8.0,
        gpus: 1.0,
        memory_gb: 32.0,
        cache_gb: 48.0,
        fetch_gb_per_s: 0.5,
        price: 2.0,
        spot_price: 0.25,
        boot_s: 4.0,
        zones: vec!["a".into(), "b".into()],
    }
}

/// Concatenates byte strings.
fn concat(parts: &[&[u8]]) -> Vec<u8> {
    parts.concat()
}

/// Returns a replica that has applied the reply to a watch request at revision 100. `events` is the CBOR array of its events.
fn replica_after(events: &[u8]) -> Replica {
    let response = concat(&[b"\xa2\x66ledger\x18\x64\x66events", events]);
    let watched: WatchReply = decode(&response).unwrap();
    let mut replica = Replica::default();
    replica.apply(watched.revision, &watched.events);
    replica
}

/// Returns a CBOR array with one event, a put with version 9. `key` is a CBOR text and `record` any CBOR item.
fn put_event(key: &[u8], record: &[u8]) -> Vec<u8> {
    concat(&[b"\x81\xa3\x63put", key, b"\x61v", record, b"\x65stamp\x09"])
}

/// Returns the number of records in a replica, except for its epoch, its catalogue and final states.
fn record_count(replica: &Replica) -> usize {
    replica.live.len()
        + replica.stopping.len()
        + replica.done.len()
        + replica.start_log.len()
        + replica.rentals.len()
        + usize::from(replica.leader.is_some())
}
