//! The head-room that recent demand calls for.

use super::*;
use crate::scheduler::DenseIndex;

const WINDOW: Duration = Duration::from_mins(1);

fn zone(position: usize) -> ZoneIndex {
    ZoneIndex::from_position(position)
}

/// The demand of a second: everything, what services ask for, and what they hold in two zones.
fn sample(second: u64, total: u64, services: u64, placed: [u64; 2]) -> DemandSample {
    DemandSample {
        at: Timestamp::from_millis(second * 1000),
        total,
        services,
        placed_services: (0..2).map(|n| (zone(n), placed[n])).collect(),
    }
}

fn history(samples: Vec<DemandSample>) -> DemandHistory {
    let mut history = DemandHistory::default();
    for sample in samples {
        history.record(sample, WINDOW);
    }
    history
}

#[test]
fn the_peak_is_that_of_the_window_with_headroom() {
    let mut history = history(vec![
        sample(1, 9000, 0, [4000, 0]),
        sample(40, 2000, 0, [1000, 500]),
    ]);
    assert_eq!(history.peak(), 9900);
    assert_eq!(history.zone_peaks()[&zone(0)], 4400);
    assert_eq!(history.zone_peaks()[&zone(1)], 550);
    history.record(sample(70, 1000, 0, [0, 0]), WINDOW);
    assert_eq!(history.peak(), 2200);
    assert_eq!(history.zone_peaks()[&zone(0)], 1100);
}

#[test]
fn samples_of_a_second_are_one_with_the_largest_amounts() {
    let mut history = history(vec![sample(1, 5000, 3000, [1000, 0])]);
    let half_a_second_later = DemandSample {
        at: Timestamp::from_millis(1500),
        ..sample(1, 4000, 3500, [0, 2000])
    };
    history.record(half_a_second_later, WINDOW);
    assert_eq!(history.samples.len(), 1);
    assert_eq!(history.peak(), 5500);
    assert_eq!(history.zone_peaks()[&zone(1)], 2200);
}

#[test]
fn the_reserve_is_the_largest_rise_within_the_horizon_in_the_shares_of_the_zones() {
    let history = history(vec![
        sample(1, 0, 1000, [3000, 1000]),
        sample(10, 0, 5000, [3000, 1000]),
        // A fall calls for nothing, and what comes after it is counted from there.
        sample(20, 0, 2000, [0, 1000]),
        sample(30, 0, 8000, [0, 1000]),
    ]);
    let reserves = |seconds| history.reserves(Duration::from_secs(seconds));
    assert_eq!(reserves(10), [(zone(0), 4500), (zone(1), 1500)].into());
    // Slower rises than the horizon need no reserve: machines come up meanwhile.
    assert_eq!(reserves(5), [(zone(0), 0), (zone(1), 0)].into());
    assert_eq!(reserves(40), [(zone(0), 5250), (zone(1), 1750)].into());
}
