//! Tests of the headroom derived from recent demand.

use super::*;
use crate::scheduler::DenseIndex;

const WINDOW: Duration = Duration::from_mins(1);

fn zone(position: usize) -> ZoneIndex {
    ZoneIndex::from_position(position)
}

/// Returns the demand at a second: in total, as requested by services, and as placed for services in two zones.
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
fn peaks_are_the_maxima_of_the_window_with_headroom() {
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
fn samples_within_a_second_are_merged_to_their_maxima() {
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
fn reserves_divide_the_largest_rise_within_the_horizon_among_the_zones() {
    let history = history(vec![
        sample(1, 0, 1000, [3000, 1000]),
        sample(10, 0, 5000, [3000, 1000]),
        // A fall needs no reserve. The rise after it counts from the lower level.
        sample(20, 0, 2000, [0, 1000]),
        sample(30, 0, 8000, [0, 1000]),
    ]);
    let reserves = |seconds| history.reserves(Duration::from_secs(seconds));
    assert_eq!(reserves(10), [(zone(0), 4500), (zone(1), 1500)].into());
    // A rise that takes longer than the horizon needs no reserve, since machines that are rented for it come up in time.
    assert_eq!(reserves(5), [(zone(0), 0), (zone(1), 0)].into());
    assert_eq!(reserves(40), [(zone(0), 5250), (zone(1), 1750)].into());
}
