//! Transactions against a stand-in for the state service: late and repeated ones change nothing.

use crate::protocol::{Change, Event, Txn};
use crate::store::*;
use ciborium::Value;
use std::collections::HashMap;

/// A stand-in for the state service's transactions.
#[derive(Default)]
struct Service {
    keys: HashMap<String, Revision>,
    revision: Revision,
}

impl Service {
    fn run(&mut self, txn: &Txn) -> bool {
        if txn
            .guards
            .iter()
            .any(|g| self.keys.get(&g.key).copied().unwrap_or_default() != g.version)
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
fn late_and_repeated_transactions_do_nothing() {
    let record = LiveRecord {
        spec: crate::scheduler::tests::spec("wk-1", 1),
        at_ms: 5,
    };
    let mut service = Service::default();
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
    // A leader's late completion must not turn a cancelled job into a done one, nor a retry submit it again.
    assert!(!service.run(&complete) && !service.run(&cancel) && !service.run(&submit));
    assert!(
        service.has(&final_key("wk-1"))
            && service.has(&stopping_key("wk-1"))
            && !service.has(&live_key("wk-1"))
    );
}

#[test]
fn the_start_log_takes_no_start_of_a_job_whose_cancellation_is_durable() {
    let record = LiveRecord {
        spec: crate::scheduler::tests::spec("wk-1", 1),
        at_ms: 5,
    };
    let mut service = Service::default();
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
    let txn = log_txn(
        &guard(epoch_key(), Revision::new(1)),
        append.start_log_write(),
    );
    assert!(service.run(&cancel_txn("wk-1", &live)));
    assert!(!service.run(&txn) && !service.has(&starts_key(0)));
    assert_eq!(live_job(&live_key("wk-1")), Some("wk-1"));
    assert_eq!(live_job(&final_key("wk-1")), None);
}

#[test]
fn a_leader_of_an_earlier_epoch_writes_nothing() {
    let record = LiveRecord {
        spec: crate::scheduler::tests::spec("wk-2", 1),
        at_ms: 5,
    };
    let mut service = Service::default();
    service.run(&Txn {
        guards: vec![],
        apply: vec![put(epoch_key(), &1, None)],
    });
    let old = guard(epoch_key(), service.revision);
    service.run(&submit_txn("wk-2", &record));
    let version = service.revision;
    service.run(&Txn {
        guards: vec![old.clone()],
        apply: vec![put(epoch_key(), &2, None)],
    });
    let rental = RentalRecord {
        machine_type: "x".into(),
        zone: "z".into(),
        spot: true,
        count: 2,
        machines: None,
    };
    assert!(!service.run(&complete_txn(&old, "wk-2", version, 1)));
    assert!(!service.run(&rental_txn(&old, "a-1-1", Revision::ZERO, &rental)));
    // The current leader's request is stored before the call, and once only: names are unique for ever.
    let now = guard(epoch_key(), service.revision);
    assert!(
        service.run(&rental_txn(&now, "a-1-1", Revision::ZERO, &rental))
            && !service.run(&rental_txn(&now, "a-1-1", Revision::ZERO, &rental))
    );
    // Without an answer it stays open, to be repeated under the same name; an answer closes it.
    let version = service.revision;
    let answered = RentalRecord {
        machines: Some(Vec::new()),
        ..rental
    };
    assert!(
        service.run(&rental_txn(&now, "a-1-1", version, &answered))
            && !service.has(&rental_key("a-1-1"))
    );
}

#[test]
fn a_process_that_is_back_at_once_is_not_its_predecessor() {
    let of = |node: &str, incarnation| LeaderRecord {
        node: node.into(),
        incarnation,
    };
    let current = of("a", 2);
    assert!(of("a", 1).ended_before(&current));
    assert!(!current.ended_before(&current) && !of("b", 1).ended_before(&current));
    // Its claim: the predecessor's late one and a repeated one of its own fail.
    let mut service = Service::default();
    let mut replica = Replica::default();
    let (old_claim, record) = claim_txn(&replica, &of("a", 1), 1).unwrap();
    assert!(service.run(&old_claim));
    let watched = |record: &EpochRecord, version| {
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
    replica.apply(service.revision, &watched(&record, service.revision));
    let (own_claim, record) = claim_txn(&replica, &current, 2).unwrap();
    assert!(service.run(&own_claim) && !service.run(&old_claim) && !service.run(&own_claim));
    // Nobody else takes the leadership from it, though the replica shows which versions to name.
    replica.apply(service.revision, &watched(&record, service.revision));
    assert!(claim_txn(&replica, &of("b", 1), 3).is_none());
}
