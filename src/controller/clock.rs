//! Where the time comes from.

use std::time::Instant;

/// Where the time comes from.
pub(super) enum Clock {
    /// The steady clock and the time of day.
    Steady(Instant),
    /// A test's.
    #[cfg(test)]
    Scripted(std::rc::Rc<std::cell::Cell<u64>>),
}
