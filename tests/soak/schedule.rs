//! The schedule of troubles that a seed fixes.

mod draws;

use self::draws::{draw_lowered_limits, draw_trouble};
use crate::harness::store::TransactionLoss;
use crate::harness::topology::{ControllerId, Link};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::fmt;
use std::time::Duration;

/// Time between the beginnings of two troubles, on average. Most troubles last longer, so that two or three overlap.
const MEAN_INTERVAL: Duration = Duration::from_millis(1500);
/// Range of the duration of a trouble, in milliseconds. The longest ones outlast a worker's lease.
const DURATION_MS: std::ops::Range<u64> = 300..9000;
/// Range of the time for which a controller that was killed is down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 50..4000;
/// One of so many seeds has limits of the state service that stay; with the next one they are announced, with others not.
const SEEDS_PER_UNCHANGED_LIMITS: u64 = 3;

/// The controllers that a trouble concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Target {
    /// One controller.
    One(ControllerId),
    /// The controller that leads at that moment.
    Leader,
    /// All controllers.
    All,
}

/// The way in which a link is troubled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkTrouble {
    /// Bytes towards the service are held.
    HoldRequests,
    /// Bytes from the service are held.
    HoldResponses,
    /// Bytes in both directions are held.
    Hold,
    /// Connections are refused, and open ones reset.
    Refuse,
    /// Bytes are delayed.
    Slow(Duration),
}

/// The way in which workers are troubled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkerTrouble {
    /// They execute nothing and send nothing.
    Hang,
    /// Their heartbeats are lost, while direct commands reach them.
    Mute,
    /// Their heartbeats arrive, while answers and direct commands are lost.
    Deaf,
    /// They are cut off from everything.
    CutOff,
    /// They and one controller cannot reach each other.
    CutOffFrom(ControllerId),
    /// Copies of their heartbeats arrive late.
    LateReports(Duration),
    /// Direct commands arrive late, unanswered.
    LateCommands(Duration),
}

/// The workers that a trouble concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Workers {
    /// One of so many, beginning with this one.
    OneOf {
        /// Distance between two of them.
        every: usize,
        /// Number of the first one.
        first: usize,
    },
    /// Those of a zone.
    Zone(&'static str),
}

/// A trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// Controllers are killed and started again after the duration.
    Kill(Target),
    /// Controllers stand still while their clocks run on.
    Pause(Target),
    /// A link is troubled.
    Link(Link, LinkTrouble),
    /// The state service answers 503 to everybody.
    StoreOutage,
    /// The state service answers 503 to some controllers.
    StoreRefuses(Target),
    /// The state service answers slowly.
    StoreSlow(Duration),
    /// One of so many transactions gets no answer.
    StoreLoses(TransactionLoss, u64),
    /// The state service lowers its limits, for good.
    StoreLowersLimits,
    /// The cloud answers 503.
    CloudOutage,
    /// Workers are troubled.
    Workers(WorkerTrouble, Workers),
    /// So many machines die.
    MachinesDie(usize),
    /// Users cancel so many jobs at once.
    CancelNow(usize),
    /// Users ask often, and hang up in the middle of requests.
    PollStorm,
}

/// A trouble with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Planned {
    /// When it begins, after the beginning of the troubles.
    pub(crate) at: Duration,
    /// How long it lasts.
    pub(crate) duration: Duration,
    /// The trouble.
    pub(crate) trouble: Trouble,
}

impl Planned {
    /// Returns when the trouble is over, late messages included.
    fn end(&self) -> Duration {
        let lateness = match self.trouble {
            Trouble::StoreLoses(
                TransactionLoss::Late(delay) | TransactionLoss::Repeated(delay),
                _,
            )
            | Trouble::Workers(
                WorkerTrouble::LateReports(delay) | WorkerTrouble::LateCommands(delay),
                _,
            )
            | Trouble::Link(_, LinkTrouble::Slow(delay)) => delay,
            _ => Duration::ZERO,
        };
        self.at + self.duration + lateness
    }
}

/// Whether the controllers are told of limits that the state service will have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Notice {
    /// The settings announce them.
    InSettings,
    /// They are not announced.
    None,
}

/// The schedule of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Schedule {
    /// Whether the settings announce lower limits of the state service.
    pub(crate) notice: Notice,
    /// The troubles in the order of their beginnings.
    pub(crate) troubles: Vec<Planned>,
}

impl Schedule {
    /// Draws the troubles of a time.
    pub(crate) fn draw(seed: u64, length: Duration) -> Schedule {
        let mut random = StdRng::seed_from_u64(seed);
        let mut troubles = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += MEAN_INTERVAL.mul_f64(random.gen_range(0.2..1.8));
            if at >= length {
                break;
            }
            let trouble = draw_trouble(&mut random);
            let duration = match trouble {
                Trouble::Kill(_) => random.gen_range(DOWN_MS),
                _ => random.gen_range(DURATION_MS),
            };
            troubles.push(Planned {
                at,
                duration: Duration::from_millis(duration),
                trouble,
            });
        }
        if !seed.is_multiple_of(SEEDS_PER_UNCHANGED_LIMITS) {
            troubles.push(draw_lowered_limits(seed, length));
            troubles.sort_by_key(|planned| planned.at);
        }
        let notice = if seed % SEEDS_PER_UNCHANGED_LIMITS == 1 {
            Notice::InSettings
        } else {
            Notice::None
        };
        Schedule { notice, troubles }
    }

    /// Returns when the last trouble ends.
    pub(crate) fn end(&self) -> Duration {
        self.troubles
            .iter()
            .map(Planned::end)
            .max()
            .unwrap_or_default()
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "  notice of lower limits: {:?}", self.notice)?;
        for planned in &self.troubles {
            writeln!(
                formatter,
                "  {:6.2} s, for {:5.2} s: {:?}",
                planned.at.as_secs_f64(),
                planned.duration.as_secs_f64(),
                planned.trouble
            )?;
        }
        Ok(())
    }
}
