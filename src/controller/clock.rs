//! The clock of a controller. Tests replace it by one that they set.

use crate::time::{whole_millis, Timestamp};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What a steady clock shows when it starts: [`Timestamp::ZERO`] stands for what has never happened.
const START: Timestamp = Timestamp::from_millis(1000);

/// Where the time comes from.
pub(super) enum Clock {
    /// The system's steady clock since a moment, and its time of day.
    System {
        /// When the controller's clock started.
        started_at: Instant,
    },
    /// The clock of a test, in milliseconds.
    #[cfg(test)]
    Scripted(std::rc::Rc<std::cell::Cell<u64>>),
}

impl Clock {
    /// A clock of the system that starts now.
    pub(super) fn start() -> Clock {
        Clock::System {
            started_at: Instant::now(),
        }
    }

    /// The time of the steady clock.
    pub(super) fn now(&self) -> Timestamp {
        match self {
            Clock::System { started_at } => START + started_at.elapsed(),
            #[cfg(test)]
            Clock::Scripted(now) => Timestamp::from_millis(now.get()),
        }
    }

    /// The time of day, in milliseconds since the Unix epoch.
    pub(super) fn unix_millis(&self) -> u64 {
        match self {
            Clock::System { .. } => {
                let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
                whole_millis(since_epoch.unwrap_or(Duration::ZERO))
            }
            #[cfg(test)]
            Clock::Scripted(now) => now.get(),
        }
    }
}
