//! Tests of batches, which are filled as far as the limits allow.

use crate::config::{NextStateLimits, StateLimits};
use crate::protocol::Change;
use crate::store::*;

/// Returns limits of this many changes and KiB per value.
fn limits(txn_ops: usize, value_kb: f64) -> WriteLimits {
    WriteLimits::new(&StateLimits {
        rps: 200.0,
        write_rps: 1000.0,
        value_kb,
        txn_ops,
        next: Some(NextStateLimits::default()),
    })
}

fn epoch() -> crate::protocol::Guard {
    guard(epoch_key(), Revision::new(3))
}

/// Adds values of this many bytes as long as they fit, and returns the size of the transaction.
fn fill(limits: &WriteLimits, max_changes: usize, value_bytes: usize) -> TxnSize {
    let mut batch = TxnBatch::new(limits, max_changes, epoch());
    let value = "x".repeat(value_bytes - 2);
    for number in 0..10_000 {
        let key = done_key("wk-1", number);
        let guards = vec![
            guard(live_key("wk-1"), Revision::new(7)),
            guard(key.clone(), Revision::ZERO),
        ];
        if !batch.try_add(guards, vec![put(key, &value, None)]) {
            break;
        }
    }
    batch
        .into_txn()
        .map_or(TxnSize::default(), |txn| TxnSize::of(&txn))
}

/// Large batches of results once exceeded the limit on whole transactions where many changes are allowed, and were repeated.
#[test]
fn a_batch_keeps_to_each_limit() {
    let many = limits(1000, 32.0);
    assert_eq!(fill(&many, 5, 1000).changes, 5);
    let by_bytes = fill(&many, 1000, 1026);
    assert!(many.accept(&by_bytes), "{by_bytes:?}");
    assert!(by_bytes.changes > 45, "{by_bytes:?}");
    let few = limits(4, 32.0);
    let by_changes = fill(&few, 1000, 100);
    assert!(few.accept(&by_changes) && by_changes.changes == 4);
    assert_eq!(fill(&limits(4, 1.0), 4, 1025).changes, 0);
    assert_eq!(fill(&limits(4, 1.0), 4, 1024).changes, 4);
}

/// Changes that have to be made together may be more than the share of the rate that a batch has: they would never fit otherwise.
#[test]
fn changes_that_belong_together_are_added_together_or_not_at_all() {
    let limits = limits(5, 32.0);
    let deletions = |count: u32| -> Vec<Change> {
        (0..count)
            .map(|number| Change::Delete {
                key: done_key("wk-1", number),
            })
            .collect()
    };
    let mut batch = TxnBatch::new(&limits, 3, epoch());
    assert!(!batch.try_add(Vec::new(), deletions(6)));
    assert!(batch.try_add(Vec::new(), deletions(5)) && batch.is_full());
    assert!(!batch.try_add(Vec::new(), deletions(1)));
    let mut batch = TxnBatch::new(&limits, 3, epoch());
    assert!(batch.try_add(Vec::new(), deletions(2)) && !batch.is_full());
    assert!(!batch.try_add(Vec::new(), deletions(2)));
    assert!(batch.try_add(Vec::new(), deletions(1)));
    assert!(TxnBatch::new(&limits, 3, epoch()).into_txn().is_none());
}
