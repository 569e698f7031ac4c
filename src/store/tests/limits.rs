//! Tests of the limits that writes keep to.

use crate::config::{NextStateLimits, StateLimits};
use crate::store::{TxnSize, WriteLimits};

fn settings(next: Option<NextStateLimits>) -> StateLimits {
    StateLimits {
        rps: 200.0,
        write_rps: 40.0,
        value_kb: 32.0,
        txn_ops: 64,
        next,
    }
}

/// Returns the size of a transaction of one change with a value.
fn value(bytes: usize) -> TxnSize {
    TxnSize {
        changes: 1,
        guards: 2,
        largest_value: bytes,
        total: bytes + 100,
    }
}

#[test]
fn the_lower_of_the_present_and_the_announced_limits_count() {
    let limits = WriteLimits::new(&settings(None));
    assert_eq!(
        (limits.value_bytes(), limits.changes(), limits.guards()),
        (32 << 10, 64, 256)
    );
    let next = NextStateLimits {
        rps: Some(300.0),
        write_rps: Some(28.0),
        value_kb: Some(2.0),
        txn_ops: Some(5),
    };
    let limits = WriteLimits::new(&settings(Some(next)));
    assert_eq!(
        (limits.value_bytes(), limits.changes(), limits.guards()),
        (2048, 5, 20)
    );
    assert_eq!(
        (limits.requests_per_s(), limits.changes_per_s()),
        (200.0, 28.0)
    );
    assert_eq!(limits.largest_value_bytes(), 32 << 10);
    // A limit that is not announced stays.
    let only_values = NextStateLimits {
        value_kb: Some(2.0),
        ..NextStateLimits::default()
    };
    let limits = WriteLimits::new(&settings(Some(only_values)));
    assert_eq!((limits.value_bytes(), limits.changes()), (2048, 64));
}

/// Plays a service with unannounced limits to which batches and slots as large as the known limits allow are written in turns,
/// and returns the limits that are known in the end and the number of refusals.
fn learn(value_bytes: usize, changes: usize) -> (WriteLimits, usize) {
    let mut limits = WriteLimits::new(&settings(None));
    let mut refusals = 0;
    loop {
        let batch = TxnSize {
            changes: limits.changes(),
            guards: limits.guards(),
            largest_value: 100,
            total: 10_000,
        };
        let slot = TxnSize {
            guards: limits.guards().min(100),
            ..value(limits.value_bytes())
        };
        let is_refused = |size: &TxnSize| {
            size.largest_value > value_bytes || size.changes.max(size.guards.div_ceil(4)) > changes
        };
        let refused: Vec<TxnSize> = [batch, slot].into_iter().filter(is_refused).collect();
        if refused.is_empty() {
            return (limits, refusals);
        }
        for size in refused {
            refusals += 1;
            limits.record_refusal(&size);
        }
        assert!(refusals < 100, "{limits:?}");
    }
}

/// The lowered limits are not announced in every deployment. They have to be found within a few refusals, and the wrong limit must
/// not stay lowered.
#[test]
fn unannounced_limits_are_learned_from_refusals() {
    let (limits, refusals) = learn(2048, 64);
    assert_eq!((limits.value_bytes(), limits.changes()), (2048, 64));
    assert!(refusals <= 30, "{refusals}");
    let (limits, refusals) = learn(32 << 10, 5);
    assert_eq!((limits.value_bytes(), limits.changes()), (32 << 10, 3));
    assert!(refusals <= 10, "{refusals}");
    let (limits, refusals) = learn(2048, 5);
    assert_eq!((limits.value_bytes(), limits.changes()), (2048, 3));
    assert!(refusals <= 40, "{refusals}");
}

#[test]
fn a_refusal_that_the_known_limits_explain_lowers_nothing() {
    let mut limits = WriteLimits::new(&settings(None));
    let known = limits.clone();
    assert!(!limits.record_refusal(&value(33 << 10)));
    let too_many = TxnSize {
        changes: 65,
        ..value(10)
    };
    assert!(!limits.record_refusal(&too_many));
    assert_eq!(limits, known);
}

/// If small transactions are refused, the size is not the reason. Without a bound, the limits would fall until nothing could be
/// written any more.
#[test]
fn the_limits_are_not_lowered_without_a_bound() {
    let mut limits = WriteLimits::new(&settings(None));
    while limits.record_refusal(&value(limits.value_bytes())) {}
    assert_eq!(limits.value_bytes(), 512);
    assert!(!limits.record_refusal(&value(10)));
    assert!(limits.accept(&value(512)));
}

/// A batch of more changes than the service admits in a second was once tried again without end.
#[test]
fn batches_shrink_until_the_rate_admits_them_and_grow_again() {
    let mut limits = WriteLimits::new(&settings(None));
    for expected in [32, 16, 8, 4, 2, 1, 1] {
        limits.record_throttled(limits.batch_changes());
        assert_eq!(limits.batch_changes(), expected);
    }
    assert_eq!(limits.changes(), 64);
    (0..100).for_each(|_| limits.record_admitted());
    assert_eq!(limits.batch_changes(), 64);
}
