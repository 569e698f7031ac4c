//! Keys and records in the state service, as literal text and CBOR: a new version reads what an older one left there, and the
//! other way round when an upgrade is taken back.

mod load;
mod read;
mod start_log;
mod unreadable;
mod written;

use hollowswitch::protocol::{decode, JobKind, JobSpec, MachineType, Priority, WatchReply};
use hollowswitch::store::{LeaderRecord, LiveRecord, RentalRecord, Replica};

/// `JobSpec` of `job_spec`.
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
/// Around `SPEC`: a record of `live/` and `stopping/`, submitted at 1,700,000,000,000 ms.
const LIVE_BEGIN: &[u8] = b"\xa2\x64spec";
const LIVE_END: &[u8] = b"\x65at_ms\x1b\x00\x00\x01\x8b\xcf\xe5\x68\x00";
const OVER_CANCELLED: &[u8] = b"\xa2\x69cancelled\xf5\x65tasks\x19\x23\x28";
const OVER_DONE: &[u8] = b"\xa2\x69cancelled\xf4\x65tasks\x19\x23\x28";
const LEADER: &[u8] = b"\xa2\x64node\x68drover-0\x6bincarnation\x18\x4d";
const EPOCH: &[u8] = b"\xa4\
    \x66number\x06\
    \x66leader\xa2\x64node\x68drover-0\x6bincarnation\x18\x4d\
    \x67members\x81\xa2\x64node\x68drover-0\x6bincarnation\x18\x4d\
    \x6blogs_starts\xf5";
/// What versions before the start log wrote.
const EPOCH_BEFORE_THE_START_LOG: &[u8] = b"\xa3\
    \x66number\x05\
    \x66leader\xa2\x64node\x68drover-1\x6bincarnation\x18\x4e\
    \x67members\x82\xa2\x64node\x68drover-1\x6bincarnation\x18\x4e\
    \xa2\x64node\x68drover-2\x6bincarnation\x18\x4f";
const RENTAL_OPEN: &[u8] =
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

fn live_record() -> LiveRecord {
    LiveRecord {
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

/// The bytes of all parts in their order.
fn bytes(parts: &[&[u8]]) -> Vec<u8> {
    parts.concat()
}

/// A replica that has read the answer of a watch, as it came over the wire.
fn replica_after(events: &[u8]) -> Replica {
    let answer = bytes(&[b"\xa2\x66ledger\x18\x64\x66events", events]);
    let watched: WatchReply = decode(&answer).unwrap();
    let mut replica = Replica::default();
    replica.apply(watched.revision, &watched.events);
    replica
}

/// One event: `key` is a CBOR text, `record` any CBOR item. Its version is 9.
fn put_event(key: &[u8], record: &[u8]) -> Vec<u8> {
    bytes(&[b"\x81\xa3\x63put", key, b"\x61v", record, b"\x65stamp\x09"])
}

fn entries(replica: &Replica) -> usize {
    replica.live.len()
        + replica.stopping.len()
        + replica.done.len()
        + replica.starts.len()
        + replica.rentals.len()
        + usize::from(replica.leader.is_some())
}
