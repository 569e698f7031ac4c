//! Keys, transactions and the mirror.

use super::mirror::RECENT_LIMIT;
use super::records::text_to_bits;
use super::*;
use crate::protocol::{Change, Event, Txn};
use ciborium::Value;
use std::collections::HashMap;

fn live(id: &str, version: u64) -> Event {
    let record = LiveRecord {
        spec: crate::scheduler::tests::spec(id, 1),
        at_ms: 5,
    };
    Event::Put {
        put: live_key(id),
        value: Value::serialized(&record).unwrap(),
        version: Revision::new(version),
    }
}

#[test]
fn a_late_page_never_undoes_a_newer_change() {
    let mut m = Mirror::default();
    assert_eq!(
        m.apply(Revision::new(4), &[live("wk-1", 4)]),
        vec![MirrorChange::Job("wk-1".into())]
    );
    // A delete older than the version at hand belongs to an earlier life of the key.
    assert!(m
        .apply(
            Revision::new(4),
            &[Event::Delete {
                key: live_key("wk-1"),
                version: Revision::new(3)
            }]
        )
        .is_empty());
    let gone = m.apply(
        Revision::new(6),
        &[Event::Delete {
            key: live_key("wk-1"),
            version: Revision::new(6),
        }],
    );
    assert_eq!(gone, vec![MirrorChange::JobGone("wk-1".into())]);
    assert_eq!(m.revision, Revision::new(6));
}

#[test]
fn a_reload_tells_what_was_missed_and_keeps_final_states() {
    let mut m = Mirror::default();
    m.apply(Revision::new(4), &[live("wk-1", 3), live("wk-2", 4)]);
    m.remember_over(
        "wk-9",
        OverRecord {
            cancelled: true,
            tasks: 1,
        },
    );
    let mut fresh = Mirror::default();
    fresh.apply(Revision::new(9), &[live("wk-2", 4), live("wk-3", 8)]);
    let mut seen = m.replace(fresh);
    seen.sort_by_key(|s| format!("{s:?}"));
    assert_eq!(
        seen,
        vec![
            MirrorChange::Catalogue,
            MirrorChange::Job("wk-3".into()),
            MirrorChange::JobGone("wk-1".into())
        ]
    );
    assert!(m.over("wk-9").unwrap().cancelled);
}

#[test]
fn a_job_that_was_absent_is_so_until_the_watch_brings_it_or_everything_is_read_anew() {
    let mut m = Mirror::default();
    m.remember_absent("wk-1", 0);
    m.remember_absent("wk-2", 0);
    m.remember_absent("wk-3", 0);
    assert!(m.absent("wk-1") && m.absent("wk-2") && !m.absent("wk-9"));
    m.apply(Revision::new(4), &[live("wk-1", 4)]);
    assert!(!m.absent("wk-1"));
    // An answer that was overtaken by the watch.
    m.remember_absent("wk-1", 0);
    assert!(!m.absent("wk-1"));
    m.apply(
        Revision::new(6),
        &[Event::Delete {
            key: live_key("wk-1"),
            version: Revision::new(6),
        }],
    );
    assert!(!m.absent("wk-1"));
    m.remember_over(
        "wk-2",
        OverRecord {
            cancelled: true,
            tasks: 1,
        },
    );
    m.remember_absent("wk-2", 0);
    assert!(!m.absent("wk-2") && m.absent("wk-3"));
    m.replace(Mirror::default());
    assert!(!m.absent("wk-3"));
    // Asked before everything was read anew: it may have come and gone in between.
    m.remember_absent("wk-3", 0);
    assert!(!m.absent("wk-3"));
    let now = m.generation;
    // Users who ask for anything cost bounded memory.
    (0..50_000).for_each(|n| m.remember_absent(&format!("wk-{n}"), now));
    assert!(m.absent.entries.len() <= RECENT_LIMIT && m.absent.order.len() <= RECENT_LIMIT);
    assert!(m.absent("wk-49999") && !m.absent("wk-9"));
}

#[test]
fn a_request_whose_answer_this_node_has_written_is_no_longer_open() {
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
    let mut m = Mirror::default();
    m.apply(Revision::new(4), &[event(&open, 4)]);
    m.put_rental("r-1", answered.clone(), Revision::new(6));
    // The watch is behind: what it brings now is older. Without this, each request was called a second time.
    m.apply(Revision::new(5), &[event(&open, 4)]);
    assert_eq!(m.rentals["r-1"].record, answered);
    m.apply(Revision::new(6), &[event(&answered, 6)]);
    assert_eq!(m.rentals["r-1"].version, Revision::new(6));
    m.apply(
        Revision::new(7),
        &[Event::Delete {
            key: rental_key("r-1"),
            version: Revision::new(7),
        }],
    );
    assert!(m.rentals.is_empty());
    // A request that brought nothing: the write of its answer deletes it, and so does the watch here.
    m.put_rental(
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
    m.apply(Revision::new(8), &[put]);
    assert!(m.rentals["r-2"].record.machines.is_some());
    m.apply(
        Revision::new(9),
        &[Event::Delete {
            key: rental_key("r-2"),
            version: Revision::new(9),
        }],
    );
    assert!(m.rentals.is_empty());
}

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
    fn has(&self, key: String) -> bool {
        self.keys.contains_key(&key)
    }
}

