//! Tests of the transactions against a fake state service: late and repeated ones change nothing.

use crate::protocol::{Change, Event, Txn};
use crate::store::*;
use ciborium::Value;
use std::collections::HashMap;

/// Fake state service that runs transactions. It stores only the versions of keys.
#[derive(Default)]
struct FakeStateService {
    keys: HashMap<String, Revision>,
    revision: Revision,
}

impl FakeStateService {
    /// Runs a transaction and reports whether it was applied.
    fn run(&mut self, txn: &Txn) -> bool {
        if txn
            .guards
            .iter()
            .any(|guard| self.keys.get(&guard.key).copied().unwrap_or_default() != guard.version)
        {
            return false;
        }
        self.revision = self.revision.next();
        for change in &txn.apply {
            match change {
                Change::Put { put, .. } => self.keys.insert(put.clone(), self.revision),
                Change::Delete { key } => self.keys.remove(key),
            };
        }
        true
    }
    fn has(&self, key: &str) -> bool {
        self.keys.contains_key(key)
    }
}

#[test]
fn late_and_repeated_transactions_change_nothing() {
    let record = JobRecord {
        spec: crate::scheduler::tests::spec("wk-1", 1),
        at_ms: 5,
    };
    let mut service = FakeStateService::default();
    assert!(service.run(&Txn {
        guards: vec![],
        apply: vec![put(epoch_key(), &1, None)]
    }));
    let epoch = guard(epoch_key(), Revision::new(1));
    let submit = submit_txn("wk-1", &record);
    assert!(service.run(&submit) && !service.run(&submit));
    let live = Versioned {
        record,
        version: service.revision,
    };
    let complete = complete_txn(&epoch, "wk-1", live.version, 1);
    let cancel = cancel_txn("wk-1", &live);
    assert!(service.run(&cancel));
    // A late completion by the leader must not make a cancelled job done, and a retried submission must not add it again.
    assert!(!service.run(&complete) && !service.run(&cancel) && !service.run(&submit));
    assert!(
        service.has(&final_key("wk-1"))
            && service.has(&stopping_key("wk-1"))
            && !service.has(&live_key("wk-1"))
    );
}

#[test]
fn starts_of_a_job_cannot_be_logged_after_its_cancellation_is_durable() {
    let record = JobRecord {
        spec: crate::scheduler::tests::spec("wk-1", 1),
        at_ms: 5,
    };
    let mut service = FakeStateService::default();
    service.run(&Txn {
        guards: vec![],
        apply: vec![put(epoch_key(), &1, None)],
    });
    service.run(&submit_txn("wk-1", &record));
    let live = Versioned {
        record,
        version: service.revision,
    };
    let (mut scheduler, _) = crate::scheduler::tests::scheduler_with_unlogged_start(live.version);
    let append = scheduler.next_log_write(8000, 60).unwrap();
    let txn = start_log_txn(
        &guard(epoch_key(), Revision::new(1)),
        append.start_log_write(),
    );
    assert!(service.run(&cancel_txn("wk-1", &live)));
    assert!(!service.run(&txn) && !service.has(&start_log_key(0)));
    assert_eq!(parse_live_key(&live_key("wk-1")), Some("wk-1"));
    assert_eq!(parse_live_key(&final_key("wk-1")), None);
}

#[test]
fn writes_of_a_leader_of_an_earlier_epoch_fail() {
    let record = JobRecord {
        spec: crate::scheduler::tests::spec("wk-2", 1),
        at_ms: 5,
    };
    let mut service = FakeStateService::default();
    service.run(&Txn {
        guards: vec![],
        apply: vec![put(epoch_key(), &1, None)],
    });
    let old_epoch = guard(epoch_key(), service.revision);
    service.run(&submit_txn("wk-2", &record));
    let version = service.revision;
    service.run(&Txn {
        guards: vec![old_epoch.clone()],
        apply: vec![put(epoch_key(), &2, None)],
    });
    let rental = RentalRecord {
        machine_type: "x".into(),
        zone: "z".into(),
        spot: true,
        count: 2,
        machines: None,
    };
    assert!(!service.run(&complete_txn(&old_epoch, "wk-2", version, 1)));
    assert!(!service.run(&rental_txn(&old_epoch, "a-1-1", Revision::ZERO, &rental)));
    // The current leader stores its request before the call to the cloud, and only once, since names are never reused.
    let epoch = guard(epoch_key(), service.revision);
    assert!(
        service.run(&rental_txn(&epoch, "a-1-1", Revision::ZERO, &rental))
            && !service.run(&rental_txn(&epoch, "a-1-1", Revision::ZERO, &rental))
    );
    // An unanswered request stays stored, to be repeated under the same name. It is deleted if no machines were rented.
    let version = service.revision;
    let answered = RentalRecord {
        machines: Some(Vec::new()),
        ..rental
    };
    assert!(
        service.run(&rental_txn(&epoch, "a-1-1", version, &answered))
            && !service.has(&rental_key("a-1-1"))
    );
}

#[test]
fn a_restarted_controller_does_not_take_itself_for_its_predecessor() {
    let process = |node: &str, incarnation| LeaderRecord {
        node: node.into(),
        incarnation,
    };
    let current = process("a", 2);
    assert!(process("a", 1).is_previous_incarnation_of(&current));
    assert!(
        !current.is_previous_incarnation_of(&current)
            && !process("b", 1).is_previous_incarnation_of(&current)
    );
    // Once its own claim is applied, a late claim of its predecessor and a repetition of its own fail.
    let mut service = FakeStateService::default();
    let mut replica = Replica::default();
    let (old_claim, record) = claim_txn(&replica, &process("a", 1), 1).unwrap();
    assert!(service.run(&old_claim));
    let claim_events = |record: &EpochRecord, version| {
        let leader = Value::serialized(&record.leader).unwrap();
        let epoch = Value::serialized(record).unwrap();
        vec![
            Event::Put {
                put: leader_key(),
                value: leader,
                version,
            },
            Event::Put {
                put: epoch_key(),
                value: epoch,
                version,
            },
        ]
    };
    replica.apply(service.revision, &claim_events(&record, service.revision));
    let (own_claim, record) = claim_txn(&replica, &current, 2).unwrap();
    assert!(service.run(&own_claim) && !service.run(&old_claim) && !service.run(&own_claim));
    // Another controller must not claim leadership, although its replica contains the versions that the guards need.
    replica.apply(service.revision, &claim_events(&record, service.revision));
    assert!(claim_txn(&replica, &process("b", 1), 3).is_none());
}
