//! Measured boot times.

use super::*;
use crate::scheduler::{DenseIndex, MachineTypeIndex, ZoneIndex};

fn offer() -> Offer {
    Offer {
        machine_type: MachineTypeIndex::from_position(0),
        zone: ZoneIndex::from_position(0),
        spot: false,
    }
}

const NOMINAL: f64 = 40_000.0;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn nothing_measured_means_twice_the_nominal_time_and_half_as_much_again() {
    let boots = BootTimes::default();
    assert_eq!(boots.expected_ms(offer(), NOMINAL), 80_000);
    assert_eq!(boots.timeout(offer(), NOMINAL), ms(120_000));
}

#[test]
fn the_fast_ones_of_a_group_do_not_make_the_others_look_late() {
    let mut boots = BootTimes::default();
    // Evenly from 0.6 to 1.5 of the nominal time, as they come up.
    for n in 0..50u64 {
        let took = 24_000 + 36_000 * n / 49;
        assert!(took < boots.expected_ms(offer(), NOMINAL), "{n}");
        boots.record_boot(offer(), NOMINAL, at(1000), ms(took));
    }
}

#[test]
fn many_that_come_up_close_together_do_not_make_ordinary_ones_look_late() {
    let mut boots = BootTimes::default();
    (0..40u64).for_each(|n| boots.record_boot(offer(), NOMINAL, at(1000), ms(24_000 + 100 * n)));
    // The rest of the same request takes a little more than the nominal time.
    assert!(
        boots.expected_ms(offer(), NOMINAL) > 45_000,
        "{}",
        boots.expected_ms(offer(), NOMINAL)
    );
}

#[test]
fn quick_boots_shorten_what_counts_as_room_to_come_and_slow_ones_lengthen_it() {
    let mut boots = BootTimes::default();
    (0..300).for_each(|n| boots.record_boot(offer(), NOMINAL, at(n), ms(2000)));
    assert!(boots.expected_ms(offer(), NOMINAL) < 10_000);
    // Giving up costs what was paid, so that the nominal time stays the least there.
    assert_eq!(boots.timeout(offer(), NOMINAL), ms(120_000));
    (0..50).for_each(|n| boots.record_boot(offer(), NOMINAL, at(n), ms(150_000)));
    assert!(boots.expected_ms(offer(), NOMINAL) > 150_000);
    assert!(boots.timeout(offer(), NOMINAL) > ms(225_000));
}

#[test]
fn an_offer_is_in_doubt_only_if_nothing_rented_as_late_has_come_up() {
    let mut boots = BootTimes::default();
    boots.record_boot(offer(), NOMINAL, at(5000), ms(40_000));
    // One of the same request, or of an earlier one.
    assert!(!boots.record_timeout(offer(), NOMINAL, at(5000), at(125_000)));
    assert_eq!(boots.timeout(offer(), NOMINAL).as_secs(), 120);
    assert!(boots.record_timeout(offer(), NOMINAL, at(6000), at(126_000)));
    assert_eq!(boots.timeout(offer(), NOMINAL).as_secs(), 240);
    // PeerHealth of that request tell nothing new.
    assert!(boots.record_timeout(offer(), NOMINAL, at(6000), at(127_000)));
    assert_eq!(boots.timeout(offer(), NOMINAL).as_secs(), 240);
    (0..9).for_each(|n| {
        assert!(boots.record_timeout(
            offer(),
            NOMINAL,
            at(200_000 * (n + 1)),
            at(200_000 * (n + 2))
        ));
    });
    assert_eq!(boots.timeout(offer(), NOMINAL).as_secs(), 480);
    // They were late, not dead: measured at last.
    boots.record_boot(offer(), NOMINAL, at(1_900_000), ms(300_000));
    assert!(boots.timeout(offer(), NOMINAL) < ms(400_000));
}
