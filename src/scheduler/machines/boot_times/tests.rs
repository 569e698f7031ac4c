//! Tests of expected boot times and boot timeouts.

use super::*;
use crate::scheduler::{DenseIndex, MachineTypeIndex, ZoneIndex};

fn offer() -> Offer {
    Offer {
        machine_type: MachineTypeIndex::from_position(0),
        zone: ZoneIndex::from_position(0),
        spot: false,
    }
}

const NOMINAL_MS: f64 = 40_000.0;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn an_unmeasured_offer_uses_multiples_of_the_nominal_boot_time() {
    let boots = BootTimes::default();
    assert_eq!(boots.expected_ms(offer(), NOMINAL_MS), 80_000);
    assert_eq!(boots.timeout(offer(), NOMINAL_MS), ms(120_000));
}

#[test]
fn fast_boots_of_a_group_do_not_make_slower_ones_late() {
    let mut boots = BootTimes::default();
    // Boot times are spread evenly from 0.6 to 1.5 times the nominal time and are recorded in this order.
    for n in 0..50u64 {
        let took = 24_000 + 36_000 * n / 49;
        assert!(took < boots.expected_ms(offer(), NOMINAL_MS), "{n}");
        boots.record_boot(offer(), NOMINAL_MS, at(1000), ms(took));
    }
}

#[test]
fn many_similar_fast_boots_do_not_make_ordinary_ones_late() {
    let mut boots = BootTimes::default();
    (0..40u64).for_each(|n| boots.record_boot(offer(), NOMINAL_MS, at(1000), ms(24_000 + 100 * n)));
    // The other machines of the same request take a little more than the nominal time.
    assert!(
        boots.expected_ms(offer(), NOMINAL_MS) > 45_000,
        "{}",
        boots.expected_ms(offer(), NOMINAL_MS)
    );
}

#[test]
fn expected_boot_time_follows_measurements_and_timeout_has_a_minimum() {
    let mut boots = BootTimes::default();
    (0..300).for_each(|n| boots.record_boot(offer(), NOMINAL_MS, at(n), ms(2000)));
    assert!(boots.expected_ms(offer(), NOMINAL_MS) < 10_000);
    // Releasing a machine wastes what was paid for it, so the timeout never falls below the one without measurements.
    assert_eq!(boots.timeout(offer(), NOMINAL_MS), ms(120_000));
    (0..50).for_each(|n| boots.record_boot(offer(), NOMINAL_MS, at(n), ms(150_000)));
    assert!(boots.expected_ms(offer(), NOMINAL_MS) > 150_000);
    assert!(boots.timeout(offer(), NOMINAL_MS) > ms(225_000));
}

#[test]
fn an_offer_is_to_be_avoided_only_if_no_machine_rented_as_recently_has_come_up() {
    let mut boots = BootTimes::default();
    boots.record_boot(offer(), NOMINAL_MS, at(5000), ms(40_000));
    // A machine of the same request as the one that came up.
    assert!(!boots.record_timeout(offer(), NOMINAL_MS, at(5000), at(125_000)));
    assert_eq!(boots.timeout(offer(), NOMINAL_MS).as_secs(), 120);
    assert!(boots.record_timeout(offer(), NOMINAL_MS, at(6000), at(126_000)));
    assert_eq!(boots.timeout(offer(), NOMINAL_MS).as_secs(), 240);
    // A second timeout of the same request provides no new information.
    assert!(boots.record_timeout(offer(), NOMINAL_MS, at(6000), at(127_000)));
    assert_eq!(boots.timeout(offer(), NOMINAL_MS).as_secs(), 240);
    (0..9).for_each(|n| {
        assert!(boots.record_timeout(
            offer(),
            NOMINAL_MS,
            at(200_000 * (n + 1)),
            at(200_000 * (n + 2))
        ));
    });
    assert_eq!(boots.timeout(offer(), NOMINAL_MS).as_secs(), 480);
    // A machine comes up after all: it was late, and its boot time is measured.
    boots.record_boot(offer(), NOMINAL_MS, at(1_900_000), ms(300_000));
    assert!(boots.timeout(offer(), NOMINAL_MS) < ms(400_000));
}