#[test]
fn late_and_repeated_transactions_do_nothing() {
    let record = LiveRecord {
        spec: crate::scheduler::tests::spec("wk-1", 1),
        at_ms: 5,
    };
    let mut s = Service::default();
    assert!(s.run(&Txn {
        guards: vec![],
        apply: vec![put(epoch_key(), &1, None)]
    }));
    let epoch = guard(epoch_key(), Revision::new(1));
    let submit = submit_txn("wk-1", &record);
    assert!(s.run(&submit) && !s.run(&submit));
    let live = Versioned {
        record,
        version: s.revision,
    };
    let complete = complete_txn(&epoch, "wk-1", live.version, 1);
    let abort = abort_txn("wk-1", &live);
    assert!(s.run(&abort));
    // A leader's late completion must not turn a cancelled job into a done one, nor a retry submit it again.
    assert!(!s.run(&complete) && !s.run(&abort) && !s.run(&submit));
    assert!(s.has(over_key("wk-1")) && s.has(stopping_key("wk-1")) && !s.has(live_key("wk-1")));
}

#[test]
fn the_start_log_takes_no_start_of_a_job_whose_cancellation_is_durable() {
    let record = LiveRecord {
        spec: crate::scheduler::tests::spec("wk-1", 1),
        at_ms: 5,
    };
    let mut s = Service::default();
    s.run(&Txn {
        guards: vec![],
        apply: vec![put(epoch_key(), &1, None)],
    });
    s.run(&submit_txn("wk-1", &record));
    let live = Versioned {
        record,
        version: s.revision,
    };
    let (mut w, _) = crate::scheduler::tests::with_a_start_to_log(live.version);
    let txn = log_txn(
        &guard(epoch_key(), Revision::new(1)),
        &w.next_log_write(8000, 60).unwrap(),
    );
    assert!(s.run(&abort_txn("wk-1", &live)));
    assert!(!s.run(&txn) && !s.has(starts_key(0)));
    assert_eq!(live_job(&live_key("wk-1")), Some("wk-1"));
    assert_eq!(live_job(&over_key("wk-1")), None);
}

#[test]
fn a_leader_of_an_earlier_epoch_writes_nothing() {
    let record = LiveRecord {
        spec: crate::scheduler::tests::spec("wk-2", 1),
        at_ms: 5,
    };
    let mut s = Service::default();
    s.run(&Txn {
        guards: vec![],
        apply: vec![put(epoch_key(), &1, None)],
    });
    let old = guard(epoch_key(), s.revision);
    s.run(&submit_txn("wk-2", &record));
    let version = s.revision;
    s.run(&Txn {
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
    assert!(!s.run(&complete_txn(&old, "wk-2", version, 1)));
    assert!(!s.run(&rental_txn(&old, "a-1-1", Revision::ZERO, &rental)));
    // The current leader's request is stored before the call, and once only: names are unique for ever.
    let now = guard(epoch_key(), s.revision);
    assert!(
        s.run(&rental_txn(&now, "a-1-1", Revision::ZERO, &rental))
            && !s.run(&rental_txn(&now, "a-1-1", Revision::ZERO, &rental))
    );
    // Without an answer it stays open, to be repeated under the same name; an answer closes it.
    let version = s.revision;
    let answered = RentalRecord {
        machines: Some(Vec::new()),
        ..rental
    };
    assert!(s.run(&rental_txn(&now, "a-1-1", version, &answered)) && !s.has(rental_key("a-1-1")));
}

#[test]
fn a_process_that_is_back_at_once_is_not_its_predecessor() {
    let of = |node: &str, incarnation| LeaderRecord {
        node: node.into(),
        incarnation,
    };
    let me = of("a", 2);
    assert!(of("a", 1).ended_before(&me));
    assert!(!me.ended_before(&me) && !of("b", 1).ended_before(&me));
    // Its claim: the predecessor's late one and a repeated one of its own fail.
    let mut s = Service::default();
    let mut mirror = Mirror::default();
    let (old, record) = claim_txn(&mirror, &of("a", 1), 1).unwrap();
    assert!(s.run(&old));
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
    mirror.apply(s.revision, &watched(&record, s.revision));
    let (mine, record) = claim_txn(&mirror, &me, 2).unwrap();
    assert!(s.run(&mine) && !s.run(&old) && !s.run(&mine));
    // Nobody else takes the leadership from it, though the mirror shows which versions to name.
    mirror.apply(s.revision, &watched(&record, s.revision));
    assert!(claim_txn(&mirror, &of("b", 1), 3).is_none());
}

#[test]
fn bits_survive_as_text() {
    let bits = vec![0, 255, 16, 7];
    assert_eq!(text_to_bits(&bits_to_text(&bits)).unwrap(), bits);
    assert!(text_to_bits("zz").is_none());
}

/// A watch has no size limit. One that brings more than the process is ready to hold is told apart from one that brings
/// nothing, so that the keys are read page by page instead.
#[test]
fn an_answer_that_is_too_large_is_not_waited_for_again() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let error = actix::System::new().block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        actix::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 1024]).await;
            let _ = stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n")
                .await;
            std::future::pending::<()>().await;
        });
        StoreClient::new(crate::clients::http::http_client(1), address)
            .watch(Revision::new(1), 0)
            .await
            .unwrap_err()
    });
    assert_eq!(error, StoreError::TooLarge);
}
