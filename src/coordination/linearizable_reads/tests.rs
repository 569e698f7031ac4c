//! Tests of the assignment of reads to barriers.

use super::*;

#[test]
fn a_barrier_serves_the_reads_requested_before_it_was_sent() {
    let mut waiting_reads = WaitingReads::default();
    assert!(waiting_reads.take_batch().is_empty());
    let (mut first, mut second) = (waiting_reads.register(), waiting_reads.register());
    let batch = waiting_reads.take_batch();
    let mut later = waiting_reads.register();
    assert!(!batch.is_empty());
    batch.resolve(Revision::new(7));
    assert_eq!(
        (first.try_recv(), second.try_recv()),
        (Ok(Revision::new(7)), Ok(Revision::new(7)))
    );
    assert_eq!(later.try_recv(), Err(oneshot::error::TryRecvError::Empty));
    // A failed barrier drops its batch, which makes its reads fail.
    drop(waiting_reads.take_batch());
    assert_eq!(later.try_recv(), Err(oneshot::error::TryRecvError::Closed));
}
