//! Metrics of a controller's loops and handlers.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// How a linearizable read ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(super) enum ReadOutcome {
    /// The replica reached the revision of the read's barrier.
    Completed,
    /// The barrier failed, or the replica did not catch up in time.
    Failed,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReadLabels {
    outcome: ReadOutcome,
}

/// Whether the rate limit admitted a read of the store on behalf of a user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(super) enum Admission {
    /// The read was admitted.
    Admitted,
    /// The user was told when to come back.
    Refused,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AdmissionLabels {
    admission: Admission,
}

/// Totals of the reads on behalf of users since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadTotals {
    /// Linearizable reads of the replica that completed.
    pub completed: u64,
    /// Linearizable reads of the replica that failed.
    pub failed: u64,
    /// Reads of the store that the rate limit admitted.
    pub user_admitted: u64,
    /// Reads of the store that the rate limit refused.
    pub user_refused: u64,
}

/// Counters of the loops and handlers. Clones share the counts.
#[derive(Debug, Clone, Default)]
pub(super) struct ControllerMetrics {
    linearizable_reads: Family<ReadLabels, Counter>,
    user_reads: Family<AdmissionLabels, Counter>,
    withheld_commands: Counter,
    longest_timer_delay: Rc<Cell<Duration>>,
}

impl ControllerMetrics {
    /// Registers the counters.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "linearizable_reads",
            "Reads that wait for the replica to catch up with the state service",
            self.linearizable_reads.clone(),
        );
        registry.register(
            "user_store_reads",
            "Reads of the state service on behalf of users",
            self.user_reads.clone(),
        );
        registry.register(
            "withheld_commands",
            "Direct commands that were decided but not sent, because the authority to send them had ended",
            self.withheld_commands.clone(),
        );
    }

    /// Counts a linearizable read.
    pub(super) fn record_linearizable_read(&self, outcome: ReadOutcome) {
        self.linearizable_reads
            .get_or_create(&ReadLabels { outcome })
            .inc();
    }

    /// Counts a read on behalf of a user.
    pub(super) fn record_user_read(&self, admission: Admission) {
        self.user_reads
            .get_or_create(&AdmissionLabels { admission })
            .inc();
    }

    /// Returns the totals of the reads on behalf of users.
    pub(super) fn read_totals(&self) -> ReadTotals {
        let reads = |outcome| {
            let labels = ReadLabels { outcome };
            self.linearizable_reads.get_or_create(&labels).get()
        };
        let user_reads = |admission| {
            let labels = AdmissionLabels { admission };
            self.user_reads.get_or_create(&labels).get()
        };
        ReadTotals {
            completed: reads(ReadOutcome::Completed),
            failed: reads(ReadOutcome::Failed),
            user_admitted: user_reads(Admission::Admitted),
            user_refused: user_reads(Admission::Refused),
        }
    }

    /// Returns how often direct commands were not sent.
    pub(super) fn withheld_commands(&self) -> u64 {
        self.withheld_commands.get()
    }

    /// Counts direct commands to a worker that were not sent.
    pub(super) fn record_withheld_commands(&self) {
        self.withheld_commands.inc();
    }

    /// Records by how much a timer fired late, which is the time for which the event loop was busy or the process paused.
    pub(super) fn record_timer_delay(&self, delay: Duration) {
        let longest = self.longest_timer_delay.get().max(delay);
        self.longest_timer_delay.set(longest);
    }

    /// Returns the longest delay of a timer since the last call.
    pub(super) fn take_longest_timer_delay(&self) -> Duration {
        self.longest_timer_delay.take()
    }
}
