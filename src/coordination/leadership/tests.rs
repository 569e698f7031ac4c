//! Rights under a fake clock.

use super::*;

/// Leads epoch 3 with a leader lease of 2 s and a grace period of 10 s; renewed and read at 1000, the mirror at revision 9.
fn leading() -> Leadership {
    let mut l = Leadership::new(2000, 10_000);
    assert!(l.apply(Event::Campaign));
    assert!(l.apply(Event::Won {
        term: Term {
            epoch: 3,
            version: 9,
            lease: 1
        },
        sent: 1000
    }));
    read(&mut l, 1000, 9);
    l.apply(Event::Mirrored(9));
    l
}

fn read(l: &mut Leadership, sent: u64, revision: u64) {
    l.apply(Event::Read { sent, revision });
}

#[test]
fn the_right_to_start_counts_from_sending_the_renewal() {
    let mut l = leading();
    assert_eq!(l.authority(2800), Authority::Full);
    assert_eq!(l.authority(2900), Authority::Renew);
    read(&mut l, 2500, 9);
    l.apply(Event::Renewed(2500));
    assert_eq!(l.authority(4300), Authority::Full);
    // An answer to an older renewal must not shorten or lengthen anything.
    l.apply(Event::Renewed(1500));
    assert_eq!(l.authority(4300), Authority::Full);
    // Knowledge alone is no leader lease.
    read(&mut l, 5000, 9);
    assert_eq!(l.authority(5000), Authority::Renew);
}

#[test]
fn a_renewal_gives_no_right_back_before_the_mirror_has_caught_up() {
    let mut l = leading();
    // Refused from 1000 on, while another node confirms a cancellation at revision 12; then a renewal succeeds.
    l.apply(Event::Renewed(9000));
    assert_eq!(l.authority(9001), Authority::Renew);
    // The read that follows tells revision 12; the mirror, whose watch waits silently, is at 9, then at 11.
    read(&mut l, 9010, 12);
    l.apply(Event::Mirrored(11));
    assert_eq!(l.authority(9020), Authority::Renew);
    assert!(l.behind(9011) && !l.behind(9010));
    l.apply(Event::Mirrored(12));
    assert_eq!(l.authority(9030), Authority::Full);
    assert!(!l.behind(u64::MAX));
}

#[test]
fn short_refusals_in_a_row_do_not_stretch_the_grace_period() {
    let mut l = leading();
    // Renewals get through now and then, the mirror never moves.
    for at in [4000, 7000, 10_000, 12_500] {
        l.apply(Event::Renewed(at));
        read(&mut l, at, 12);
        assert_eq!(l.authority(at), Authority::Renew, "{at}");
    }
    assert_eq!(l.authority(12_900), Authority::None);
}

#[test]
fn a_read_counts_from_its_sending_and_from_what_it_told() {
    let mut l = leading();
    l.apply(Event::Renewed(9000));
    // Answers out of order: the one sent last told less than one sent before it.
    read(&mut l, 8000, 20);
    read(&mut l, 9000, 15);
    l.apply(Event::Mirrored(15));
    assert_eq!(l.authority(10_800), Authority::Full);
    l.apply(Event::Renewed(10_500));
    // Reaching the older one's revision takes nothing back and gives nothing.
    l.apply(Event::Mirrored(20));
    assert_eq!(l.authority(10_800), Authority::Full);
    assert_eq!(l.authority(10_900), Authority::Renew);
    // However many wait, memory is bounded, and a later one still counts.
    for n in 0..1000 {
        read(&mut l, 10_500, 30 + n);
    }
    assert!(l.reads.len() <= PENDING_READS_LIMIT);
    l.apply(Event::Mirrored(5000));
    assert_eq!(l.authority(10_900), Authority::Full);
}

#[test]
fn riding_an_outage_ends() {
    let mut l = leading();
    assert_eq!(l.authority(12_000), Authority::Renew);
    assert_eq!(l.authority(12_900), Authority::None);
    assert!(l.apply(Event::Ended));
    assert_eq!(l.authority(1100), Authority::None);
    assert!(!l.apply(Event::Renewed(5000)));
}

#[test]
fn a_follower_cannot_win_without_campaigning() {
    let mut l = Leadership::new(2000, 0);
    assert!(!l.apply(Event::Won {
        term: Term {
            epoch: 1,
            version: 1,
            lease: 1
        },
        sent: 1
    }));
    assert_eq!(*l.role(), Role::Follower);
}

#[test]
fn a_right_ends_when_its_newest_renewal_says() {
    let mut l = leading();
    assert_eq!(l.authority_ends(1500), 2848);
    assert_eq!(l.authority(l.authority_ends(1500) - 1), Authority::Full);
    assert_eq!(l.authority(l.authority_ends(1500)), Authority::Renew);
    assert_eq!(l.authority_ends(3000), 12_848);
    assert_eq!(l.authority(l.authority_ends(3000)), Authority::None);
    assert_eq!(l.authority_ends(20_000), 20_000);
    l.apply(Event::Ended);
    assert_eq!(l.authority_ends(1500), 1500);
}
