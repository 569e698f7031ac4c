//! Metrics of the client of the state service.

use super::StoreError;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// The kind of a request to the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(super) enum RequestKind {
    /// Reads one key.
    Get,
    /// Reads a page of keys while a replica is loaded.
    Page,
    /// Runs a transaction with changes.
    Transaction,
    /// Runs a transaction without changes, as a read barrier.
    Barrier,
    /// Opens, renews or closes a leader lease.
    Lease,
    /// Waits for changes.
    Watch,
}

impl RequestKind {
    const ALL: [RequestKind; 6] = [
        RequestKind::Get,
        RequestKind::Page,
        RequestKind::Transaction,
        RequestKind::Barrier,
        RequestKind::Lease,
        RequestKind::Watch,
    ];
}

/// The outcome of a request to the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(super) enum RequestOutcome {
    /// The service answered, possibly that a key does not exist or that a guard does not hold.
    Answered,
    /// The service refused the request because of its rate (429).
    RateLimited,
    /// The service refused the request (503).
    Unavailable,
    /// No valid response arrived, or it was too large.
    Failed,
}

/// Labels of the number of requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    kind: RequestKind,
    outcome: RequestOutcome,
}

/// How an attempt to load a replica ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(super) enum LoadOutcome {
    /// The replica was loaded completely.
    Completed,
    /// A page could not be read, and the attempt was given up.
    Failed,
}

/// Labels of the number of loads.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LoadLabels {
    outcome: LoadOutcome,
}

/// Totals since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreRequestTotals {
    /// Requests that the service answered.
    pub answered: u64,
    /// Requests that the service refused because of their rate.
    pub rate_limited: u64,
    /// Requests that the service refused for another reason.
    pub unavailable: u64,
    /// Requests without a valid response.
    pub failed: u64,
    /// Transactions among the answered ones that the service refused as too large or malformed.
    pub refused: u64,
    /// Replicas that were loaded.
    pub loads_completed: u64,
    /// Attempts to load a replica that were given up.
    pub loads_failed: u64,
}

/// Counters of the requests to the state service. Clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct StoreMetrics {
    requests: Family<RequestLabels, Counter>,
    refused_transactions: Counter,
    loads: Family<LoadLabels, Counter>,
}

impl StoreMetrics {
    /// Registers the counters.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "store_requests",
            "Requests to the state service",
            self.requests.clone(),
        );
        registry.register(
            "store_transactions_refused",
            "Transactions that the state service refused as too large or malformed",
            self.refused_transactions.clone(),
        );
        registry.register(
            "replica_loads",
            "Attempts to load the replica of the state service",
            self.loads.clone(),
        );
    }

    /// Returns the totals over all kinds of requests.
    #[must_use]
    pub fn totals(&self) -> StoreRequestTotals {
        let requests = |outcome| -> u64 {
            let of_kind = |kind| RequestLabels { kind, outcome };
            RequestKind::ALL
                .into_iter()
                .map(|kind| self.requests.get_or_create(&of_kind(kind)).get())
                .sum()
        };
        let loads = |outcome| self.loads.get_or_create(&LoadLabels { outcome }).get();
        StoreRequestTotals {
            answered: requests(RequestOutcome::Answered),
            rate_limited: requests(RequestOutcome::RateLimited),
            unavailable: requests(RequestOutcome::Unavailable),
            failed: requests(RequestOutcome::Failed),
            refused: self.refused_transactions.get(),
            loads_completed: loads(LoadOutcome::Completed),
            loads_failed: loads(LoadOutcome::Failed),
        }
    }

    /// Counts a request by its result.
    pub(super) fn record_request<T>(&self, kind: RequestKind, result: &Result<T, StoreError>) {
        let outcome = match result {
            Ok(_) | Err(StoreError::NotFound | StoreError::TransactionRefused(_)) => {
                RequestOutcome::Answered
            }
            Err(StoreError::RateLimited) => RequestOutcome::RateLimited,
            Err(StoreError::Unavailable) => RequestOutcome::Unavailable,
            Err(StoreError::ResponseTooLarge | StoreError::OutcomeUnknown(_)) => {
                RequestOutcome::Failed
            }
        };
        self.requests
            .get_or_create(&RequestLabels { kind, outcome })
            .inc();
    }

    /// Counts a transaction that the service refused as too large or malformed.
    pub(super) fn record_refused_transaction(&self) {
        self.refused_transactions.inc();
    }

    /// Counts an attempt to load a replica.
    pub(super) fn record_load(&self, outcome: LoadOutcome) {
        self.loads.get_or_create(&LoadLabels { outcome }).inc();
    }
}
