//! The clock of a controller. Tests replace it with one that they set themselves.

use crate::time::{whole_millis, Timestamp};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Initial reading of a monotonic clock. It is above [`Timestamp::ZERO`], which marks events that have never happened.
const START: Timestamp = Timestamp::from_millis(1000);

/// A source of monotonic time and of the time of day.
pub(super) enum Clock {
    /// The clocks of the operating system.
    System {
        /// Zero point of the monotonic clock.
        started_at: Instant,
    },
    /// A clock that a test sets, in milliseconds.
    #[cfg(test)]
    Scripted(std::rc::Rc<std::cell::Cell<u64>>),
    /// A clock that advances with each reading, as if the work between two readings took that time.
    #[cfg(test)]
    Advancing {
        /// Time of the next reading in milliseconds.
        next: std::cell::Cell<u64>,
        /// Time between two readings in milliseconds.
        step: u64,
    },
}

impl Clock {
    /// Starts a clock of the operating system.
    pub(super) fn start() -> Clock {
        Clock::System {
            started_at: Instant::now(),
        }
    }

    /// Returns the monotonic time.
    pub(super) fn now(&self) -> Timestamp {
        match self {
            Clock::System { started_at } => START + started_at.elapsed(),
            #[cfg(test)]
            Clock::Scripted(now) => Timestamp::from_millis(now.get()),
            #[cfg(test)]
            Clock::Advancing { next, step } => {
                Timestamp::from_millis(next.replace(next.get() + step))
            }
        }
    }

    /// Returns the time of day in milliseconds since the Unix epoch.
    pub(super) fn unix_millis(&self) -> u64 {
        match self {
            Clock::System { .. } => {
                let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
                whole_millis(since_epoch.unwrap_or(Duration::ZERO))
            }
            #[cfg(test)]
            Clock::Scripted(now) => now.get(),
            #[cfg(test)]
            Clock::Advancing { next, .. } => next.get(),
        }
    }
}
