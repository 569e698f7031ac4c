//! Tests of the replica: outdated changes, deletions, final states, absent jobs and rentals.

use super::live;
use crate::protocol::Event;
use crate::store::recent_map::MAX_RECENT_ENTRIES;
use crate::store::*;
use ciborium::Value;

/// Returns the event of the deletion of a key at a revision.
fn removed(key: String, version: u64) -> Event {
    Event::Delete {
        key,
        version: Revision::new(version),
    }
}

#[test]
fn an_outdated_deletion_does_not_remove_a_newer_record() {
    let mut replica = Replica::default();
    assert_eq!(
        replica.apply(Revision::new(4), &[live("wk-1", 4)]),
        vec![ReplicaChange::JobAdded { job: "wk-1".into() }]
    );
    // A deletion older than the known version deleted an earlier record of the key.
    assert!(replica
        .apply(Revision::new(4), &[removed(live_key("wk-1"), 3)])
        .is_empty());
    let changes = replica.apply(Revision::new(6), &[removed(live_key("wk-1"), 6)]);
    assert_eq!(
        changes,
        vec![ReplicaChange::JobRemoved { job: "wk-1".into() }]
    );
    assert_eq!(replica.revision, Revision::new(6));
}

#[test]
fn replacing_the_replica_returns_missed_changes_and_keeps_final_states() {
    let mut replica = Replica::default();
    replica.apply(Revision::new(4), &[live("wk-1", 3), live("wk-2", 4)]);
    replica.remember_final(
        "wk-9",
        FinalRecord {
            cancelled: true,
            tasks: 1,
        },
    );
    let mut fresh = Replica::default();
    fresh.apply(Revision::new(9), &[live("wk-2", 4), live("wk-3", 8)]);
    let mut changes = replica.replace(fresh);
    changes.sort_by_key(|change| format!("{change:?}"));
    assert_eq!(
        changes,
        vec![
            ReplicaChange::CatalogueChanged,
            ReplicaChange::JobAdded { job: "wk-3".into() },
            ReplicaChange::JobRemoved { job: "wk-1".into() }
        ]
    );
    assert!(replica.final_state("wk-9").unwrap().cancelled);
}

#[test]
fn a_job_counts_as_absent_until_the_watch_adds_it_or_the_replica_is_replaced() {
    let mut replica = Replica::default();
    replica.remember_absent("wk-1", 0);
    replica.remember_absent("wk-2", 0);
    replica.remember_absent("wk-3", 0);
    assert!(replica.is_absent("wk-1") && replica.is_absent("wk-2") && !replica.is_absent("wk-9"));
    replica.apply(Revision::new(4), &[live("wk-1", 4)]);
    assert!(!replica.is_absent("wk-1"));
    // The result of the read, that the job is absent, arrives after the watch has added the job.
    replica.remember_absent("wk-1", 0);
    assert!(!replica.is_absent("wk-1"));
    replica.apply(Revision::new(6), &[removed(live_key("wk-1"), 6)]);
    assert!(!replica.is_absent("wk-1"));
    replica.remember_final(
        "wk-2",
        FinalRecord {
            cancelled: true,
            tasks: 1,
        },
    );
    replica.remember_absent("wk-2", 0);
    assert!(!replica.is_absent("wk-2") && replica.is_absent("wk-3"));
    replica.replace(Replica::default());
    assert!(!replica.is_absent("wk-3"));
    // The store was read before the replica was replaced. The job may have been submitted and ended in between.
    replica.remember_absent("wk-3", 0);
    assert!(!replica.is_absent("wk-3"));
    let generation = replica.generation;
    // Polls for arbitrary job ids take bounded memory.
    (0..50_000).for_each(|n| replica.remember_absent(&format!("wk-{n}"), generation));
    assert!(
        replica.absent.entries.len() <= MAX_RECENT_ENTRIES
            && replica.absent.insertion_order.len() <= MAX_RECENT_ENTRIES
    );
    assert!(replica.is_absent("wk-49999") && !replica.is_absent("wk-9"));
}

#[test]
fn a_lagging_watch_does_not_reopen_an_answered_rental_request() {
    let open = RentalRecord {
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        count: 2,
        machines: None,
    };
    let answered = RentalRecord {
        machines: Some(vec!["n-1".into()]),
        ..open.clone()
    };
    let event = |record: &RentalRecord, version| {
        let value = Value::serialized(record).unwrap();
        Event::Put {
            put: rental_key("r-1"),
            value,
            version: Revision::new(version),
        }
    };
    let mut replica = Replica::default();
    replica.apply(Revision::new(4), &[event(&open, 4)]);
    replica.put_rental("r-1", answered.clone(), Revision::new(6));
    // The watch lags and delivers an older version. If that took effect, the request would be sent to the cloud again.
    replica.apply(Revision::new(5), &[event(&open, 4)]);
    assert_eq!(replica.rentals["r-1"].record, answered);
    replica.apply(Revision::new(6), &[event(&answered, 6)]);
    assert_eq!(replica.rentals["r-1"].version, Revision::new(6));
    replica.apply(Revision::new(7), &[removed(rental_key("r-1"), 7)]);
    assert!(replica.rentals.is_empty());
    // If no machines were rented, the transaction that records the outcome deletes the key. The deletion has the revision of
    // that transaction.
    replica.put_rental(
        "r-2",
        RentalRecord {
            machines: Some(Vec::new()),
            ..open.clone()
        },
        Revision::new(9),
    );
    let put = Event::Put {
        put: rental_key("r-2"),
        value: Value::serialized(&open).unwrap(),
        version: Revision::new(8),
    };
    replica.apply(Revision::new(8), &[put]);
    assert!(replica.rentals["r-2"].record.machines.is_some());
    replica.apply(Revision::new(9), &[removed(rental_key("r-2"), 9)]);
    assert!(replica.rentals.is_empty());
}
