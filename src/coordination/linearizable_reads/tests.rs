//! Tests of the assignment of reads to barriers.

use super::*;

#[test]
fn a_barrier_serves_the_reads_requested_before_it_was_sent() {
    let mut pending_reads = PendingReads::default();
    assert!(pending_reads.take_batch().is_empty());
    let (mut first, mut second) = (pending_reads.register(), pending_reads.register());
    let batch = pending_reads.take_batch();
    let mut later = pending_reads.register();
    assert!(!batch.is_empty());
    batch.resolve(Revision::new(7));
    assert_eq!(
        (first.try_recv(), second.try_recv()),
        (Ok(Revision::new(7)), Ok(Revision::new(7)))
    );
    assert_eq!(later.try_recv(), Err(oneshot::error::TryRecvError::Empty));
    // A failed barrier drops its batch, which makes its reads fail.
    drop(pending_reads.take_batch());
    assert_eq!(later.try_recv(), Err(oneshot::error::TryRecvError::Closed));
}
