//! Tests of the authority of a leader over time, with explicit timestamps.

use super::*;
use crate::store::Revision;

/// Returns a leader of epoch 3 with a leader lease of 2 s and a grace period of 10 s. Its last renewal and read were sent at
/// 1000 ms, and its replica is at revision 9.
fn leading() -> Leadership {
    let mut leadership = Leadership::new(Duration::from_secs(2), Duration::from_secs(10));
    assert!(leadership.apply(LeadershipEvent::CampaignStarted));
    assert!(leadership.apply(LeadershipEvent::CampaignWon {
        term: Term {
            epoch: Epoch::new(3),
            epoch_version: Revision::new(9),
            lease_id: 1
        },
        lease_requested_at: at(1000)
    }));
    read(&mut leadership, 1000, 9);
    leadership.apply(LeadershipEvent::ReplicaAdvanced {
        revision: Revision::new(9),
    });
    leadership
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn read(leadership: &mut Leadership, requested_at: u64, revision: u64) {
    leadership.apply(LeadershipEvent::RevisionRead {
        requested_at: at(requested_at),
        revision: Revision::new(revision),
    });
}

#[test]
fn full_authority_counts_from_the_sending_of_the_renewal() {
    let mut leadership = leading();
    assert_eq!(leadership.authority(at(2800)), Authority::Full);
    assert_eq!(leadership.authority(at(2900)), Authority::Renew);
    read(&mut leadership, 2500, 9);
    leadership.apply(LeadershipEvent::LeaseRenewed {
        requested_at: at(2500),
    });
    assert_eq!(leadership.authority(at(4300)), Authority::Full);
    // A late response to an older renewal neither shortens nor extends the authority.
    leadership.apply(LeadershipEvent::LeaseRenewed {
        requested_at: at(1500),
    });
    assert_eq!(leadership.authority(at(4300)), Authority::Full);
    // A read alone does not extend the leader lease.
    read(&mut leadership, 5000, 9);
    assert_eq!(leadership.authority(at(5000)), Authority::Renew);
}

#[test]
fn a_renewal_restores_no_authority_before_the_replica_has_caught_up() {
    let mut leadership = leading();
    // The store refuses requests from 1000 ms on, while another controller confirms a cancellation at revision 12. Then a
    // renewal succeeds.
    leadership.apply(LeadershipEvent::LeaseRenewed {
        requested_at: at(9000),
    });
    assert_eq!(leadership.authority(at(9001)), Authority::Renew);
    // The next read returns revision 12. The watch has stalled: the replica stays at 9, then advances to 11 only.
    read(&mut leadership, 9010, 12);
    leadership.apply(LeadershipEvent::ReplicaAdvanced {
        revision: Revision::new(11),
    });
    assert_eq!(leadership.authority(at(9020)), Authority::Renew);
    assert!(
        leadership.has_pending_read_sent_before(at(9011))
            && !leadership.has_pending_read_sent_before(at(9010))
    );
    leadership.apply(LeadershipEvent::ReplicaAdvanced {
        revision: Revision::new(12),
    });
    assert_eq!(leadership.authority(at(9030)), Authority::Full);
    assert!(!leadership.has_pending_read_sent_before(at(u64::MAX)));
}

#[test]
fn short_refusals_in_a_row_do_not_extend_the_grace_period() {
    let mut leadership = leading();
    // Some renewals succeed, but the replica never advances.
    for millis in [4000, 7000, 10_000, 12_500] {
        leadership.apply(LeadershipEvent::LeaseRenewed {
            requested_at: at(millis),
        });
        read(&mut leadership, millis, 12);
        assert_eq!(
            leadership.authority(at(millis)),
            Authority::Renew,
            "{millis}"
        );
    }
    assert_eq!(leadership.authority(at(12_900)), Authority::None);
}

#[test]
fn a_read_counts_from_its_sending_once_its_revision_is_reached() {
    let mut leadership = leading();
    leadership.apply(LeadershipEvent::LeaseRenewed {
        requested_at: at(9000),
    });
    // Out-of-order responses: the read that was sent last returns the lower revision.
    read(&mut leadership, 8000, 20);
    read(&mut leadership, 9000, 15);
    leadership.apply(LeadershipEvent::ReplicaAdvanced {
        revision: Revision::new(15),
    });
    assert_eq!(leadership.authority(at(10_800)), Authority::Full);
    leadership.apply(LeadershipEvent::LeaseRenewed {
        requested_at: at(10_500),
    });
    // Reaching the revision of the older read neither shortens nor extends the authority.
    leadership.apply(LeadershipEvent::ReplicaAdvanced {
        revision: Revision::new(20),
    });
    assert_eq!(leadership.authority(at(10_800)), Authority::Full);
    assert_eq!(leadership.authority(at(10_900)), Authority::Renew);
    // The number of pending reads is bounded, and a later read still counts.
    for n in 0..1000 {
        read(&mut leadership, 10_500, 30 + n);
    }
    assert!(leadership.pending_reads.len() <= MAX_PENDING_READS);
    leadership.apply(LeadershipEvent::ReplicaAdvanced {
        revision: Revision::new(5000),
    });
    assert_eq!(leadership.authority(at(10_900)), Authority::Full);
}

#[test]
fn the_grace_period_of_an_outage_ends() {
    let mut leadership = leading();
    assert_eq!(leadership.authority(at(12_000)), Authority::Renew);
    assert_eq!(leadership.authority(at(12_900)), Authority::None);
    assert!(leadership.apply(LeadershipEvent::TermEnded));
    assert_eq!(leadership.authority(at(1100)), Authority::None);
    assert!(!leadership.apply(LeadershipEvent::LeaseRenewed {
        requested_at: at(5000)
    }));
}

#[test]
fn a_follower_cannot_win_without_campaigning() {
    let mut leadership = Leadership::new(Duration::from_secs(2), Duration::ZERO);
    assert!(!leadership.apply(LeadershipEvent::CampaignWon {
        term: Term {
            epoch: Epoch::new(1),
            epoch_version: Revision::new(1),
            lease_id: 1
        },
        lease_requested_at: at(1)
    }));
    assert_eq!(*leadership.role(), Role::Follower);
}

#[test]
fn authority_ends_at_the_predicted_time() {
    let mut leadership = leading();
    assert_eq!(leadership.authority_ends(at(1500)), at(2848));
    assert_eq!(
        leadership.authority(
            leadership
                .authority_ends(at(1500))
                .saturating_sub(Duration::from_millis(1))
        ),
        Authority::Full
    );
    assert_eq!(
        leadership.authority(leadership.authority_ends(at(1500))),
        Authority::Renew
    );
    assert_eq!(leadership.authority_ends(at(3000)), at(12_848));
    assert_eq!(
        leadership.authority(leadership.authority_ends(at(3000))),
        Authority::None
    );
    assert_eq!(leadership.authority_ends(at(20_000)), at(20_000));
    leadership.apply(LeadershipEvent::TermEnded);
    assert_eq!(leadership.authority_ends(at(1500)), at(1500));
}
