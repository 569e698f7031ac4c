//! Random troubles.

use super::{LinkTrouble, Planned, Target, Trouble, WorkerTrouble, Workers};
use crate::harness::store::TransactionLoss;
use crate::harness::topology::{ControllerId, Link};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Draws when the state service lowers its limits, from numbers of its own: the other troubles of a seed stay the same.
pub(super) fn draw_lowered_limits(seed: u64, length: Duration) -> Planned {
    let mut random = StdRng::seed_from_u64(!seed);
    Planned {
        at: length.mul_f64(random.gen_range(0.0..1.0)),
        duration: Duration::ZERO,
        trouble: Trouble::StoreLowersLimits,
    }
}

pub(super) fn draw_trouble(random: &mut StdRng) -> Trouble {
    match random.gen_range(0..22) {
        0..=2 => Trouble::Kill(draw_target(random)),
        3..=4 => Trouble::Pause(draw_target(random)),
        5..=8 => Trouble::Link(draw_link(random), draw_link_trouble(random)),
        9 => Trouble::StoreOutage,
        10..=11 => Trouble::StoreRefuses(draw_target(random)),
        12 => Trouble::StoreSlow(draw_millis(random, 50..900)),
        13 => Trouble::StoreLoses(draw_loss(random), random.gen_range(2..6)),
        14 => Trouble::CloudOutage,
        15..=16 => Trouble::Workers(draw_worker_trouble(random), draw_workers(random)),
        17 => Trouble::MachinesDie(random.gen_range(1..4)),
        18 => Trouble::CancelNow(random.gen_range(1..6)),
        _ => Trouble::PollStorm,
    }
}

fn draw_controller(random: &mut StdRng) -> ControllerId {
    let controllers: Vec<ControllerId> = ControllerId::all().collect();
    controllers[random.gen_range(0..controllers.len())]
}

fn draw_target(random: &mut StdRng) -> Target {
    match random.gen_range(0..6) {
        0..=2 => Target::Leader,
        3..=4 => Target::One(draw_controller(random)),
        _ => Target::All,
    }
}

fn draw_link(random: &mut StdRng) -> Link {
    let links = Link::all();
    links[random.gen_range(0..links.len())]
}

fn draw_link_trouble(random: &mut StdRng) -> LinkTrouble {
    match random.gen_range(0..5) {
        0 => LinkTrouble::HoldRequests,
        1 => LinkTrouble::HoldResponses,
        2 => LinkTrouble::Hold,
        3 => LinkTrouble::Refuse,
        _ => LinkTrouble::Slow(draw_millis(random, 50..700)),
    }
}

fn draw_loss(random: &mut StdRng) -> TransactionLoss {
    let delay = draw_millis(random, 500..6000);
    match random.gen_range(0..4) {
        0 => TransactionLoss::AnswerLost,
        1 => TransactionLoss::Late(delay),
        2 => TransactionLoss::RequestLost,
        _ => TransactionLoss::Repeated(delay),
    }
}

fn draw_worker_trouble(random: &mut StdRng) -> WorkerTrouble {
    match random.gen_range(0..7) {
        0 => WorkerTrouble::Hang,
        1 => WorkerTrouble::Mute,
        2 => WorkerTrouble::Deaf,
        3 => WorkerTrouble::CutOff,
        4 => WorkerTrouble::CutOffFrom(draw_controller(random)),
        5 => WorkerTrouble::LateReports(draw_millis(random, 500..9000)),
        _ => WorkerTrouble::LateCommands(draw_millis(random, 500..9000)),
    }
}

fn draw_workers(random: &mut StdRng) -> Workers {
    if random.gen_bool(0.3) {
        let zones = crate::run::ZONES;
        return Workers::Zone(zones[random.gen_range(0..zones.len())]);
    }
    let every = random.gen_range(1..8);
    Workers::OneOf {
        every,
        first: random.gen_range(0..every),
    }
}

fn draw_millis(random: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.gen_range(range))
}
